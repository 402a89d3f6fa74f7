#pragma once

#include "balance/CrashGuard.h"
#include "balance/SlotLedger.h"
#include "core/Event.h"
#include "daemon/CrashNotices.h"
#include "daemon/GroupVoter.h"
#include "daemon/Messages.h"
#include "daemon/RegionMonitor.h"
#include "daemon/Reports.h"
#include "lease/LeaseGrantor.h"
#include "membership/MembershipView.h"
#include "moves/MoveController.h"
#include "quota/QuotaOwner.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace briarspar::daemon {

struct LeaderSettings {
  /// Maximum number of requests in flight from the VMs of one region to targets of another, or 0
  /// for no limit. All voters must use the same value.
  uint32_t MaxLinkRequests = 0;
};

/// Runs the services of the group's leader: serving leases, membership, rates, slots, claims,
/// commands and moves. Every voter has an instance, which is active only while the voter is the
/// leader. Not thread-safe; used on the control thread.
class GroupLeader final : private lease::ConfigSource, private lease::LeaseGrantorListener {
public:
  /// The voter, sink and sender must outlive the object.
  GroupLeader(const LeaderSettings &settings, GroupVoter &voter, core::EventSink &events,
              Sender sender);

  /// Handles a message from a VM. Returns false if the leader does not handle this kind.
  bool receive(const core::VmId &from, std::string_view kind, std::string_view bytes,
               core::Time now);

  /// Runs the periodic tasks. Must be called at least every 50 ms.
  void tick(core::Time now);

  /// Updates the membership from the platform's list of VMs.
  void updatePlatformList(absl::Span<const membership::PlatformEntry> list, core::Time now);

  /// Returns true if every VM has applied the version or can no longer serve. Always false at a
  /// voter that is not the leader.
  bool inForceEverywhere(core::ConfigVersion version, core::Time now) const;

  const membership::MembershipView &members() const { return Members; }

private:
  using Handler = void (GroupLeader::*)(const core::VmId &, std::string_view, core::Time);

  core::ConfigVersion version() const override;
  uint64_t digest() const override;
  bool hasDeltaSince(core::ConfigVersion from) const override;
  std::string updateSince(core::ConfigVersion from) const override;
  std::string onRenewal(const lease::Renewal &renewal, core::Time now) override;

  void onRenewalMessage(const core::VmId &from, std::string_view bytes, core::Time now);
  void onGrant(const core::VmId &from, std::string_view bytes, core::Time now);
  void onSlots(const core::VmId &from, std::string_view bytes, core::Time now);
  void onClaim(const core::VmId &from, std::string_view bytes, core::Time now);
  void onCrash(const core::VmId &from, std::string_view bytes, core::Time now);
  void onCrashNoticeAck(const core::VmId &from, std::string_view bytes, core::Time now);
  void onCommand(const core::VmId &from, std::string_view bytes, core::Time now);
  void onJoin(const core::VmId &from, std::string_view bytes, core::Time now);

  /// Handles a change of leadership or of the configuration. Cheap; called for every message.
  void refresh(core::Time now);
  void updateExcludedVms(core::Time now);
  void startTerm(core::Time now);
  void adoptConfig(core::Time now);
  void adoptLimits(const config::Records &records, core::Time now);
  void adoptVms(const config::Records &records);
  void adoptTargets(const config::Records &records);
  void adoptLinks(const config::Records &records);
  void adoptOrders(const config::Records &records, core::Time now);
  void adoptMoves(core::Time now);
  /// Processes a VM's report and returns the digest of the excluded VMs known to that VM.
  std::optional<uint64_t> observeReport(const lease::Renewal &renewal, core::Time now);
  void observeLoads(core::Time now);
  void handleExpiredVms(core::Time now);
  /// Adopts the crashes that the group has committed.
  void adoptCrashes(core::Time now);
  void announceCrashes(const core::VmId &reporter, std::string notice, core::Time now);
  /// Keeps the time of committed crashes going, so that a restarted voter does not take old ones
  /// for new ones.
  void advanceCrashTime(core::Time now);
  void sendCrashAcks(const std::vector<CrashNotices::Ack> &acks);
  void advanceMoves(core::Time now);
  void proposeRegion(const config::SetRegionFailure &change, core::ConfigVersion expected,
                     core::Term term, core::Time now);
  void emitMoveOutcomes();

  LeaderSettings Settings;
  GroupVoter &Voter;
  core::EventSink &Events;
  Sender Send;

  bool Leading = false;
  lease::LeaseGrantor Leases;
  membership::MembershipView Members;
  quota::QuotaOwner Quota;
  balance::SlotLedger Slots;
  balance::CrashGuard Crashes;
  CrashNotices Notices;
  /// Committed crashes by id, with the time from which on no lease granted before the commit is
  /// valid. Later leases are granted by leaders that know the crash.
  std::map<uint64_t, core::Time> KnownEverywhere;
  uint64_t AdoptedCrashChanges = 0;
  moves::MoveController Moves;
  RegionMonitor Regions;

  core::ConfigVersion AdoptedVersion; ///< Configuration version last applied to limits and targets.
  bool HasAdopted = false;
  std::set<core::CustomerId> LimitedCustomers; ///< Customers with a limit at the quota owner.
  std::map<core::VmId, VmReport> LoadReports;  ///< Latest report of each VM.
  /// VMs whose lease is not known to have expired.
  std::map<core::VmId, core::Incarnation> Serving;
  std::vector<core::VmId> Excluded; ///< VMs that lookups must not return.
  uint64_t ExcludedDigest = 0;
  mutable std::string FullState;                ///< Cached encoded state of FullStateVersion.
  mutable core::ConfigVersion FullStateVersion; ///< 0: nothing is cached.
  mutable uint64_t FullStateDigest = 0;
  core::Time NextMaintenance;
  core::Time NextMoves;
  core::Time NextLoads;
  core::Time NextCrashTime;
  uint64_t LastRegionProposal = 0; ///< Makes command ids unique within a term.
};

} // namespace briarspar::daemon
