#pragma once

#include "config/Records.h"
#include "operator_language/Statement.h"
#include "operator_language/Table.h"

#include <cstdint>
#include <string>

namespace briarspar::operator_language {

/// Answers a query from the records. `show version` and `timeline` need more than the records and
/// give a table without rows; see versionTable(). `watch` gives one row, or none for an unknown
/// move. The column `changed` of a record is the number for `expect N`.
Table queryRecords(const Query &query, const config::Records &records);

/// The answer to `show version`.
Table versionTable(core::ConfigVersion version, uint64_t digest);

/// Formats a duration in the largest unit that divides it, as the parser reads it.
std::string formatDuration(core::Duration d);

} // namespace briarspar::operator_language
