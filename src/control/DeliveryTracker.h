#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "discovery/TargetList.h"

#include <map>

namespace briarspar::control {

/// Versions of the catalog and the target list, which entry VMs receive as deltas.
struct SyncedVersions {
  core::LogIndex Catalog;
  discovery::ListVersion List;
};

struct DeliveryTrackerSettings {
  /// Time within which a report of the VM, sent every 400 ms, has to confirm a delta.
  core::Duration AckTimeout{900};
  /// Assumed transfer rate: a fifth of the slowest VM link, which has 2 Mbit/s.
  uint64_t BytesPerMs = 50;
};

/// Tracks the version from which the next delta for each entry VM starts. A report names the
/// versions that the VM holds, also while a large delta to it is still in transit. Sending that
/// delta again with each response would saturate the link and delay everything else. Therefore the
/// next delta builds on the versions already sent, until the delivery deadline has passed. Used by
/// the leader. Not thread-safe.
class DeliveryTracker {
public:
  explicit DeliveryTracker(const DeliveryTrackerSettings &settings = {}) : Settings(settings) {}

  /// Records the versions that a VM has reported.
  void report(const core::VmId &vm, core::Incarnation run, const SyncedVersions &acked,
              core::Time now);

  /// Records that deltas up to `versions` have been sent in a message of `bytes` bytes.
  void sent(const core::VmId &vm, const SyncedVersions &versions, size_t bytes, core::Time now);

  /// Returns the versions from which the next delta for a VM starts.
  SyncedVersions base(const core::VmId &vm, core::Time now) const;

  /// Drops all state; another leader may have sent other deltas since.
  void becomeLeader() { Vms.clear(); }

private:
  struct Vm {
    core::Incarnation Run;
    SyncedVersions Acked;
    SyncedVersions Sent;
    core::Time AckDeadline; ///< Until then the sent deltas may still be in transit.
  };

  const DeliveryTrackerSettings Settings;
  std::map<core::VmId, Vm> Vms;
};

} // namespace briarspar::control
