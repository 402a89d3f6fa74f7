#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "discovery/TargetList.h"
#include "link/Messages.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace briarspar::control {

struct BusyTargetsSettings {
  core::Duration Validity{1500}; ///< Lifetime of a reported load; VMs report every 400 ms.
  core::Duration Interval{200};  ///< Interval at which the busy targets are recomputed.
  /// Requests per slot from which a target is busy. Below it, requests do not wait for each other,
  /// as in TargetTableSettings.
  double BusyThreshold = 0.7;
  /// Maximum number of reported targets, 6 bytes each: 1.9 KB/s per VM.
  size_t MaxReported = 128;
};

/// Determines the targets with the most requests per slot, from the loads that all entry VMs have
/// seen in responses. In a fleet of 80 VMs, a target answers a given VM only about every ten
/// seconds, so a single VM does not know the load caused by the others. Used by the leader. Not
/// thread-safe.
class BusyTargets {
public:
  explicit BusyTargets(const BusyTargetsSettings &settings = {}) : Settings(settings) {}

  void becomeLeader();

  /// Records the loads that one VM has seen since its last report.
  void report(absl::Span<const link::TargetLoad> loads, core::Time now);

  /// Returns the busy targets of the list in descending order of load.
  const std::vector<link::TargetLoad> &find(const discovery::TargetList &list, core::Time now);

private:
  struct Load {
    uint32_t Requests = 0;
    core::Time At;
  };

  const BusyTargetsSettings Settings;
  std::unordered_map<uint32_t, Load> Loads; ///< By link::targetKey().
  std::vector<link::TargetLoad> Busy;
  core::Time FoundAt;
};

} // namespace briarspar::control
