#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "operator_language/Statement.h"

#include <cstddef>
#include <string_view>

namespace briarspar::operator_language {

/// Longest accepted statement, in bytes.
constexpr size_t MaxStatementBytes = 4096;

/// Parses one statement. An error is InvalidArgument, says `column N: expected ...` and has the
/// column as a payload, see errorColumn(). `create key` without `digest` gives a zero digest, which
/// the receiver replaces by the digest of a key that it generates.
absl::StatusOr<Statement> parse(std::string_view text);

/// Returns the column of a parse error, from 1, or 0 for another status. Columns count bytes; an
/// error after the last byte has the column after it.
size_t errorColumn(const absl::Status &status);

} // namespace briarspar::operator_language
