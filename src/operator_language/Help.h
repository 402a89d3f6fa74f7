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

/// One entry for each statement.
absl::Span<const StatementHelp> statements();

/// Help for people. `topic` selects the statements that begin with the word; empty: all.
std::string helpText(std::string_view topic = {});

} // namespace briarspar::operator_language
