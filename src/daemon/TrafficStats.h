#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "daemon/Reports.h"
#include "moves/VersionStats.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <utility>

namespace briarspar::daemon {

/// Outcome of a request to a target, for the comparison of versions.
enum class VersionOutcome : uint8_t { Good, Error, CrashError };

/// Request counts of the current interval by route and version. Thread-safe.
class TrafficStats {
public:
  void record(const core::RouteId &route, const core::VersionId &version, VersionOutcome outcome,
              core::Duration latency);

  /// Adds the counts since the last call for the given pairs of route and version to a report, and
  /// starts a new interval.
  void take(const core::VmId &vm, core::Incarnation incarnation,
            const std::vector<std::pair<core::RouteId, core::VersionId>> &pairs, core::Time now,
            VmReport &report);

private:
  using Key = std::pair<core::RouteId, core::VersionId>;

  std::mutex Mutex;
  std::map<Key, moves::RequestCounts> Counts;
  uint64_t Interval = 0;
  uint64_t Finished = 0;
  uint64_t BusyMs = 0;
  core::Time Since;
};

} // namespace briarspar::daemon
