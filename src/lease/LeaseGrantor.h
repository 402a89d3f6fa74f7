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
  core::Duration RecordRetention{
      3'600'000};                    ///< A VM is forgotten this long after its last lease ended.
  uint32_t FullStatesPerSecond = 50; ///< Renewals that get a full state; the others get Busy.
};

/// The committed configuration at the leader. Called on the control thread, within renew().
class ConfigSource {
public:
  virtual ~ConfigSource() = default;

  /// Latest committed version. Never decreases.
  virtual core::ConfigVersion version() const = 0;
  virtual uint64_t digest() const = 0;

  /// True if an update from this version is a delta, false if it would be the full state.
  virtual bool hasDeltaSince(core::ConfigVersion from) const = 0;

  /// Bytes that lead from `from` to version(); the full state if `from` is too old or 0.
  virtual std::string updateSince(core::ConfigVersion from) const = 0;
};

/// Other slices at the leader that use the attachment. Called on the control thread, within
/// renew(), only for renewals that are granted.
class LeaseGrantorListener {
public:
  virtual ~LeaseGrantorListener() = default;

  /// Returns the attachment of the answer.
  virtual std::string onRenewal(const Renewal &renewal, core::Time now) = 0;
};

/// Grants serving leases at the leader. Not thread-safe; used on the control thread.
///
/// For each VM it tracks until when each granted answer can keep the VM serving, by configuration
/// version. A VM counts as pending for a version while an answer with an older version may still be
/// in use.
class LeaseGrantor {
public:
  /// Tells whether this process holds the leader lease; asked at every grant.
  using LeaderLease = std::function<bool(core::Time now)>;

  /// `source` and `listener` must outlive the grantor; `listener` may be null.
  LeaseGrantor(const LeaseGrantorSettings &settings, const ConfigSource &source,
               LeaderLease holdsLeaderLease, LeaseGrantorListener *listener = nullptr);

  /// Decides about one renewal. Grants only while the leader lease is held.
  RenewalAnswer renew(const Renewal &renewal, core::Time now);

  /// Must be called when this process becomes leader, before the first renew(). Every VM, known or
  /// not, then counts as holding a lease on version 0 for one full lease period.
  void becomeLeader(core::Time now);

  /// Latest time at which any incarnation of the VM may serve. For a VM without a lease this is a
  /// time in the past.
  core::Time latestExpiry(const core::VmId &vm) const;

  /// True if every VM has applied the version or can no longer serve. False until one lease period
  /// after becomeLeader(), because VMs unknown to this leader may hold leases of its predecessor.
  bool inForceEverywhere(core::ConfigVersion version, core::Time now) const;

  /// Known VMs that may serve with a version older than this one, in order of id.
  std::vector<core::VmId> pendingVms(core::ConfigVersion version, core::Time now) const;

  /// Drops VMs whose last lease ended long ago. Call about once a second.
  void tick(core::Time now);

  /// Number of VMs with a record.
  size_t vmCount() const { return Vms.size(); }

private:
  /// One or more granted answers: a process may serve until Expiry with Version or a newer one.
  struct Grant {
    core::Incarnation Inc;
    core::ConfigVersion Version;
    core::Time Expiry;
  };
  struct VmRecord {
    core::Incarnation Inc;
    uint64_t Sequence = 0;
    core::ConfigVersion Applied;
    std::vector<Grant> Grants; ///< Oldest version first; expired ones are dropped.
    core::Time Expiry;         ///< Latest expiry over all incarnations.
  };

  static bool isPending(const VmRecord &record, core::ConfigVersion version, core::Time now);
  static void addGrant(VmRecord &record, const Grant &grant, core::Time now);
  bool takeFullState(core::Time now);
  bool fillUpdate(const Renewal &renewal, RenewalAnswer &answer, core::Time now);

  LeaseGrantorSettings Settings;
  const ConfigSource &Source;
  LeaderLease HoldsLeaderLease;
  LeaseGrantorListener *Listener;
  std::map<core::VmId, VmRecord> Vms;
  core::Time PredecessorExpiry; ///< Leases of earlier leaders have ended at this time.
  core::Time FullStateWindow;   ///< Start of the second in which full states are counted.
  uint32_t FullStates = 0;
};

} // namespace briarspar::lease
