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
  /// Time after an election during which the new leader evaluates no region. Followers receive no
  /// heartbeats, so a new leader does not know the state of any VM; a live VM renews its lease well
  /// within this time.
  core::Duration StartupGrace{15'000};
  /// A region fails when requests are sent to its targets and none succeeds for this long.
  core::Duration FailureWindow{10'000};
  /// Minimum number of failures since the last success. Fewer are not conclusive.
  uint64_t MinFailures = 5;
  /// A failed region may receive no requests, so its recovery may go undetected. After this time
  /// without a failure its callers return in steps; new failures redirect them again.
  core::Duration RetryAfter{60'000};
  /// Time from a VM's lease expiry until the VM is known to be dead or live.
  core::Duration LoadHoldAfterExpiry{17'000};
  /// A proposal without a result is repeated after this time.
  core::Duration ProposalTimeout{2'000};
};

/// Detects failed regions at the leader and keeps the committed forced shares equal to those of the
/// shift budget. Every proposal names the version of the record that it replaces, so that a delayed
/// proposal of a former leader has no effect after one of its successor. Not thread-safe; used on
/// the control thread.
class RegionMonitor {
public:
  /// Proposes a change. The command must name the given version of the region's record as expected.
  using Proposer = std::function<void(const config::SetRegionFailure &, core::ConfigVersion,
                                      core::Term, core::Time)>;

  /// The controller and the sink must outlive the object.
  RegionMonitor(moves::MoveController &moves, core::EventSink &events, Proposer proposer,
                const RegionMonitorSettings &settings = {});

  /// Restores the committed failures. Call it after MoveController::becomeLeader().
  void becomeLeader(const config::Records &records, core::Term term, core::Time now);

  /// Records the outcomes at targets that a VM reports.
  void observe(const VmReport &report, core::Time now);

  /// Must be called when a VM's lease expires: its reports, and its part of the region's load, are
  /// missing from then on.
  void vmExpired(const core::RegionId &region, core::Time now);

  bool isUp(const core::RegionId &region) const;
  /// Returns false while VMs that stopped reporting may have failed with their region. The load
  /// measured before must then be kept, because it is the load to redirect.
  bool isLoadMeasurable(const core::RegionId &region, core::Time now) const;

  /// Evaluates every region, returns callers in steps and proposes the changes to the records. Must
  /// be called about once a second, after the loads were observed.
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
    uint64_t Failures = 0;                  ///< Failed requests since the last success.
    std::optional<core::Time> FailingSince; ///< First failure since the last success.
    core::Time LastFailure;
    core::Time LastSuccess;
    std::optional<core::Time> LastExpiry; ///< Last expiry of a VM's lease.
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
