#include "daemon/GroupLeader.h"
#include "daemon/ServingState.h"

#include <algorithm>
#include <utility>

namespace briarspar::daemon {

namespace {

/// Minimum time for which the requests of an unresponsive VM are assumed to run.
constexpr core::Duration MinAssumedDeadline{1000};

} // namespace

void GroupLeader::startTerm(core::Time now) {
  core::Term term = Voter.replica().term();
  Leases.becomeLeader(now);
  Members.becomeLeader(now);
  // The voter holds the leader lease, so the leases of all previous leaders have expired.
  Quota.becomeOwner(now, term);
  Slots.becomeLeader(term, now);
  Serving.clear();
  Notices.clear();
  LoadReports.clear();
  HasAdopted = false;
  adoptMoves(now);
  Regions.becomeLeader(Voter.stateMachine().config().records(), term, now);
}

void GroupLeader::adoptMoves(core::Time now) {
  Voter.stateMachine().takeCommittedSteps();
  std::vector<core::VmId> vms;
  for (const auto &[id, vm] : Voter.stateMachine().config().records().Vms)
    vms.push_back(id);
  Moves.setVms(vms);
  std::vector<moves::MoveRecord> records;
  for (const auto &[id, record] : Voter.stateMachine().moves())
    records.push_back(record);
  Moves.becomeLeader(records, now);
}

void GroupLeader::adoptConfig(core::Time now) {
  const config::Records &records = Voter.stateMachine().config().records();
  adoptLimits(records, now);
  adoptVms(records);
  adoptTargets(records);
  adoptLinks(records);
  adoptOrders(records, now);
  AdoptedVersion = version();
  HasAdopted = true;
}

void GroupLeader::adoptLimits(const config::Records &records, core::Time now) {
  std::set<core::CustomerId> removed = std::exchange(LimitedCustomers, {});
  for (const auto &[id, customer] : records.Customers) {
    Quota.setLimit(id, quota::Rate::perSecond(static_cast<int64_t>(customer.Rate)),
                   quota::Burst{static_cast<int64_t>(customer.Burst)}, now);
    LimitedCustomers.insert(id);
    removed.erase(id);
  }
  for (const core::CustomerId &id : removed)
    Quota.removeCustomer(id, now);
}

void GroupLeader::adoptVms(const config::Records &records) {
  // A VM without a record may hold slots until its lease expires, so it remains in the list.
  std::vector<balance::VmInfo> vms;
  for (const auto &[id, run] : Serving)
    if (records.Vms.count(id) == 0)
      vms.push_back({id, {}});
  std::vector<core::VmId> ids;
  for (const auto &[id, vm] : records.Vms) {
    vms.push_back({id, {vm.Region, vm.Domain}});
    ids.push_back(id);
  }
  Slots.setVms(vms);
  Moves.setVms(ids);
}

void GroupLeader::adoptTargets(const config::Records &records) {
  std::vector<balance::TargetInfo> targets;
  for (const auto &[id, target] : records.Targets)
    targets.push_back(makeTargetInfo(records, target));
  Slots.setTargets(targets);
  core::Duration longest = MinAssumedDeadline;
  for (const auto &[id, route] : records.Routes)
    longest = std::max(longest, route.Deadline);
  Slots.setLongestDeadline(longest);
}

void GroupLeader::adoptLinks(const config::Records &records) {
  if (Settings.MaxLinkRequests == 0)
    return;
  std::set<core::RegionId> regions;
  for (const auto &[id, vm] : records.Vms)
    regions.insert(vm.Region);
  for (const auto &[id, target] : records.Targets)
    regions.insert(target.Region);
  for (const core::RegionId &from : regions)
    for (const core::RegionId &to : regions)
      if (from != to)
        Slots.regions().setLink(from, to, Settings.MaxLinkRequests);
}

void GroupLeader::adoptOrders(const config::Records &records, core::Time now) {
  for (const auto &[id, cap] : records.Caps)
    Moves.setCap(core::RegionId(id.Value), {cap.Permille * 10, cap.Period});
  for (const auto &[id, move] : Voter.stateMachine().moves())
    if (!move.ended())
      Moves.start(move, now);
  for (const auto &[id, move] : records.Moves)
    if (move.State == config::MoveState::RollingBack)
      Moves.cancel(id, now);
  for (const auto &[id, shift] : records.Shifts)
    if (shift.State == config::MoveState::RollingBack)
      Moves.cancel(id, now);
}

} // namespace briarspar::daemon
