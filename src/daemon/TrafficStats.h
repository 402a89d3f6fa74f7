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

/// How a request to a target ended, for the comparison of versions.
enum class VersionOutcome : uint8_t { Good, Error, CrashError };

/// Counts of the current interval by route and version. Safe to call from any thread.
class TrafficStats {
public:
  void record(const core::RouteId &route, const core::VersionId &version, VersionOutcome outcome,
              core::Duration latency);

  /// Fills the counts of the interval since the last call into a report, for the given pairs of
  /// route and version, and starts the next interval.
  void take(const core::VmId &vm, core::Incarnation run,
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
