#include "entry/TargetTable.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace briarspar::entry {

namespace {

/// Weight of a new sample in aged means.
constexpr double SampleWeight = 0.15;

/// Bound of the measured slowness of a target.
constexpr double MaxSlowness = 12;

/// A time up to this factor of what was expected is explained by the spread of work.
constexpr double ExplainedTime = 1.6;

/// Spread of the time of an answer around what is expected, as a part of the latency goal.
constexpr double GoalSpread = 0.1;

/// Value that a request a slot costs among otherwise equal targets.
constexpr double EvenLoad = 0.005;

/// A probe without an answer is given up.
constexpr core::Duration ProbeTimeout{1000};

/// After its return, a target is treated as cold until the list can have shown whether it is.
constexpr core::Duration UnprovenSpan{2500};

/// Connections to one target are shared by all entry VMs; part of the limit that they use.
constexpr double ConnectionPart = 0.7;

/// Loads in one report to the leader, 6 bytes each; a VM with a tenth of a core gets 10 answers in
/// the time between two reports.
constexpr size_t MaxReportedLoads = 128;

bool contains(absl::Span<const std::string> list, const std::string &it) {
  return std::find(list.begin(), list.end(), it) != list.end();
}

} // namespace

TargetTable::TargetTable(Place own, const TargetTableSettings &settings)
    : Own(std::move(own)), Settings(settings), Work(settings.Work), Homes(settings.Homes),
      Cold(Own.Vm, Own.Region, settings.Cold), Shift(settings.Shift) {}

void TargetTable::setTargets(const discovery::TargetList &list, core::Time now) {
  for (const auto &[id, state] : Targets) {
    if (list.targets().count(id) == 0 && !state.Info.Draining)
      DisturbedAt[state.Info.Service] = now;
  }
  std::map<core::TargetId, State> old;
  old.swap(Targets);
  ByService.clear();
  ByKey.clear();
  for (const auto &[id, info] : list.targets()) {
    State &state = Targets[id];
    auto known = old.find(id);
    if (known != old.end())
      state = std::move(known->second);
    bool moved = state.Info.Host != info.Host || state.Info.Port != info.Port;
    if (known != old.end() && moved)
      state = {};
    state.Info = info;
    auto region = Own.Regions.find(info.Domain);
    state.Region = region == Own.Regions.end() ? core::RegionId() : region->second;
    if (info.ColdUntil > now)
      state.ColdUntil = info.ColdUntil;
    ByService[info.Service].push_back(&state);
    ByKey[link::targetKey(id)] = &state;
  }
  for (const auto &[service, states] : ByService) {
    if (Baseline.count(service) != 0)
      continue;
    std::map<core::VersionId, size_t> versions;
    for (const State *state : states)
      ++versions[state->Info.Version];
    auto most = std::max_element(versions.begin(), versions.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; });
    Baseline[service] = most->first;
  }
}

void TargetTable::setCatalog(const catalog::Catalog &catalog, core::Time now) {
  std::map<std::string, bool> before = Evacuated;
  Services.clear();
  for (const auto &[name, held] : catalog.services())
    if (held.Value)
      Services[name] = *held.Value;
  Rollouts = catalog.rollouts();
  Evacuated.clear();
  for (const auto &[domain, it] : catalog.evacuations())
    if (it.Active)
      Evacuated[domain] = true;
  if (Evacuated != before)
    for (const auto &[service, states] : ByService)
      DisturbedAt[service] = now;
}

void TargetTable::setEntries(absl::Span<const link::EntryPlace> entries) {
  EntryCount = std::max<size_t>(1, entries.size());
  Cold.setEntries(entries);
}

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
    Homes.note(request.Service, request.Object, Work.of(*request.Route, request.Service), now);
  LastFailure = {};
  std::optional<Candidate> chosen;
  auto rollout = Rollouts.find(request.Service);
  if (rollout != Rollouts.end()) {
    chosen = pickForRollout(rollout->second, request, now);
  } else {
    // Before the first list a service has no version, which must not be taken for its usual one.
    auto baseline = Baseline.find(request.Service);
    if (baseline != Baseline.end())
      chosen = best(ofVersion(request.Service, &baseline->second, nullptr), request,
                    Versions::Usual, now);
  }
  if (!chosen)
    return std::nullopt;
  State &state = *chosen->Target;
  ++state.Own;
  if (isCold(state, now))
    state.ColdNext = now + Cold.interval(coldRate(state));
  if (request.Object)
    noteServed(state, *request.Object, now);
  Shift.count(spillTo(state.Region));
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
  pick.Familiar = candidate.Familiar;
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
    return best(ofVersion(request.Service, &target, nullptr), request, Versions::Usual, now);
  std::vector<State *> old;
  if (rollout.From.empty()) {
    old = ofVersion(request.Service, nullptr, &target);
  } else {
    core::VersionId from(rollout.From);
    old = ofVersion(request.Service, &from, nullptr);
  }
  if (rollout.State == catalog::RolloutState::RolledBack)
    return best(old, request, Versions::Usual, now);
  double &credit = RolloutCredit[request.Service];
  credit = std::min(1.0, credit + rollout.SharePermille / 1000.0);
  if (credit >= 1 && request.Tried.empty()) {
    std::optional<Candidate> chosen =
        best(ofVersion(request.Service, &target, nullptr), request, Versions::New, now);
    if (chosen) {
      credit -= 1;
      return chosen;
    }
  }
  return best(old, request, Versions::Usual, now);
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

std::optional<TargetTable::Candidate> TargetTable::best(absl::Span<State *const> targets,
                                                        const PickRequest &request,
                                                        Versions versions, core::Time now) {
  LastFailure = {};
  std::vector<HomeCandidate> homes;
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
    bool isWhole = versions == Versions::Usual && request.HomeRegions.empty() &&
                   request.CustomerRegions.empty() && request.Tried.empty();
    Homes.markHomes(request.Service, *request.Object, Own.Region, absl::MakeSpan(homes),
                    {now, isWhole, isDisturbed(request.Service, now)});
    for (const HomeCandidate &it : homes)
      if (it.IsHome)
        HomeRegion = *it.Region;
  }
  const WorkTime time = Work.of(*request.Route, request.Service);
  double meanWork = Work.mean(request.Service);
  std::map<core::RegionId, Candidate> bestOf;
  for (size_t i = 0; i < usable.size(); ++i) {
    State &state = *usable[i];
    ++LastFailure.Usable;
    if (isCold(state, now) && !mayUseWhileCold(state, now)) {
      ++LastFailure.Cold;
      continue;
    }
    Candidate it = rate(state, homes[i], request, time, meanWork, now);
    if (it.Load >= state.Info.Slots * Settings.FullQueues) {
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
  if (wished->Value < Settings.LeastValue)
    return std::nullopt;
  Shift.wish(spillTo(wished->Target->Region), {{core::RegionId(), 1.0}}, now);
  // Requests whose targets have failed move at once.
  if (isDisturbed(service, now)) {
    Shift.release();
    return *wished;
  }
  const Candidate *chosen = nullptr;
  for (const auto &[region, it] : bestOf)
    if (it.Value >= Settings.LeastValue && Shift.mayUse(spillTo(region)) &&
        (chosen == nullptr || it.Value > chosen->Value))
      chosen = &it;
  // The weights of the regions bound how fast homes move; a request that finds its home free is not
  // refused for a bound on those that do not.
  auto home = bestOf.find(HomeRegion);
  if (chosen == nullptr && home != bestOf.end() && home->second.Value >= Settings.LeastValue)
    chosen = &home->second;
  LastFailure.RegionBound = chosen == nullptr;
  if (chosen == nullptr)
    return std::nullopt;
  return *chosen;
}

TargetTable::Candidate TargetTable::rate(State &state, const HomeCandidate &home,
                                         const PickRequest &request, const WorkTime &time,
                                         double meanWork, core::Time now) const {
  Candidate it;
  it.Target = &state;
  it.Load = load(state, now);
  it.Network = network(state);
  it.Slowness = slowness(state, now);
  it.Familiar = home.IsHome || (request.Object && remembers(state, *request.Object, now));
  double slots = state.Info.Slots;
  double work = (it.Familiar ? time.Warm : time.Cold) * it.Slowness;
  if (isCold(state, now))
    work += time.Cold;
  double wait = it.Load < slots ? 0 : (it.Load - slots + 1) / slots * meanWork * it.Slowness;
  it.Expected = it.Network + wait + work;

  double goal = static_cast<double>((request.Route->LatencyGoal - request.Waited).Ms);
  double spread = std::max(1.0, static_cast<double>(request.Route->LatencyGoal.Ms) * GoalSpread);
  double inGoal = 1 / (1 + std::exp((it.Expected - goal) / spread));
  double weight = 1 + Settings.PriorityStep * (static_cast<double>(Settings.NormalPriority) -
                                               static_cast<double>(request.Priority));
  double answer = Settings.LateValue + (1 - Settings.LateValue) * inGoal;
  bool learns = home.IsSpare && !it.Familiar;
  double displaced = std::max(0.0, it.Load / slots - Settings.FreeLoad) * Settings.LoadCost *
                     (learns ? time.Warm : work) / std::max(1.0, meanWork);
  it.Value = std::max(0.1, weight) * answer * (1 - state.FailureShare) - displaced -
             bytesCost(state, *request.Route);
  if (request.Object && !it.Familiar)
    it.Value -= home.IsSpare ? Settings.SpareCost : Settings.ForgetCost;
  // Among equals the less loaded one; too little to outweigh anything else.
  it.Value -= it.Load / slots * EvenLoad;
  return it;
}

double TargetTable::bytesCost(const State &state, const catalog::Route &route) const {
  if (state.Info.Domain == Own.Domain)
    return 0;
  double perKb = state.Region == Own.Region ? Settings.DomainCostPerKb : Settings.RegionCostPerKb;
  return Work.bytes(route) / 1000 * perKb;
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

bool TargetTable::isCold(const State &state, core::Time now) const {
  return now < state.ColdUntil || now < state.UnprovenUntil;
}

bool TargetTable::mayUseWhileCold(const State &state, core::Time now) const {
  return now >= state.ColdNext && Cold.maySend(state.Info.Id, state.Region, coldRate(state));
}

bool TargetTable::isDisturbed(const std::string &service, core::Time now) const {
  auto it = DisturbedAt.find(service);
  return it != DisturbedAt.end() && now - it->second < Settings.DisturbedSpan;
}

double TargetTable::coldRate(const State &state) const {
  auto service = Services.find(state.Info.Service);
  return service == Services.end() ? 0 : service->second.ColdRatePerS;
}

double TargetTable::load(const State &state, core::Time now) const {
  double others = std::max(0.0, state.Reported - state.OwnAtReport);
  double age = static_cast<double>((now - state.ReportedAt).Ms);
  return state.Own + others * std::exp(-age / static_cast<double>(Settings.LoadDecay.Ms));
}

double TargetTable::slowness(const State &state, core::Time now) const {
  double age = static_cast<double>((now - state.SlownessAt).Ms);
  return 1 + (state.Slowness - 1) * std::exp(-age / static_cast<double>(Settings.SlownessDecay.Ms));
}

double TargetTable::network(const State &state) const {
  if (state.Info.Domain == Own.Domain)
    return 0;
  auto measured = RoundTrip.find(state.Info.Domain);
  if (measured != RoundTrip.end())
    return measured->second;
  return static_cast<double>(state.Region == Own.Region ? Settings.DomainRoundTrip.Ms
                                                        : Settings.RegionRoundTrip.Ms);
}

bool TargetTable::remembers(const State &state, uint64_t object, core::Time now) const {
  auto it = state.Served.find(object);
  return it != state.Served.end() && now - it->second < Settings.SpareMemory;
}

void TargetTable::noteServed(State &state, uint64_t object, core::Time now) const {
  state.Served[object] = now;
  if (static_cast<double>(state.Served.size()) <= Homes.remembered(state.Info.Service))
    return;
  auto oldest = std::min_element(state.Served.begin(), state.Served.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; });
  state.Served.erase(oldest);
}

void TargetTable::record(const Pick &pick, const catalog::Route &route, TargetOutcome outcome,
                         core::Duration latency, double bytes, core::Time now) {
  auto it = Targets.find(pick.Id);
  if (it == Targets.end())
    return;
  State &state = it->second;
  state.Own = std::max(0, state.Own - 1);
  bool good = outcome == TargetOutcome::Good;
  if (good || outcome == TargetOutcome::Failed || outcome == TargetOutcome::NotRun ||
      outcome == TargetOutcome::TooLate)
    state.AnsweredAt = now;
  bool failed = outcome == TargetOutcome::Failed || outcome == TargetOutcome::Broken ||
                outcome == TargetOutcome::TimedOut || outcome == TargetOutcome::NotReached;
  if (good || failed || outcome == TargetOutcome::TooLate) {
    link::VersionCounts &counts =
        Counts[{state.Info.Service, state.Info.Version.Value, route.Name}];
    ++counts.Requests;
    if (outcome == TargetOutcome::Failed || outcome == TargetOutcome::TimedOut ||
        outcome == TargetOutcome::TooLate)
      ++counts.Failures;
    counts.LatencyMs += good ? static_cast<uint64_t>(latency.Ms) : 0;
  }
  if (good || failed || outcome == TargetOutcome::NotRun)
    state.FailureShare += SampleWeight * ((good ? 0.0 : 1.0) - state.FailureShare);
  if (good) {
    state.FailuresInRow = 0;
    if (now - state.EjectedUntil > Settings.EjectionMemory)
      state.Ejections = 0;
    Work.recordBytes(route, bytes);
    learnTime(state, pick, route, latency, now);
    return;
  }
  if (outcome == TargetOutcome::WrongTarget) {
    state.Leaving = true;
    return;
  }
  if (outcome == TargetOutcome::TimedOut || outcome == TargetOutcome::TooLate)
    learnTime(state, pick, route, latency, now);
  if (outcome == TargetOutcome::NotReached || outcome == TargetOutcome::Broken) {
    // The process may have ended: what it remembered is gone, and it may come back cold.
    state.Served.clear();
    bool wasEjected = state.Ejected;
    if (outcome == TargetOutcome::NotReached || ++state.FailuresInRow >= Settings.FailuresToEject)
      eject(state, now);
    if (state.Ejected && !wasEjected)
      DisturbedAt[state.Info.Service] = now;
    return;
  }
  // Behind a queue, or while the target answers others, a timeout tells of load, not of a fault.
  bool isLoad = outcome == TargetOutcome::TimedOut &&
                (pick.Load >= state.Info.Slots || state.AnsweredAt > now - latency);
  if (failed && !isLoad && ++state.FailuresInRow >= Settings.FailuresToEject)
    eject(state, now);
}

void TargetTable::learnTime(State &state, const Pick &pick, const catalog::Route &route,
                            core::Duration latency, core::Time now) {
  double own = std::max(1.0, static_cast<double>(latency.Ms) - pick.Network);
  double expected = std::max(1.0, (pick.Expected - pick.Network) / pick.Slowness);
  const WorkTime time = Work.of(route, state.Info.Service);
  // What an unfamiliar object explains is no slowness of the target.
  double ratio = own <= std::max(expected, time.Cold) * ExplainedTime ? 1 : own / expected;
  state.Slowness = slowness(state, now);
  state.Slowness += SampleWeight * (std::min(ratio, MaxSlowness) - state.Slowness);
  state.SlownessAt = now;
  if (pick.Load > state.Info.Slots - 1 || ratio > 1)
    return;
  Work.record(route, state.Info.Service, own);
  if (route.Sticky && pick.Familiar)
    Homes.recordHit(state.Info.Service, time.isWarm(own));
}

void TargetTable::eject(State &state, core::Time now) {
  if (state.Ejected)
    return;
  state.Ejected = true;
  state.EjectedUntil =
      now + std::min(Settings.FirstEjection * (int64_t{1} << std::min(state.Ejections, 5U)),
                     Settings.LongestEjection);
  ++state.Ejections;
  state.FailuresInRow = 0;
  JustEjected.push_back({state.Info.Id, state.Info.Service, state.EjectedUntil - now,
                         state.Reported + state.Own, state.FailureShare});
}

std::vector<TargetTable::Ejection> TargetTable::takeEjections() {
  return std::exchange(JustEjected, {});
}

void TargetTable::recordLoad(const core::TargetId &id, const LoadReport &load, core::Time now) {
  auto it = Targets.find(id);
  if (it == Targets.end())
    return;
  State &state = it->second;
  state.Reported = load.Running + load.Waiting;
  // The report was written while the request that it came with was still counted here.
  state.OwnAtReport = state.Own;
  state.ReportedAt = now;
  if (load.Slots > 0)
    state.Info.Slots = load.Slots;
  if (JustReported.size() < MaxReportedLoads)
    JustReported[link::targetKey(id)] = load.Running + load.Waiting;
}

std::vector<link::TargetLoad> TargetTable::takeLoads() {
  std::vector<link::TargetLoad> out;
  out.reserve(JustReported.size());
  for (const auto &[key, requests] : std::exchange(JustReported, {}))
    out.push_back({key, requests});
  return out;
}

void TargetTable::setBusy(absl::Span<const link::TargetLoad> busy, core::Time now) {
  for (const link::TargetLoad &it : busy) {
    auto known = ByKey.find(it.Target);
    if (known == ByKey.end() || now - known->second->ReportedAt < Settings.OwnReportFirst)
      continue;
    State &state = *known->second;
    state.Reported = it.Requests;
    state.OwnAtReport = state.Own;
    state.ReportedAt = now;
  }
}

void TargetTable::recordRoundTrip(const core::TargetId &id, core::Duration time) {
  auto it = Targets.find(id);
  if (it == Targets.end())
    return;
  auto &mean = RoundTrip[it->second.Info.Domain];
  mean = mean == 0 ? static_cast<double>(time.Ms)
                   : mean + SampleWeight * (static_cast<double>(time.Ms) - mean);
}

std::optional<Pick> TargetTable::nextProbe(core::Time now) {
  for (auto &[id, state] : Targets) {
    if (!state.Ejected || state.Info.Draining || now < state.EjectedUntil)
      continue;
    if (state.Probing && now - state.ProbedAt < ProbeTimeout)
      continue;
    state.Probing = true;
    state.ProbedAt = now;
    Pick pick;
    pick.Id = id;
    pick.Host = state.Info.Host;
    pick.Port = state.Info.Port;
    pick.Service = state.Info.Service;
    return pick;
  }
  return std::nullopt;
}

void TargetTable::recordProbe(const core::TargetId &id, bool healthy, core::Duration cold,
                              core::Time now) {
  auto it = Targets.find(id);
  if (it == Targets.end())
    return;
  State &state = it->second;
  state.Probing = false;
  if (!healthy) {
    state.EjectedUntil = now + Settings.FirstEjection;
    return;
  }
  state.Ejected = false;
  state.FailureShare = 0;
  state.Slowness = 1;
  if (cold.Ms > 0)
    state.ColdUntil = now + cold;
  state.UnprovenUntil = now + UnprovenSpan;
}

std::vector<link::VersionCounts> TargetTable::versionCounts() const {
  std::vector<link::VersionCounts> out;
  for (const auto &[key, counts] : Counts) {
    auto rollout = Rollouts.find(std::get<0>(key));
    if (rollout == Rollouts.end() || rollout->second.State != catalog::RolloutState::Running)
      continue;
    link::VersionCounts it = counts;
    it.Service = std::get<0>(key);
    it.Version = std::get<1>(key);
    it.Route = std::get<2>(key);
    out.push_back(std::move(it));
  }
  return out;
}

std::string TargetTable::healthPath(const std::string &service) const {
  auto it = Services.find(service);
  return it == Services.end() ? "" : it->second.HealthPath;
}

size_t TargetTable::maxConnections(const std::string &service) const {
  auto it = Services.find(service);
  if (it == Services.end() || it->second.MaxConnections == 0)
    return 32;
  return std::max<size_t>(
      2, static_cast<size_t>(it->second.MaxConnections * ConnectionPart / EntryCount));
}

} // namespace briarspar::entry
