// Target selection of TargetTable.

#include "entry/TargetTable.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

namespace {

/// Spread of response times around the expected time, as a fraction of the latency goal.
constexpr double LatencySpread = 0.1;

/// Value of one request per slot when comparing otherwise equal targets.
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
    // A service has no version before the first target list; an empty version must not become its
    // baseline.
    auto baseline = Baseline.find(request.Service);
    if (baseline != Baseline.end())
      chosen = selectBest(ofVersion(request.Service, &baseline->second, nullptr), request,
                          Versions::Stable, now);
  }
  if (!chosen)
    return std::nullopt;
  State &state = *chosen->Target;
  ++state.OwnRequests;
  const core::Time sentBefore = state.LastSentAt;
  if (!chosen->OpenedBy)
    state.LastSentAt = now;
  if (request.Object)
    recordServed(state, *request.Object, now);
  Spillover.recordUsed(spilloverRegion(state.Region));
  Pick pick = toPick(*chosen, request.Service);
  pick.OpenedBy = chosen->OpenedBy;
  pick.IsLimited = chosen->IsLimited;
  pick.SentAt = now;
  pick.SentBeforeAt = sentBefore;
  pick.Cold = {
      std::max<int64_t>(0, (std::max(state.Process.coldUntil(), state.AssumedColdUntil) - now).Ms)};
  if (pick.Cold.Ms > 0)
    pick.ColdBy = state.Process.isCold(now) ? state.Process.coldBy() : ColdEvidence::Returned;
  else if (pick.IsLimited || pick.OpenedBy)
    pick.ColdBy = state.Process.doubt(now);
  return pick;
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
  std::vector<AffinityCandidate> affinities;
  std::vector<State *> usable;
  affinities.reserve(targets.size());
  usable.reserve(targets.size());
  for (State *state : targets) {
    if (!mayUse(*state, request))
      continue;
    if (!Notices.mayUse(state->Info.Id, now)) {
      countPaused(*state, now);
      continue;
    }
    usable.push_back(state);
    affinities.push_back({&state->Info.Id, &state->Region, static_cast<double>(state->Info.Slots)});
  }
  PrimaryRegion = Own.Region;
  if (request.Object) {
    bool isComplete = versions == Versions::Stable && request.RouteRegions.empty() &&
                      request.CustomerRegions.empty() && request.Tried.empty();
    Affinity.markPreferred(request.Service, *request.Object, Own.Region, absl::MakeSpan(affinities),
                           {now, isComplete, isFailingOver(request.Service, now)});
    for (const AffinityCandidate &it : affinities)
      if (it.IsPrimary)
        PrimaryRegion = *it.Region;
  }
  const ProcessingTime time = Processing.of(*request.Route, request.Service);
  double meanTime = Processing.mean(request.Service);
  // Each request in progress occupies a connection.
  const int ownLimit = static_cast<int>(maxConnections(request.Service));
  std::map<core::RegionId, Candidate> bestOf;
  std::vector<Candidate> doubtful; // Not usable until their processes have been asked.
  for (size_t i = 0; i < usable.size(); ++i) {
    State &state = *usable[i];
    ++LastFailure.Usable;
    const bool isDoubtful = !isCold(state, now) && isDoubted(state, now);
    std::optional<core::Time> openedBy;
    if (isDoubtful && request.MayReuse &&
        request.MayReuse(state.Info.Host, state.Info.Port, knownUntil(state, now)))
      openedBy = knownUntil(state, now);
    const bool isLimited = !openedBy && (isDoubtful || isCold(state, now));
    if (isLimited && !mayUseColdTarget(state, now)) {
      ++LastFailure.Cold;
      if (isDoubtful)
        doubtful.push_back(evaluate(state, affinities[i], request, time, meanTime, now));
      continue;
    }
    Candidate it = evaluate(state, affinities[i], request, time, meanTime, now);
    it.OpenedBy = openedBy;
    it.IsLimited = isLimited;
    if (it.Load >= state.Info.Slots * Settings.MaxLoadPerSlot || state.OwnRequests >= ownLimit) {
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
  std::optional<Candidate> chosen = chooseRegion(bestOf, request.Service, now);
  if (chosen && chosen->IsLimited)
    doubtful.push_back(*chosen);
  auto wanted = std::max_element(doubtful.begin(), doubtful.end(),
                                 [](const auto &a, const auto &b) { return a.Value < b.Value; });
  if (wanted != doubtful.end() && (!chosen || wanted->Value >= chosen->Value))
    markWanted(*wanted->Target, now);
  return chosen;
}

std::optional<TargetTable::Candidate>
TargetTable::chooseRegion(const std::map<core::RegionId, Candidate> &bestOf,
                          const std::string &service, core::Time now) {
  const Candidate *preferred = nullptr;
  for (const auto &[region, it] : bestOf)
    if (preferred == nullptr || it.Value > preferred->Value)
      preferred = &it;
  if (preferred == nullptr)
    return std::nullopt;
  LastFailure.Value = preferred->Value;
  LastFailure.Expected = preferred->Expected;
  LastFailure.Load = preferred->Load;
  if (preferred->Value < Settings.MinValue)
    return std::nullopt;
  Spillover.recordDesired(spilloverRegion(preferred->Target->Region), {{core::RegionId(), 1.0}},
                          now);
  // Requests leave failed targets immediately, without the rate limit.
  if (isFailingOver(service, now)) {
    Spillover.snapToDesired();
    return *preferred;
  }
  const Candidate *chosen = nullptr;
  for (const auto &[region, it] : bestOf)
    if (it.Value >= Settings.MinValue && Spillover.mayUse(spilloverRegion(region)) &&
        (chosen == nullptr || it.Value > chosen->Value))
      chosen = &it;
  // RegionWeights already limits how fast objects move between regions. A request whose primary
  // target has room is not refused because of the limit on spillover.
  auto primary = bestOf.find(PrimaryRegion);
  if (chosen == nullptr && primary != bestOf.end() && primary->second.Value >= Settings.MinValue)
    chosen = &primary->second;
  LastFailure.RegionLimited = chosen == nullptr;
  if (chosen == nullptr)
    return std::nullopt;
  return *chosen;
}

TargetTable::Candidate TargetTable::evaluate(State &state, const AffinityCandidate &affinity,
                                             const PickRequest &request, const ProcessingTime &time,
                                             double meanTime, core::Time now) const {
  Candidate it;
  it.Target = &state;
  it.Load = load(state, now);
  it.Network = network(state);
  it.Slowness = slowness(state, now);
  it.ObjectCached = (affinity.IsPrimary && !isCold(state, now)) ||
                    (request.Object && hasCached(state, *request.Object, now));
  double slots = state.Info.Slots;
  double processingMs = (it.ObjectCached ? time.CachedMs : time.UncachedMs) * it.Slowness;
  if (isCold(state, now))
    processingMs += time.UncachedMs;
  double waitMs = it.Load < slots ? 0 : (it.Load - slots + 1) / slots * meanTime * it.Slowness;
  it.Expected = it.Network + waitMs + processingMs;

  double goal = static_cast<double>((request.Route->LatencyGoal - request.Waited).Ms);
  double spread = std::max(1.0, static_cast<double>(request.Route->LatencyGoal.Ms) * LatencySpread);
  double withinGoal = 1 / (1 + std::exp((it.Expected - goal) / spread));
  double weight = 1 + Settings.PriorityStep * (static_cast<double>(Settings.NormalPriority) -
                                               static_cast<double>(request.Priority));
  double responseValue = Settings.LateValue + (1 - Settings.LateValue) * withinGoal;
  bool fillsCache = affinity.IsFallback && !it.ObjectCached;
  double displacedValue = std::max(0.0, it.Load / slots - Settings.UncontendedLoad) *
                          Settings.LoadCost * (fillsCache ? time.CachedMs : processingMs) /
                          std::max(1.0, meanTime);
  it.Value = std::max(0.1, weight) * responseValue * (1 - state.FailureShare) - displacedValue -
             transferCost(state, *request.Route);
  if (request.Object && !it.ObjectCached)
    it.Value -= affinity.IsFallback ? Settings.FallbackCost : Settings.CacheEvictionCost;
  // Breaks ties in favour of the less loaded target.
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
  bool isAllowed = (request.RouteRegions.empty() || contains(request.RouteRegions, region)) &&
                   (request.CustomerRegions.empty() || contains(request.CustomerRegions, region));
  return isAllowed && std::find(request.Tried.begin(), request.Tried.end(), state.Info.Id) ==
                          request.Tried.end();
}

void TargetTable::countPaused(const State &state, core::Time now) {
  std::optional<core::Time> until = Notices.pausedUntil(state.Info.Id, now);
  if (!until)
    return;
  if (++LastFailure.Paused == 1 || *until < LastFailure.ResumesAt)
    LastFailure.ResumesAt = *until;
}

bool TargetTable::mayUseColdTarget(const State &state, core::Time now) const {
  return now - state.LastSentAt >= Cold.interval(coldRate(state)) &&
         Cold.maySend(state.Info.Id, state.Region, coldRate(state));
}

} // namespace briarspar::entry
