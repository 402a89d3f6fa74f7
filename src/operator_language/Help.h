#pragma once

#include "absl/types/span.h"

#include <string>
#include <string_view>

namespace briarspar::operator_language {

struct StatementHelp {
  std::string_view Syntax;
  std::string_view Meaning;
  std::string_view Example;
};

/// Returns one entry for each statement.
absl::Span<const StatementHelp> statements();

/// Returns the help text. `topic` selects the statements that start with this keyword; an empty or
/// unknown topic selects all.
std::string helpText(std::string_view topic = {});

} // namespace briarspar::operator_language
