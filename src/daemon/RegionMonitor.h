#pragma once

#include "config/ConfigStore.h"
#include "core/Event.h"
#include "daemon/Reports.h"
#include "membership/MembershipView.h"
#include "moves/MoveController.h"

#include <functional>
#include <map>
#include <optional>

namespace briarspar::daemon {

struct RegionMonitorSettings {
  /// A new leader judges no region before this time. It has heard no heartbeat as a follower, so
  /// every VM is unknown to it at first; a live one renews its lease well within this time.
  core::Duration StartupGrace{15'000};
  /// A region fails when its targets answer nothing for this long, while requests are sent to them.
  core::Duration FailureWindow{10'000};
  uint64_t MinFailures = 5; ///< Fewer failures in that time say nothing about the region.
  /// Nobody may ask a failed region any more, so its recovery may stay unseen. After this time
  /// without a failure its callers return in steps; new failures send them away again.
  core::Duration RetryAfter{60'000};
  core::Duration LoadHoldAfterExpiry{
      17'000}; ///< From a VM's expiry until it has been found dead or back.
  core::Duration ProposalTimeout{2'000}; ///< A proposal without a result is made again after this.
};

/// Finds failed regions at the leader and keeps the committed forced shares equal to those of the
/// shift budget. Every proposal names the version of the record that it replaces, so a leader's
/// late proposal has no effect after its successor's. Not thread-safe; used on the control thread.
class RegionMonitor {
public:
  /// Proposes a change; the command must expect this version of the region's record.
  using Proposer = std::function<void(const config::SetRegionFailure &, core::ConfigVersion,
                                      core::Term, core::Time)>;

  /// The controller and the sink must outlive the object.
  RegionMonitor(moves::MoveController &moves, core::EventSink &events, Proposer proposer,
                const RegionMonitorSettings &settings = {});

  /// Restores the committed failures. Call it after MoveController::becomeLeader().
  void becomeLeader(const config::Records &records, core::Term term, core::Time now);

  /// Takes in the outcomes at targets that a VM reports.
  void observe(const VmReport &report, core::Time now);

  /// A VM's lease has ended; its reports, and its part of the region's load, are gone with it.
  void vmExpired(const core::RegionId &region, core::Time now);

  bool isUp(const core::RegionId &region) const;
  /// False while VMs that stopped reporting may have failed with their region: the load measured
  /// before is the one that has to go elsewhere.
  bool isLoadMeasurable(const core::RegionId &region, core::Time now) const;

  /// Judges every region, returns callers in steps and proposes what differs from the records. Call
  /// it about once a second, after the loads were observed.
  void tick(const config::Records &records, const membership::MembershipView &members,
            core::Time now);

private:
  struct Proposal {
    core::ConfigVersion ReplacedVersion;
    core::Time ProposedAt;
  };
  struct Region {
    bool Down = false;
    config::RegionFailureCause Cause = config::RegionFailureCause::Vms;
    uint64_t Failures = 0;                  ///< At its targets, since the last success.
    std::optional<core::Time> FailingSince; ///< First failure since the last success.
    core::Time LastFailure;
    core::Time LastSuccess;
    std::optional<core::Time> LastExpiry; ///< Of a VM's lease.
    std::optional<Proposal> Pending;
  };

  void evaluate(const core::RegionId &id, Region &region, const config::Records &records,
                const membership::MembershipView &members, core::Time now);
  std::optional<config::RegionFailureCause>
  detectFailure(const core::RegionId &id, const Region &region, const config::Records &records,
                const membership::MembershipView &members, core::Time now) const;
  bool hasRecovered(const core::RegionId &id, const Region &region, const config::Records &records,
                    const membership::MembershipView &members, core::Time now) const;
  void synchronize(const core::RegionId &id, Region &region, const config::Records &records,
                   core::Time now);
  config::SetRegionFailure desiredRecord(const core::RegionId &id, const Region &region) const;

  moves::MoveController &Moves;
  core::EventSink &Events;
  Proposer Propose;
  RegionMonitorSettings Settings;
  core::Term Term;
  core::Time LeaderSince;
  std::map<core::RegionId, Region> Regions;
};

} // namespace briarspar::daemon
