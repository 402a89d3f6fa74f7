#include "entry/TargetTable.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <set>

namespace briarspar::entry {

namespace {

/// Weight of a new sample in aged means.
constexpr double SampleWeight = 0.15;

/// Bounds of the measured slowness of a target.
constexpr double MaxSlowness = 12;
constexpr double MinSlowness = 0.6;

/// An answer that took this many times as long as expected counts as slow.
constexpr double SlowAnswer = 3;

/// Share of failures from which on a target is avoided in proportion.
constexpr double ToleratedFailures = 0.02;

/// A probe without an answer is given up.
constexpr core::Duration ProbeTimeout{1000};

/// After its return, a target is treated as cold until the list can have shown whether it is.
constexpr core::Duration UnprovenSpan{2500};

/// Connections to one target are shared by all entry VMs; part of the limit that they use.
constexpr double ConnectionPart = 0.7;

/// Returns a number from 0 to 1 that is the same on all VMs.
double consistentOrder(uint64_t object, const core::TargetId &id) {
  return static_cast<double>(core::hash64(id.Value, object) >> 11) * 0x1.0p-53;
}

bool contains(absl::Span<const std::string> list, const std::string &it) {
  return std::find(list.begin(), list.end(), it) != list.end();
}

} // namespace

TargetTable::TargetTable(Place own, const TargetTableSettings &settings)
    : Own(std::move(own)), Settings(settings) {}

void TargetTable::setTargets(const discovery::TargetList &list, core::Time now) {
  std::map<core::TargetId, State> old;
  old.swap(Targets);
  ByService.clear();
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
    ByService[info.Service].push_back(id);
  }
  for (const auto &[service, ids] : ByService) {
    if (Baseline.count(service) != 0)
      continue;
    std::map<core::VersionId, size_t> versions;
    for (const core::TargetId &id : ids)
      ++versions[Targets[id].Info.Version];
    auto most = std::max_element(
        versions.begin(), versions.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; });
    Baseline[service] = most->first;
  }
}

void TargetTable::setCatalog(const catalog::Catalog &catalog) {
  Services.clear();
  for (const auto &[name, held] : catalog.services())
    if (held.Value)
      Services[name] = *held.Value;
  Rollouts = catalog.rollouts();
  Evacuated.clear();
  for (const auto &[domain, it] : catalog.evacuations())
    if (it.Active)
      Evacuated[domain] = true;
}

void TargetTable::setEntries(absl::Span<const core::VmId> entries,
                             absl::Span<const std::string> regions) {
  EntryCount = std::max<size_t>(1, entries.size());
  RegionEntries.clear();
  for (size_t i = 0; i < entries.size() && i < regions.size(); ++i)
    if (regions[i] == Own.Region.Value)
      RegionEntries.push_back(entries[i]);
}

std::string TargetTable::chooseService(const catalog::Route &route) {
  if (route.Services.size() == 1)
    return route.Services.front().Service;
  double total = 0;
  for (const catalog::WeightedService &it : route.Services)
    total += it.Weight;
  std::map<std::string, double> &credit = SplitCredit[route.Name];
  const catalog::WeightedService *chosen = nullptr;
  for (const catalog::WeightedService &it : route.Services) {
    credit[it.Service] += it.Weight / total;
    if (it.Weight > 0 && (chosen == nullptr || credit[it.Service] > credit[chosen->Service]))
      chosen = &it;
  }
  credit[chosen->Service] -= 1;
  return chosen->Service;
}

std::optional<Pick> TargetTable::pick(const PickRequest &request, core::Time now) {
  std::optional<Candidate> chosen;
  auto rollout = Rollouts.find(request.Service);
  if (rollout != Rollouts.end()) {
    chosen = pickForRollout(rollout->second, request, now);
  } else {
    core::VersionId baseline = Baseline[request.Service];
    chosen = best(ofVersion(request.Service, &baseline, nullptr), request, now);
  }
  if (!chosen)
    return std::nullopt;
  State &state = *chosen->Target;
  ++state.Own;
  if (isCold(state, now))
    state.ColdNext = now + coldInterval(state);
  if (request.Object)
    noteObject(state, *request.Object);
  RegionShares &shares = Regions[request.Service];
  ++shares.Current[state.Region];
  ++shares.CurrentTotal;
  Pick pick;
  pick.Id = state.Info.Id;
  pick.Host = state.Info.Host;
  pick.Port = state.Info.Port;
  pick.Service = request.Service;
  pick.Version = state.Info.Version;
  pick.Region = state.Region;
  pick.Familiar = chosen->Familiar;
  pick.Expected = {static_cast<int64_t>(chosen->Expected)};
  pick.Load = chosen->Load;
  return pick;
}

std::optional<TargetTable::Candidate>
TargetTable::pickForRollout(const catalog::Rollout &rollout, const PickRequest &request,
                            core::Time now) {
  core::VersionId target(rollout.Target);
  if (rollout.State == catalog::RolloutState::Completed)
    return best(ofVersion(request.Service, &target, nullptr), request, now);
  std::vector<State *> old;
  if (rollout.From.empty()) {
    old = ofVersion(request.Service, nullptr, &target);
  } else {
    core::VersionId from(rollout.From);
    old = ofVersion(request.Service, &from, nullptr);
  }
  if (rollout.State == catalog::RolloutState::RolledBack)
    return best(old, request, now);
  double &credit = RolloutCredit[request.Service];
  credit = std::min(1.0, credit + rollout.SharePermille / 1000.0);
  if (credit >= 1 && request.Tried.empty()) {
    std::optional<Candidate> chosen =
        best(ofVersion(request.Service, &target, nullptr), request, now);
    if (chosen) {
      credit -= 1;
      return chosen;
    }
  }
  return best(old, request, now);
}

std::vector<TargetTable::State *> TargetTable::ofVersion(const std::string &service,
                                                         const core::VersionId *wanted,
                                                         const core::VersionId *unwanted) {
  std::vector<State *> out;
  auto ids = ByService.find(service);
  if (ids == ByService.end())
    return out;
  for (const core::TargetId &id : ids->second) {
    State &state = Targets[id];
    if (wanted != nullptr && state.Info.Version != *wanted)
      continue;
    if (unwanted != nullptr && state.Info.Version == *unwanted)
      continue;
    out.push_back(&state);
  }
  return out;
}

std::optional<TargetTable::Candidate> TargetTable::best(absl::Span<State *const> targets,
                                                        const PickRequest &request,
                                                        core::Time now) {
  const WorkTimes &times = workTimes(*request.Route, request.Service);
  RegionShares &shares = Regions[request.Service];
  std::map<core::RegionId, bool> mayMove;
  std::optional<Candidate> chosen;
  for (State *state : targets) {
    if (!mayUse(*state, request, now))
      continue;
    if (state->Region != Own.Region) {
      auto known = mayMove.find(state->Region);
      if (known == mayMove.end())
        known = mayMove.emplace(state->Region, mayMoveTo(state->Region, shares, now)).first;
      if (!known->second)
        continue;
    }
    Candidate it = rate(*state, request, times, now);
    if (it.Load >= state->Info.Slots * Settings.FullQueues)
      continue;
    if (!chosen || it.Cost < chosen->Cost)
      chosen = it;
  }
  if (chosen && chosen->Expected > static_cast<double>(request.Left.Ms))
    return std::nullopt;
  return chosen;
}

TargetTable::Candidate TargetTable::rate(State &state, const PickRequest &request,
                                         const WorkTimes &times, core::Time now) const {
  Candidate it;
  it.Target = &state;
  it.Load = load(state, now);
  it.Familiar = request.Object && isFamiliar(state, *request.Object);
  double work = (it.Familiar ? times.Warm : times.Cold) * state.Slowness;
  double slots = state.Info.Slots;
  double wait = it.Load < slots ? 0 : (it.Load - slots + 1) / slots * times.Warm * state.Slowness;
  it.Expected = network(state) + wait + work;
  it.Cost = it.Expected + std::max(0.0, state.FailureShare - ToleratedFailures) * times.Cold * 2;
  if (request.Object)
    it.Cost +=
        (1 - consistentOrder(*request.Object, state.Info.Id)) * times.Cold * Settings.SpreadToCold;
  else
    it.Cost += it.Load / slots * times.Warm * Settings.SpreadToCold;
  if (isCold(state, now))
    it.Cost += times.Cold;
  return it;
}

bool TargetTable::mayUse(const State &state, const PickRequest &request, core::Time now) const {
  if (state.Info.Draining || state.Leaving || state.Ejected ||
      Evacuated.count(state.Info.Domain.Value) != 0)
    return false;
  if (!allowsRegion(state.Region, request))
    return false;
  if (std::find(request.Tried.begin(), request.Tried.end(), state.Info.Id) != request.Tried.end())
    return false;
  if (isCold(state, now) && (now < state.ColdNext || !ownsCold(state)))
    return false;
  return true;
}

bool TargetTable::allowsRegion(const core::RegionId &region, const PickRequest &request) const {
  return (request.HomeRegions.empty() || contains(request.HomeRegions, region.Value)) &&
         (request.CustomerRegions.empty() || contains(request.CustomerRegions, region.Value));
}

bool TargetTable::isCold(const State &state, core::Time now) const {
  return now < state.ColdUntil || now < state.UnprovenUntil;
}

bool TargetTable::ownsCold(const State &state) const {
  if (state.Region != Own.Region)
    return false;
  auto service = Services.find(state.Info.Service);
  double rate = service == Services.end() ? 0 : service->second.ColdRatePerS;
  double most = (rate * Settings.ColdExcess + Settings.ColdSlack) * Settings.ColdUsePermille / 1000;
  if (static_cast<double>(RegionEntries.size()) <= most)
    return true;
  // The VMs with the highest hashes send; the rest leave the target alone until it is warm.
  uint64_t mine = core::hash64(Own.Vm.Value, core::hash64(state.Info.Id.Value));
  size_t ahead = 0;
  for (const core::VmId &it : RegionEntries)
    if (core::hash64(it.Value, core::hash64(state.Info.Id.Value)) > mine)
      ++ahead;
  return static_cast<double>(ahead + 1) <= most;
}

core::Duration TargetTable::coldInterval(const State &state) const {
  auto service = Services.find(state.Info.Service);
  double rate = service == Services.end() ? 0 : service->second.ColdRatePerS;
  double most = (rate * Settings.ColdExcess + Settings.ColdSlack) * Settings.ColdUsePermille / 1000;
  double senders = std::max(1.0, std::min<double>(RegionEntries.size(), std::floor(most)));
  // A span of one second holds at most the whole number of intervals that fit, plus one request.
  double each = std::max(1.0, std::floor(most / senders));
  return {static_cast<int64_t>(1000 / each) + 20};
}

double TargetTable::load(const State &state, core::Time now) const {
  double others = std::max(0.0, state.Reported - state.OwnAtReport);
  double age = static_cast<double>((now - state.ReportedAt).Ms);
  return state.Own + others * std::exp(-age / static_cast<double>(Settings.LoadDecay.Ms));
}

double TargetTable::network(const State &state) const {
  if (state.Info.Domain == Own.Domain)
    return 0;
  double cost = static_cast<double>(Settings.OtherDomainCost.Ms);
  auto measured = DomainRoundTrip.find(state.Info.Domain);
  if (measured != DomainRoundTrip.end())
    return cost + measured->second;
  if (state.Region != Own.Region)
    cost += static_cast<double>(Settings.OtherRegionCost.Ms);
  return cost;
}

bool TargetTable::isFamiliar(const State &state, uint64_t object) const {
  auto it = state.Known.LastUse.find(object);
  return it != state.Known.LastUse.end();
}

void TargetTable::noteObject(State &state, uint64_t object) const {
  Objects &known = state.Known;
  known.LastUse[object] = ++known.Uses;
  if (known.LastUse.size() <= Settings.FamiliarObjects)
    return;
  auto oldest =
      std::min_element(known.LastUse.begin(), known.LastUse.end(),
                       [](const auto &a, const auto &b) { return a.second < b.second; });
  known.LastUse.erase(oldest);
}

TargetTable::WorkTimes &TargetTable::workTimes(const catalog::Route &route,
                                               const std::string &service) {
  WorkTimes &times = Work[{route.Name, service}];
  if (times.Cold == 0) {
    times.Cold = std::min(static_cast<double>(route.LatencyGoal.Ms) * Settings.ColdToGoal,
                          static_cast<double>(route.Timeout.Ms) * Settings.ColdToTimeout);
    times.Warm = times.Cold * Settings.WarmToCold;
  }
  return times;
}

bool TargetTable::mayMoveTo(const core::RegionId &region, RegionShares &shares,
                            core::Time now) const {
  if (now - shares.WindowStart >= Settings.RegionWindow) {
    bool recent = now - shares.WindowStart < Settings.RegionWindow * 2;
    shares.Previous = recent ? shares.Current : std::map<core::RegionId, uint32_t>();
    shares.PreviousTotal = recent ? shares.CurrentTotal : 0;
    shares.Current.clear();
    shares.CurrentTotal = 0;
    shares.WindowStart = now;
  }
  // Too few requests for a share to mean anything.
  constexpr uint32_t LeastRequests = 10;
  if (shares.PreviousTotal < LeastRequests)
    return true;
  double before = static_cast<double>(shares.Previous[region]) / shares.PreviousTotal;
  double allowed = (before + Settings.MaxRegionShiftPermille / 1000.0) *
                   std::max<double>(shares.PreviousTotal, shares.CurrentTotal + 1);
  return shares.Current[region] + 1 <= allowed;
}

void TargetTable::record(const core::TargetId &id, const catalog::Route &route,
                         TargetOutcome outcome, bool familiar, core::Duration latency,
                         core::Time now) {
  auto it = Targets.find(id);
  if (it == Targets.end())
    return;
  State &state = it->second;
  state.Own = std::max(0, state.Own - 1);
  bool good = outcome == TargetOutcome::Good;
  bool failed = outcome == TargetOutcome::Failed || outcome == TargetOutcome::Broken ||
                outcome == TargetOutcome::TimedOut || outcome == TargetOutcome::NotReached;
  if (good || failed) {
    link::VersionCounts &counts =
        Counts[{state.Info.Service, state.Info.Version.Value, route.Name}];
    ++counts.Requests;
    if (outcome == TargetOutcome::Failed || outcome == TargetOutcome::TimedOut)
      ++counts.Failures;
    counts.LatencyMs += good ? static_cast<uint64_t>(latency.Ms) : 0;
  }
  if (good || failed || outcome == TargetOutcome::NotRun)
    state.FailureShare += SampleWeight * ((good ? 0.0 : 1.0) - state.FailureShare);
  if (good) {
    state.FailuresInRow = 0;
    WorkTimes &times = workTimes(route, state.Info.Service);
    double own = std::max(1.0, static_cast<double>(latency.Ms) - network(state));
    double expected = familiar ? times.Warm : times.Cold;
    double load = this->load(state, now);
    if (load <= state.Info.Slots) {
      double ratio = own / std::max(1.0, expected);
      if (ratio > SlowAnswer)
        ++Counts[{state.Info.Service, state.Info.Version.Value, route.Name}].SlowAnswers;
      state.Slowness += SampleWeight * (ratio - state.Slowness);
      state.Slowness = std::clamp(state.Slowness, MinSlowness, MaxSlowness);
      bool &measured = familiar ? times.WarmMeasured : times.ColdMeasured;
      double &mean = familiar ? times.Warm : times.Cold;
      mean = measured ? mean + SampleWeight / 2 * (std::min(own, mean * 2) - mean) : own;
      measured = true;
      times.Warm = std::min(times.Warm, times.Cold);
    }
    return;
  }
  if (outcome == TargetOutcome::WrongTarget) {
    state.Leaving = true;
    return;
  }
  if (outcome == TargetOutcome::NotReached || outcome == TargetOutcome::Broken) {
    // The process may have ended: what it remembered is gone, and it may come back cold.
    state.Known = {};
    if (outcome == TargetOutcome::NotReached || ++state.FailuresInRow >= Settings.FailuresToEject)
      eject(state, now);
    return;
  }
  if (failed && ++state.FailuresInRow >= Settings.FailuresToEject)
    eject(state, now);
}

void TargetTable::eject(State &state, core::Time now) const {
  if (state.Ejected)
    return;
  state.Ejected = true;
  state.EjectedUntil =
      now + std::min(Settings.FirstEjection * (int64_t{1} << std::min(state.Ejections, 5U)),
                     Settings.LongestEjection);
  ++state.Ejections;
  state.FailuresInRow = 0;
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
}

void TargetTable::recordLeaving(const core::TargetId &id) {
  auto it = Targets.find(id);
  if (it != Targets.end())
    it->second.Leaving = true;
}

void TargetTable::recordRoundTrip(const core::TargetId &id, core::Duration time) {
  auto it = Targets.find(id);
  if (it == Targets.end())
    return;
  auto &mean = DomainRoundTrip[it->second.Info.Domain];
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
