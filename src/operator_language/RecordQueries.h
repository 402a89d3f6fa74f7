#pragma once

#include "config/Records.h"
#include "operator_language/Statement.h"
#include "operator_language/Table.h"

#include <cstdint>
#include <string>

namespace briarspar::operator_language {

/// Returns the result of a query on the records. `show version` and `timeline` need other data and
/// yield a table without rows; see versionTable(). `watch` yields one row, or none for an unknown
/// move. The column `changed` is the version that `expect N` refers to.
Table queryRecords(const Query &query, const config::Records &records);

/// Returns the result of `show version`.
Table versionTable(core::ConfigVersion version, uint64_t digest);

/// Formats a duration in the largest unit that divides it. parse() accepts the result.
std::string formatDuration(core::Duration d);

} // namespace briarspar::operator_language
