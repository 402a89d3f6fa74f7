#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "lease/Messages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace briarspar::lease {

struct LeaseGrantorSettings {
  core::Duration Length{3000}; ///< Lease length.
  /// Time for which a VM's record is kept after its last lease ended.
  core::Duration RecordRetention{3'600'000};
  uint32_t FullStatesPerSecond = 50; ///< Limit of full states sent; renewals beyond it get Busy.
};

/// Provides the committed configuration at the leader. Called on the control thread, within
/// renew().
class ConfigSource {
public:
  virtual ~ConfigSource() = default;

  /// Last committed version. Never decreases.
  virtual core::ConfigVersion version() const = 0;
  virtual uint64_t digest() const = 0;

  /// True if the update from this version is a delta; false if it is the full state.
  virtual bool hasDeltaSince(core::ConfigVersion from) const = 0;

  /// Encoded update from `from` to version(); the full state if `from` is too old or 0.
  virtual std::string updateSince(core::ConfigVersion from) const = 0;
};

/// Processes the attachments of renewals for other modules at the leader. Called on the control
/// thread, within renew(), for granted renewals only.
class LeaseGrantorListener {
public:
  virtual ~LeaseGrantorListener() = default;

  /// Handles a granted renewal and returns the attachment of its response.
  virtual std::string onRenewal(const Renewal &renewal, core::Time now) = 0;
};

/// Grants serving leases at the leader. Not thread-safe; used on the control thread.
///
/// For each VM it records until when each grant allows the VM to serve, by configuration version. A
/// VM is pending for a version while a grant with an older version may still be in use.
class LeaseGrantor {
public:
  /// Returns whether this process holds the leader lease; called for every renewal.
  using LeaderLease = std::function<bool(core::Time now)>;

  /// `source` and `listener` must outlive the grantor; `listener` may be null.
  LeaseGrantor(const LeaseGrantorSettings &settings, const ConfigSource &source,
               LeaderLease holdsLeaderLease, LeaseGrantorListener *listener = nullptr);

  /// Handles a renewal. Grants only while the leader lease is held.
  RenewalResponse renew(const Renewal &renewal, core::Time now);

  /// Must be called when this process becomes leader, before the first renew(). Every VM, known or
  /// unknown, is then assumed to hold a lease on version 0 for one lease period.
  void becomeLeader(core::Time now);

  /// Upper bound on the time until which any incarnation of the VM may serve. For a VM without a
  /// lease it is in the past.
  core::Time latestExpiry(const core::VmId &vm) const;

  /// Longest time for which a lease is valid after its grant, by this process's clock.
  core::Duration longestLease() const { return core::lengthenForClockDrift(Settings.Length); }

  /// True once no lease of an earlier leader may still be in use. Such leases may be held by VMs
  /// that this leader does not know.
  bool predecessorLeasesExpired(core::Time now) const { return now >= PredecessorExpiry; }

  /// True if every VM has applied the version or can no longer serve. False for one lease period
  /// after becomeLeader(), because unknown VMs may hold leases granted by the predecessor.
  bool inForceEverywhere(core::ConfigVersion version, core::Time now) const;

  /// Known VMs that may still serve with an older version, in order of id.
  std::vector<core::VmId> pendingVms(core::ConfigVersion version, core::Time now) const;

  /// Erases the records of VMs whose last lease ended more than RecordRetention ago. Call about
  /// once a second.
  void tick(core::Time now);

  /// Number of known VMs.
  size_t vmCount() const { return Vms.size(); }

private:
  /// Combines grants of one version: a process may serve until Expiry with Version or a newer one.
  struct Grant {
    core::Incarnation Inc;
    core::ConfigVersion Version;
    core::Time Expiry;
  };
  struct VmRecord {
    core::Incarnation Inc;
    uint64_t Sequence = 0;
    core::ConfigVersion Applied;
    std::vector<Grant> Grants; ///< Oldest version first; expired grants are removed.
    core::Time Expiry;         ///< Latest expiry over all incarnations.
  };

  static bool isPending(const VmRecord &record, core::ConfigVersion version, core::Time now);
  static void addGrant(VmRecord &record, const Grant &grant, core::Time now);
  bool admitFullState(core::Time now);
  bool fillUpdate(const Renewal &renewal, RenewalResponse &answer, core::Time now);

  LeaseGrantorSettings Settings;
  const ConfigSource &Source;
  LeaderLease HoldsLeaderLease;
  LeaseGrantorListener *Listener;
  std::map<core::VmId, VmRecord> Vms;
  core::Time PredecessorExpiry; ///< Leases of earlier leaders have expired by then.
  core::Time FullStateWindow;   ///< Start of the second in which full states are counted.
  uint32_t FullStates = 0;
};

} // namespace briarspar::lease
