#include "daemon/TrafficStats.h"

namespace briarspar::daemon {

void TrafficStats::record(const core::RouteId &route, const core::VersionId &version,
                          VersionOutcome outcome, core::Duration latency) {
  std::lock_guard<std::mutex> lock(Mutex);
  moves::RequestCounts &counts = Counts[{route, version}];
  ++counts.Requests;
  ++Finished;
  BusyMs += static_cast<uint64_t>(latency.Ms);
  if (outcome == VersionOutcome::Good) {
    ++counts.Latency[moves::latencyBucket(latency.Ms)];
    return;
  }
  ++counts.Errors;
  if (outcome == VersionOutcome::CrashError)
    ++counts.CrashErrors;
}

void TrafficStats::take(const core::VmId &vm, core::Incarnation incarnation,
                        const std::vector<std::pair<core::RouteId, core::VersionId>> &pairs,
                        core::Time now, VmReport &report) {
  std::lock_guard<std::mutex> lock(Mutex);
  ++Interval;
  for (const auto &[route, version] : pairs) {
    moves::VersionStats stats;
    stats.Source = vm;
    stats.SourceIncarnation = incarnation;
    stats.Interval = Interval;
    stats.Route = route;
    stats.Version = version;
    stats.Counts = Counts[{route, version}];
    report.Stats.push_back(stats);
  }
  report.Finished = Finished;
  report.BusyMs = BusyMs;
  report.IntervalMs = static_cast<uint64_t>((now - Since).Ms);
  Counts.clear();
  Finished = 0;
  BusyMs = 0;
  Since = now;
}

} // namespace briarspar::daemon
