#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "operator_language/Statement.h"

#include <cstddef>
#include <string_view>

namespace briarspar::operator_language {

/// Maximum length of a statement, in bytes.
constexpr size_t MaxStatementBytes = 4096;

/// Parses one statement. Errors are InvalidArgument with the message `column N: expected ...` and
/// carry the column as a payload, see errorColumn(). `create key` without `digest` yields a zero
/// digest, which the receiver replaces with the digest of a key that it generates.
absl::StatusOr<Statement> parse(std::string_view text);

/// Returns the 1-based column of a parse error, or 0 for any other status. Columns count bytes; an
/// error at the end of the text has the column after its last byte.
size_t errorColumn(const absl::Status &status);

} // namespace briarspar::operator_language
