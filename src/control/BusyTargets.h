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
  core::Duration Validity{1500}; ///< A load counts for so long; VMs report every 400 ms.
  core::Duration Interval{200};  ///< The busy targets are found anew this often.
  double BusyThreshold = 0.7;    ///< Requests a slot from which a target is busy: below it a
                                 ///< request waits for no other, as in TargetTableSettings.
  size_t MaxReported = 128;      ///< Targets named at most, 6 bytes each: 1.9 KB/s for each VM.
};

/// The targets with the most requests a slot, from the loads that all entry VMs have seen in
/// answers. The load it answers: in a fleet of 80 VMs each target answers one VM every ten seconds
/// or so, which then knows nothing of the requests of all others. Used by the leader. Not
/// thread-safe.
class BusyTargets {
public:
  explicit BusyTargets(const BusyTargetsSettings &settings = {}) : Settings(settings) {}

  /// Forgets all loads.
  void becomeLeader();

  /// Takes loads that one VM has seen since its last report.
  void report(absl::Span<const link::TargetLoad> loads, core::Time now);

  /// Returns the busy targets of the list, the busiest first.
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
