// The choice among the targets that a TargetTable knows.

#include "entry/TargetTable.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

namespace {

/// Spread of the time of an answer around what is expected, as a part of the latency goal.
constexpr double LatencySpread = 0.1;

/// Value that a request a slot costs among otherwise equal targets.
constexpr double LoadTieBreak = 0.005;

bool contains(absl::Span<const std::string> list, const std::string &it) {
  return std::find(list.begin(), list.end(), it) != list.end();
}

} // namespace

std::string TargetTable::chooseService(const catalog::Route &route) {
  if (route.Services.size() == 1)
    return route.Services.front().Service;
  double total = 0;
  for (const catalog::WeightedService &it : route.Services)
    total += it.Weight;
  std::map<std::string, double> &credit = SplitCredit[route.Name];
  std::string chosen = route.Services.front().Service;
  for (const catalog::WeightedService &it : route.Services) {
    credit[it.Service] += it.Weight / total;
    if (it.Weight > 0 && credit[it.Service] > credit[chosen])
      chosen = it.Service;
  }
  credit[chosen] -= 1;
  return chosen;
}

std::optional<Pick> TargetTable::pick(const PickRequest &request, core::Time now) {
  if (request.Tried.empty())
    Affinity.recordRequest(request.Service, request.Object,
                           Processing.of(*request.Route, request.Service), now);
  LastFailure = {};
  std::optional<Candidate> chosen;
  auto rollout = Rollouts.find(request.Service);
  if (rollout != Rollouts.end()) {
    chosen = pickForRollout(rollout->second, request, now);
  } else {
    // Before the first list a service has no version, which must not be taken for its usual one.
    auto baseline = Baseline.find(request.Service);
    if (baseline != Baseline.end())
      chosen = selectBest(ofVersion(request.Service, &baseline->second, nullptr), request,
                          Versions::Stable, now);
  }
  if (!chosen)
    return std::nullopt;
  State &state = *chosen->Target;
  ++state.Own;
  if (isCold(state, now))
    state.ColdNext = now + Cold.interval(coldRate(state));
  if (request.Object)
    recordServed(state, *request.Object, now);
  Spillover.recordUsed(spilloverRegion(state.Region));
  return toPick(*chosen, request.Service);
}

Pick TargetTable::toPick(const Candidate &candidate, const std::string &service) {
  const State &state = *candidate.Target;
  Pick pick;
  pick.Id = state.Info.Id;
  pick.Host = state.Info.Host;
  pick.Port = state.Info.Port;
  pick.Service = service;
  pick.Version = state.Info.Version;
  pick.Region = state.Region;
  pick.ObjectCached = candidate.ObjectCached;
  pick.Expected = candidate.Expected;
  pick.Network = candidate.Network;
  pick.Slowness = candidate.Slowness;
  pick.Load = candidate.Load;
  pick.Value = candidate.Value;
  return pick;
}

std::optional<TargetTable::Candidate> TargetTable::pickForRollout(const catalog::Rollout &rollout,
                                                                  const PickRequest &request,
                                                                  core::Time now) {
  core::VersionId target(rollout.Target);
  if (rollout.State == catalog::RolloutState::Completed)
    return selectBest(ofVersion(request.Service, &target, nullptr), request, Versions::Stable, now);
  std::vector<State *> old;
  if (rollout.From.empty()) {
    old = ofVersion(request.Service, nullptr, &target);
  } else {
    core::VersionId from(rollout.From);
    old = ofVersion(request.Service, &from, nullptr);
  }
  if (rollout.State == catalog::RolloutState::RolledBack)
    return selectBest(old, request, Versions::Stable, now);
  double &credit = RolloutCredit[request.Service];
  credit = std::min(1.0, credit + rollout.SharePermille / 1000.0);
  if (credit >= 1 && request.Tried.empty()) {
    std::optional<Candidate> chosen =
        selectBest(ofVersion(request.Service, &target, nullptr), request, Versions::Canary, now);
    if (chosen) {
      credit -= 1;
      return chosen;
    }
  }
  return selectBest(old, request, Versions::Stable, now);
}

std::vector<TargetTable::State *> TargetTable::ofVersion(const std::string &service,
                                                         const core::VersionId *wanted,
                                                         const core::VersionId *unwanted) {
  std::vector<State *> out;
  auto states = ByService.find(service);
  if (states == ByService.end())
    return out;
  out.reserve(states->second.size());
  for (State *state : states->second) {
    if (wanted != nullptr && state->Info.Version != *wanted)
      continue;
    if (unwanted != nullptr && state->Info.Version == *unwanted)
      continue;
    out.push_back(state);
  }
  return out;
}

std::optional<TargetTable::Candidate> TargetTable::selectBest(absl::Span<State *const> targets,
                                                              const PickRequest &request,
                                                              Versions versions, core::Time now) {
  LastFailure = {};
  std::vector<AffinityCandidate> homes;
  std::vector<State *> usable;
  homes.reserve(targets.size());
  usable.reserve(targets.size());
  for (State *state : targets) {
    if (!mayUse(*state, request))
      continue;
    usable.push_back(state);
    homes.push_back({&state->Info.Id, &state->Region, static_cast<double>(state->Info.Slots)});
  }
  HomeRegion = Own.Region;
  if (request.Object) {
    bool isComplete = versions == Versions::Stable && request.HomeRegions.empty() &&
                      request.CustomerRegions.empty() && request.Tried.empty();
    Affinity.markPreferred(request.Service, *request.Object, Own.Region, absl::MakeSpan(homes),
                           {now, isComplete, isFailingOver(request.Service, now)});
    for (const AffinityCandidate &it : homes)
      if (it.IsPrimary)
        HomeRegion = *it.Region;
  }
  const ProcessingTime time = Processing.of(*request.Route, request.Service);
  double meanWork = Processing.mean(request.Service);
  std::map<core::RegionId, Candidate> bestOf;
  for (size_t i = 0; i < usable.size(); ++i) {
    State &state = *usable[i];
    ++LastFailure.Usable;
    if (isCold(state, now) && !mayUseColdTarget(state, now)) {
      ++LastFailure.Cold;
      continue;
    }
    Candidate it = evaluate(state, homes[i], request, time, meanWork, now);
    if (it.Load >= state.Info.Slots * Settings.MaxLoadPerSlot) {
      ++LastFailure.Full;
      continue;
    }
    if (it.Expected > static_cast<double>(request.Left.Ms)) {
      ++LastFailure.Late;
      continue;
    }
    auto known = bestOf.find(state.Region);
    if (known == bestOf.end() || it.Value > known->second.Value)
      bestOf[state.Region] = it;
  }
  return chooseRegion(bestOf, request.Service, now);
}

std::optional<TargetTable::Candidate>
TargetTable::chooseRegion(const std::map<core::RegionId, Candidate> &bestOf,
                          const std::string &service, core::Time now) {
  const Candidate *wished = nullptr;
  for (const auto &[region, it] : bestOf)
    if (wished == nullptr || it.Value > wished->Value)
      wished = &it;
  if (wished == nullptr)
    return std::nullopt;
  LastFailure.Value = wished->Value;
  LastFailure.Expected = wished->Expected;
  LastFailure.Load = wished->Load;
  if (wished->Value < Settings.MinValue)
    return std::nullopt;
  Spillover.recordDesired(spilloverRegion(wished->Target->Region), {{core::RegionId(), 1.0}}, now);
  // Requests whose targets have failed move at once.
  if (isFailingOver(service, now)) {
    Spillover.snapToDesired();
    return *wished;
  }
  const Candidate *chosen = nullptr;
  for (const auto &[region, it] : bestOf)
    if (it.Value >= Settings.MinValue && Spillover.mayUse(spilloverRegion(region)) &&
        (chosen == nullptr || it.Value > chosen->Value))
      chosen = &it;
  // The weights of the regions bound how fast homes move; a request that finds its home free is not
  // refused for a bound on those that do not.
  auto home = bestOf.find(HomeRegion);
  if (chosen == nullptr && home != bestOf.end() && home->second.Value >= Settings.MinValue)
    chosen = &home->second;
  LastFailure.RegionLimited = chosen == nullptr;
  if (chosen == nullptr)
    return std::nullopt;
  return *chosen;
}

TargetTable::Candidate TargetTable::evaluate(State &state, const AffinityCandidate &home,
                                             const PickRequest &request, const ProcessingTime &time,
                                             double meanWork, core::Time now) const {
  Candidate it;
  it.Target = &state;
  it.Load = load(state, now);
  it.Network = network(state);
  it.Slowness = slowness(state, now);
  it.ObjectCached = home.IsPrimary || (request.Object && hasCached(state, *request.Object, now));
  double slots = state.Info.Slots;
  double work = (it.ObjectCached ? time.CachedMs : time.UncachedMs) * it.Slowness;
  if (isCold(state, now))
    work += time.UncachedMs;
  double wait = it.Load < slots ? 0 : (it.Load - slots + 1) / slots * meanWork * it.Slowness;
  it.Expected = it.Network + wait + work;

  double goal = static_cast<double>((request.Route->LatencyGoal - request.Waited).Ms);
  double spread = std::max(1.0, static_cast<double>(request.Route->LatencyGoal.Ms) * LatencySpread);
  double inGoal = 1 / (1 + std::exp((it.Expected - goal) / spread));
  double weight = 1 + Settings.PriorityStep * (static_cast<double>(Settings.NormalPriority) -
                                               static_cast<double>(request.Priority));
  double answer = Settings.LateValue + (1 - Settings.LateValue) * inGoal;
  bool learns = home.IsFallback && !it.ObjectCached;
  double displaced = std::max(0.0, it.Load / slots - Settings.UncontendedLoad) * Settings.LoadCost *
                     (learns ? time.CachedMs : work) / std::max(1.0, meanWork);
  it.Value = std::max(0.1, weight) * answer * (1 - state.FailureShare) - displaced -
             transferCost(state, *request.Route);
  if (request.Object && !it.ObjectCached)
    it.Value -= home.IsFallback ? Settings.FallbackCost : Settings.CacheEvictionCost;
  // Among equals the less loaded one; too little to outweigh anything else.
  it.Value -= it.Load / slots * LoadTieBreak;
  return it;
}

double TargetTable::transferCost(const State &state, const catalog::Route &route) const {
  if (state.Info.Domain == Own.Domain)
    return 0;
  double perKb = state.Region == Own.Region ? Settings.DomainCostPerKb : Settings.RegionCostPerKb;
  return Processing.bytes(route) / 1000 * perKb;
}

bool TargetTable::mayUse(const State &state, const PickRequest &request) const {
  if (state.Info.Draining || state.Leaving || state.Ejected ||
      Evacuated.count(state.Info.Domain.Value) != 0)
    return false;
  const std::string &region = state.Region.Value;
  bool isAllowed = (request.HomeRegions.empty() || contains(request.HomeRegions, region)) &&
                   (request.CustomerRegions.empty() || contains(request.CustomerRegions, region));
  return isAllowed && std::find(request.Tried.begin(), request.Tried.end(), state.Info.Id) ==
                          request.Tried.end();
}

bool TargetTable::mayUseColdTarget(const State &state, core::Time now) const {
  return now >= state.ColdNext && Cold.maySend(state.Info.Id, state.Region, coldRate(state));
}

} // namespace briarspar::entry
