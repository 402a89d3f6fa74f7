#include "daemon/ServingState.h"

#include "daemon/BlockIndex.h"

#include <algorithm>

namespace briarspar::daemon {

namespace {

bool isPrefixOf(std::string_view prefix, std::string_view path) {
  if (path.substr(0, prefix.size()) != prefix)
    return false;
  bool endsAtSegment = path.size() == prefix.size() || prefix.back() == '/';
  return endsAtSegment || path[prefix.size()] == '/';
}

RouteView viewOf(const config::Records &records, const config::RouteRecord &route) {
  RouteView view;
  view.Record = route;
  const config::MoveRecord *move = config::runningMove(records, route.Id);
  if (move == nullptr) {
    if (!route.Current.empty())
      view.Shares[route.Current] = 1000;
    return view;
  }
  view.CandidateVersion = move->To;
  view.Shares[move->To] = move->SharePermille;
  view.Shares[move->From] = 1000 - move->SharePermille;
  return view;
}

std::vector<placement::Site> sitesOf(const config::Records &records, const ServingContext &context,
                                     const SiteNumbers &numbers) {
  std::map<core::RegionId, std::vector<placement::EntryVm>> vms;
  for (const auto &[id, vm] : records.Vms)
    vms[vm.Region].push_back(
        {id, context.Excluded.count(id) == 0, config::isDraining(records, vm), {}});
  std::vector<placement::Site> sites;
  for (const auto &[region, number] : numbers) {
    placement::Site site;
    site.Id = number;
    site.Vms = std::move(vms[region]);
    // Forced shares precede shifts: callers that they redirect are not available for a shift.
    if (const auto *failure = config::find(records.RegionFailures, region))
      for (const config::ForcedShare &it : failure->ForcedShares)
        if (auto to = numbers.find(it.To); to != numbers.end())
          site.Shares.push_back({to->second, it.BasisPoints});
    for (const auto &[id, shift] : records.Shifts) {
      auto to = numbers.find(core::RegionId(shift.To));
      if (shift.From == region.Value && shift.ShiftedPermille > 0 && to != numbers.end())
        site.Shares.push_back({to->second, shift.ShiftedPermille * 10});
    }
    sites.push_back(std::move(site));
  }
  return sites;
}

std::shared_ptr<const placement::LookupPolicy> lookupsOf(const config::Records &records,
                                                         const ServingContext &context) {
  SiteNumbers numbers = numberRegions(records);
  placement::LookupSettings settings;
  settings.MaxTtl = context.LookupTtl;
  settings.DrainTtl = context.LookupTtl;
  return std::make_shared<const placement::LookupPolicy>(
      context.Blocks, sitesOf(records, context, numbers), settings);
}

} // namespace

balance::TargetInfo makeTargetInfo(const config::Records &records,
                                   const config::TargetRecord &target) {
  balance::TargetInfo info;
  info.Id = target.Id;
  info.Pool = balance::PoolId(target.Route.Value);
  info.Version = target.Version;
  info.Where = {target.Region, target.Domain};
  info.Slots = config::isDraining(records, target) ? 0 : target.Slots;
  return info;
}

const RouteView *ServingState::routeFor(std::string_view path) const {
  for (const RouteView &route : Routes)
    if (isPrefixOf(route.Record.PathPrefix, path))
      return &route;
  return nullptr;
}

std::vector<RegionOutcomes>
outcomesByRegion(const std::map<core::TargetId, balance::OutcomeCounts> &outcomes,
                 const ServingState &state) {
  std::map<core::RegionId, RegionOutcomes> sums;
  for (const auto &[id, counts] : outcomes) {
    const config::TargetRecord *target = config::find(state.Records.Targets, id);
    if (target == nullptr)
      continue;
    const config::MoveRecord *move = config::runningMove(state.Records, target->Route);
    if (move != nullptr && move->To == target->Version)
      continue;
    RegionOutcomes &sum = sums[target->Region];
    sum.Region = target->Region;
    sum.Good += counts.Good;
    sum.Failed += counts.Failed;
  }
  std::vector<RegionOutcomes> out;
  out.reserve(sums.size());
  for (const auto &[id, sum] : sums)
    out.push_back(sum);
  return out;
}

std::shared_ptr<const ServingState> buildServingState(const config::ConfigReplica &config,
                                                      const ServingContext &context) {
  auto state = std::make_shared<ServingState>();
  const config::Records &records = config.records();
  state->Version = config.version();
  state->Digest = config.digest();
  state->Records = config::withoutBlocks(records);
  for (const auto &[id, route] : records.Routes)
    state->Routes.push_back(viewOf(records, route));
  std::sort(state->Routes.begin(), state->Routes.end(), [](const auto &a, const auto &b) {
    return a.Record.PathPrefix.size() > b.Record.PathPrefix.size();
  });
  for (const auto &[id, target] : records.Targets)
    state->Targets.push_back(makeTargetInfo(records, target));
  state->Keys = auth::KeyVerifier(records);
  state->Lookups = lookupsOf(records, context);
  return state;
}

} // namespace briarspar::daemon
