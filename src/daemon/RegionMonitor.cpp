#include "daemon/RegionMonitor.h"

#include <algorithm>
#include <utility>

namespace briarspar::daemon {

namespace {

using config::RegionFailureCause;

/// Counts the region's VMs in the given state, or all of them if no state is given.
size_t countVms(const config::Records &records, const membership::MembershipView &members,
                const core::RegionId &region, std::optional<membership::VmState> state,
                core::Time now) {
  return static_cast<size_t>(
      std::count_if(records.Vms.begin(), records.Vms.end(), [&](const auto &it) {
        return it.second.Region == region && (!state || members.stateOf(it.first, now) == *state);
      }));
}

std::vector<moves::ForcedShare> forcedOf(const config::RegionFailureRecord &record) {
  std::vector<moves::ForcedShare> forced;
  for (const config::ForcedShare &it : record.ForcedShares)
    forced.push_back({it.To, it.BasisPoints});
  return forced;
}

bool isSame(const config::SetRegionFailure &wanted, const config::RegionFailureRecord *record) {
  if (record == nullptr)
    return !wanted.Down && wanted.ForcedShares.empty();
  return wanted.Down == record->Down && wanted.ForcedShares == record->ForcedShares;
}

} // namespace

RegionMonitor::RegionMonitor(moves::MoveController &moves, core::EventSink &events,
                             Proposer proposer, const RegionMonitorSettings &settings)
    : Moves(moves), Events(events), Propose(std::move(proposer)), Settings(settings) {}

void RegionMonitor::becomeLeader(const config::Records &records, core::Term term, core::Time now) {
  Term = term;
  LeaderSince = now;
  // State from an earlier term of this process may be stale.
  for (const auto &[id, region] : std::exchange(Regions, {}))
    Moves.setForcedShares(id, {}, 0, /*down=*/false);
  for (const auto &[id, record] : records.RegionFailures) {
    Region &region = Regions[id];
    region.Down = record.Down;
    region.Cause = record.Cause;
    region.LastFailure = now;
    Moves.setForcedShares(id, forcedOf(record), record.Load, record.Down);
  }
}

void RegionMonitor::observe(const VmReport &report, core::Time now) {
  for (const RegionOutcomes &outcomes : report.Regions) {
    Region &region = Regions[outcomes.Region];
    if (outcomes.Good > 0) {
      region.Failures = 0;
      region.FailingSince.reset();
      region.LastSuccess = now;
    } else if (outcomes.Failed > 0) {
      region.Failures += outcomes.Failed;
      region.LastFailure = now;
      if (!region.FailingSince)
        region.FailingSince = now;
    }
  }
}

void RegionMonitor::vmExpired(const core::RegionId &region, core::Time now) {
  Regions[region].LastExpiry = now;
}

bool RegionMonitor::isLoadMeasurable(const core::RegionId &region, core::Time now) const {
  auto it = Regions.find(region);
  return it == Regions.end() || it->second.Down || !it->second.LastExpiry ||
         now - *it->second.LastExpiry >= Settings.LoadHoldAfterExpiry;
}

bool RegionMonitor::isUp(const core::RegionId &region) const {
  auto it = Regions.find(region);
  return it == Regions.end() || !it->second.Down;
}

std::optional<RegionFailureCause>
RegionMonitor::detectFailure(const core::RegionId &id, const Region &region,
                             const config::Records &records,
                             const membership::MembershipView &members, core::Time now) const {
  size_t vms = countVms(records, members, id, std::nullopt, now);
  if (vms > 0 && countVms(records, members, id, membership::VmState::Dead, now) == vms)
    return RegionFailureCause::Vms;
  if (region.FailingSince && region.Failures >= Settings.MinFailures &&
      now - *region.FailingSince >= Settings.FailureWindow)
    return RegionFailureCause::Targets;
  return std::nullopt;
}

bool RegionMonitor::hasRecovered(const core::RegionId &id, const Region &region,
                                 const config::Records &records,
                                 const membership::MembershipView &members, core::Time now) const {
  if (countVms(records, members, id, membership::VmState::Live, now) == 0)
    return false;
  if (region.Cause == RegionFailureCause::Vms)
    return true;
  return region.LastSuccess > region.LastFailure || now - region.LastFailure >= Settings.RetryAfter;
}

void RegionMonitor::evaluate(const core::RegionId &id, Region &region,
                             const config::Records &records,
                             const membership::MembershipView &members, core::Time now) {
  if (region.Down) {
    if (!hasRecovered(id, region, records, members, now))
      return;
    region.Down = false;
    region.Failures = 0;
    region.FailingSince.reset();
    Events.emit({core::EventId::RegionReturned, {{"region", id.Value}}});
    return;
  }
  std::optional<RegionFailureCause> cause = detectFailure(id, region, records, members, now);
  if (!cause)
    return;
  region.Down = true;
  region.Cause = *cause;
  Events.emit(
      {core::EventId::RegionFailed, {{"region", id.Value}, {"cause", config::nameOf(*cause)}}});
}

config::SetRegionFailure RegionMonitor::desiredRecord(const core::RegionId &id,
                                                      const Region &region) const {
  config::SetRegionFailure wanted;
  wanted.Id = id;
  wanted.Down = region.Down;
  wanted.Cause = region.Cause;
  wanted.Load = Moves.budget().loadAtFailure(id);
  for (const moves::ForcedShare &it : Moves.budget().forcedShares(id))
    wanted.ForcedShares.push_back({it.To, it.Share});
  return wanted;
}

void RegionMonitor::synchronize(const core::RegionId &id, Region &region,
                                const config::Records &records, core::Time now) {
  const config::RegionFailureRecord *record = config::find(records.RegionFailures, id);
  core::ConfigVersion version = record != nullptr ? record->Changed.Version : core::ConfigVersion();
  if (region.Pending && region.Pending->ReplacedVersion != version) {
    Moves.forcedReturnCommitted(id, now);
    region.Pending.reset();
  }
  // The next step starts from committed shares only, never while a proposal is pending.
  if (!region.Down && !region.Pending && isSame(desiredRecord(id, region), record))
    Moves.returnForcedShares(id, now);
  config::SetRegionFailure wanted = desiredRecord(id, region);
  if (isSame(wanted, record)) {
    region.Pending.reset();
    return;
  }
  if (region.Pending && now - region.Pending->ProposedAt < Settings.ProposalTimeout)
    return;
  region.Pending = Proposal{version, now};
  core::Json shares = core::Json::object();
  for (const config::ForcedShare &it : wanted.ForcedShares)
    shares[it.To.Value] = it.BasisPoints;
  Events.emit({core::EventId::ForcedSharesProposed,
               {{"region", id.Value}, {"down", wanted.Down}, {"shares", shares.dump()}}});
  Propose(wanted, version, Term, now);
}

void RegionMonitor::tick(const config::Records &records, const membership::MembershipView &members,
                         core::Time now) {
  if (now - LeaderSince < Settings.StartupGrace)
    return;
  for (const auto &[id, vm] : records.Vms)
    Regions[vm.Region];
  for (auto &[id, region] : Regions)
    evaluate(id, region, records, members, now);
  // A failure also changes the shares of other regions, so all are evaluated before any proposal.
  for (auto &[id, region] : Regions)
    if (region.Down)
      Moves.regionFailed(id, now);
  for (auto &[id, region] : Regions)
    synchronize(id, region, records, now);
}

} // namespace briarspar::daemon
