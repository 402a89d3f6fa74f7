#pragma once

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::agreement {

/// Appends one checksummed record to `out`. `syncedBytes` is the durable length of the file when
/// the record is written; it distinguishes a torn tail from damage to synced records.
void appendRecord(std::string &out, std::string_view payload, uint64_t syncedBytes);

/// Returns the payloads of the valid records at the start of `content`. Drops a torn tail, which
/// can contain only unsynced records. Returns DataLoss when a later record shows that the dropped
/// bytes had been synced.
absl::StatusOr<std::vector<std::string_view>> readRecords(std::string_view content);

} // namespace briarspar::agreement
