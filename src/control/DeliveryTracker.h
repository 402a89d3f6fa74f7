#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "discovery/TargetList.h"

#include <map>

namespace briarspar::control {

/// Versions of what entry VMs are sent as changes.
struct SyncedVersions {
  core::LogIndex Catalog;
  discovery::ListVersion List;
};

struct DeliveryTrackerSettings {
  core::Duration AckTimeout{900}; ///< Time for a VM's next report, which comes every 400 ms, to
                                  ///< name what it was sent.
  uint64_t BytesPerMs = 50; ///< Speed with which changes surely arrive: a fifth of the slowest
                            ///< link of a VM, which has 2 Mbit/s.
};

/// From which versions on an entry VM is to be sent changes. A VM names the versions that it holds
/// in each report, also while a large change is on its way to it; sending that again with each
/// answer fills the link, so that nothing else arrives in time. So the next changes build on what
/// was sent, until the time for it is over. Used by the leader. Not thread-safe.
class DeliveryTracker {
public:
  explicit DeliveryTracker(const DeliveryTrackerSettings &settings = {}) : Settings(settings) {}

  /// Takes the versions that a VM has reported.
  void report(const core::VmId &vm, core::Incarnation run, const SyncedVersions &held,
              core::Time now);

  /// Takes that changes up to `versions` have been sent in a message of `bytes`.
  void sent(const core::VmId &vm, const SyncedVersions &versions, size_t bytes, core::Time now);

  /// Returns the versions that the next changes for a VM start from.
  SyncedVersions base(const core::VmId &vm, core::Time now) const;

  /// Forgets what was sent, as another leader may have sent something else since.
  void becomeLeader() { Vms.clear(); }

private:
  struct Vm {
    core::Incarnation Run;
    SyncedVersions Acked;
    SyncedVersions Sent;
    core::Time AckDeadline; ///< What was sent may still be on its way.
  };

  const DeliveryTrackerSettings Settings;
  std::map<core::VmId, Vm> Vms;
};

} // namespace briarspar::control
