#include "entry/TargetTable.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace briarspar::entry {

namespace {

/// Weight of a new sample in exponential averages.
constexpr double SampleWeight = 0.15;

/// Upper bound of the measured slowness of a target.
constexpr double MaxSlowness = 12;

/// A time up to this multiple of the expected one is attributed to normal variation.
constexpr double SlownessThreshold = 1.6;

/// A response that takes longer than this multiple of the usual time for an object that is not
/// cached counts as slow in a rollout. A cold target takes up to twice that time.
constexpr double SlowResponseFactor = 4;

/// A probe without a response fails after this time.
constexpr core::Duration ProbeTimeout{1000};

/// A target that has returned is treated as cold for this long, until the target list must show
/// whether it is.
constexpr core::Duration AssumedColdSpan{2500};

/// Fraction of the connection limit of a target that all entry VMs together use.
constexpr double ConnectionLimitShare = 0.7;

/// Maximum number of loads in one report to the leader, at 6 bytes each. A VM with a tenth of a
/// core receives 10 responses per report interval.
constexpr size_t MaxReportedLoads = 128;

} // namespace

const char *nameOf(ColdEvidence evidence) {
  constexpr std::array<const char *, 4> names{"", "list", "probe", "returned"};
  return names[static_cast<size_t>(evidence)];
}

TargetTable::TargetTable(VmLocation own, const TargetTableSettings &settings)
    : Own(std::move(own)), Settings(settings), Notices(settings.Notices),
      Processing(settings.Processing), Affinity(settings.Affinity),
      Cold(Own.Vm, Own.Region, settings.Cold), Spillover(settings.Spillover) {}

void TargetTable::setTargets(const discovery::TargetList &list, core::Time now) {
  for (const auto &[id, state] : Targets) {
    if (list.targets().count(id) == 0 && !state.Info.Draining)
      FailedAt[state.Info.Service] = now;
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
    if (known != old.end() && moved) {
      state = {};
      Notices.discard(id);
    }
    state.Info = info;
    auto region = Own.Regions.find(info.Domain);
    state.Region = region == Own.Regions.end() ? core::RegionId() : region->second;
    if (info.ColdUntil > now)
      setColdUntil(state, info.ColdUntil, ColdEvidence::List, now);
    ByService[info.Service].push_back(&state);
    ByKey[link::targetKey(id)] = &state;
  }
  Notices.onList([this](const core::TargetId &id) { return Targets.count(id) != 0; }, now);
  for (const auto &[service, states] : ByService) {
    if (Baseline.count(service) != 0)
      continue;
    std::map<core::VersionId, size_t> versions;
    for (const State *state : states)
      ++versions[state->Info.Version];
    auto mostCommon =
        std::max_element(versions.begin(), versions.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    Baseline[service] = mostCommon->first;
  }
}

void TargetTable::setCatalog(const catalog::Catalog &catalog, core::Time now) {
  std::map<std::string, bool> before = Evacuated;
  Services.clear();
  for (const auto &[name, held] : catalog.services())
    if (held.Value)
      Services[name] = *held.Value;
  Rollouts = catalog.rollouts();
  // Outcomes from before the order of a rollout say nothing about its versions.
  for (auto it = Counts.begin(); it != Counts.end();) {
    auto rollout = Rollouts.find(std::get<0>(it->first));
    bool isCurrent = rollout != Rollouts.end() && rollout->second.OrderedAt == it->second.OrderedAt;
    it = isCurrent ? std::next(it) : Counts.erase(it);
  }
  Evacuated.clear();
  for (const auto &[domain, it] : catalog.evacuations())
    if (it.Active)
      Evacuated[domain] = true;
  if (Evacuated != before)
    for (const auto &[service, states] : ByService)
      FailedAt[service] = now;
}

void TargetTable::setEntries(absl::Span<const link::EntryLocation> entries) {
  EntryCount = std::max<size_t>(1, entries.size());
  Cold.setEntries(entries);
}

void TargetTable::setColdUntil(State &state, core::Time until, ColdEvidence evidence,
                               core::Time now) {
  if (now >= state.ColdUntil)
    NewColdStarts.push_back({state.Info.Id, until - now, evidence});
  state.ColdUntil = until;
  state.ColdBy = evidence;
}

bool TargetTable::isCold(const State &state, core::Time now) const {
  return now < state.ColdUntil || now < state.AssumedColdUntil;
}

bool TargetTable::isFailingOver(const std::string &service, core::Time now) const {
  auto it = FailedAt.find(service);
  return it != FailedAt.end() && now - it->second < Settings.FailoverWindow;
}

double TargetTable::coldRate(const State &state) const {
  auto service = Services.find(state.Info.Service);
  return service == Services.end() ? 0 : service->second.ColdRatePerS;
}

double TargetTable::load(const State &state, core::Time now) const {
  double others = std::max(0.0, state.Reported - state.OwnAtReport);
  double age = static_cast<double>((now - state.ReportedAt).Ms);
  return state.OwnRequests + others * std::exp(-age / static_cast<double>(Settings.LoadDecay.Ms));
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

bool TargetTable::hasCached(const State &state, uint64_t object, core::Time now) const {
  auto it = state.Served.find(object);
  return it != state.Served.end() && now - it->second < Settings.CacheRetention;
}

void TargetTable::recordServed(State &state, uint64_t object, core::Time now) const {
  state.Served[object] = now;
  if (static_cast<double>(state.Served.size()) <= Affinity.cacheCapacity(state.Info.Service))
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
  state.OwnRequests = std::max(0, state.OwnRequests - 1);
  bool isSuccess = outcome == TargetOutcome::Success;
  if (isSuccess || outcome == TargetOutcome::Failed || outcome == TargetOutcome::NotRun ||
      outcome == TargetOutcome::DeadlineExceeded)
    state.AnsweredAt = now;
  bool failed = outcome == TargetOutcome::Failed || outcome == TargetOutcome::ConnectionLost ||
                outcome == TargetOutcome::TimedOut || outcome == TargetOutcome::ConnectFailed;
  if (isSuccess || failed || outcome == TargetOutcome::DeadlineExceeded)
    countForRollout(state, pick, route, outcome, latency);
  if (isSuccess || failed || outcome == TargetOutcome::NotRun)
    state.FailureShare += SampleWeight * ((isSuccess ? 0.0 : 1.0) - state.FailureShare);
  if (isSuccess) {
    state.FailuresInRow = 0;
    if (now - state.EjectedUntil > Settings.EjectionResetTime)
      state.Ejections = 0;
    Processing.recordBytes(route, bytes);
    updateTimes(state, pick, route, latency, now);
    return;
  }
  if (outcome == TargetOutcome::WrongTarget) {
    state.Leaving = true;
    return;
  }
  if (outcome == TargetOutcome::TimedOut || outcome == TargetOutcome::DeadlineExceeded)
    updateTimes(state, pick, route, latency, now);
  if (outcome == TargetOutcome::ConnectFailed || outcome == TargetOutcome::ConnectionLost) {
    // The process may have exited: its cache is lost, and it may return cold.
    state.Served.clear();
    bool wasEjected = state.Ejected;
    if (outcome == TargetOutcome::ConnectFailed ||
        ++state.FailuresInRow >= Settings.FailuresToEject)
      eject(state, now);
    if (state.Ejected && !wasEjected)
      FailedAt[state.Info.Service] = now;
    return;
  }
  // A timeout behind a queue, or while the target responds to other requests, indicates load, not a
  // fault.
  bool isLoad = outcome == TargetOutcome::TimedOut &&
                (pick.Load >= state.Info.Slots || state.AnsweredAt > now - latency);
  if (failed && !isLoad && ++state.FailuresInRow >= Settings.FailuresToEject)
    eject(state, now);
}

void TargetTable::countForRollout(const State &state, const Pick &pick, const catalog::Route &route,
                                  TargetOutcome outcome, core::Duration latency) {
  auto rollout = Rollouts.find(state.Info.Service);
  if (rollout == Rollouts.end() || rollout->second.State != catalog::RolloutState::Running)
    return;
  link::VersionCounts &counts = Counts[{state.Info.Service, state.Info.Version.Value, route.Name}];
  counts.OrderedAt = rollout->second.OrderedAt;
  ++counts.Requests;
  if (outcome == TargetOutcome::Failed)
    ++counts.Failures;
  if (outcome == TargetOutcome::TimedOut || outcome == TargetOutcome::DeadlineExceeded)
    ++counts.TimeOuts;
  if (outcome != TargetOutcome::Success)
    return;
  counts.LatencyMs += static_cast<uint64_t>(latency.Ms);
  double usual = Processing.of(route, state.Info.Service).UncachedMs;
  if (static_cast<double>(latency.Ms) - pick.Network > usual * SlowResponseFactor)
    ++counts.Slow;
}

void TargetTable::updateTimes(State &state, const Pick &pick, const catalog::Route &route,
                              core::Duration latency, core::Time now) {
  double targetMs = std::max(1.0, static_cast<double>(latency.Ms) - pick.Network);
  double expected = std::max(1.0, (pick.Expected - pick.Network) / pick.Slowness);
  const ProcessingTime time = Processing.of(route, state.Info.Service);
  // A time that a cache miss explains does not count as slowness of the target.
  double ratio =
      targetMs <= std::max(expected, time.UncachedMs) * SlownessThreshold ? 1 : targetMs / expected;
  state.Slowness = slowness(state, now);
  state.Slowness += SampleWeight * (std::min(ratio, MaxSlowness) - state.Slowness);
  state.SlownessAt = now;
  if (pick.Load > state.Info.Slots - 1 || ratio > 1)
    return;
  Processing.record(route, state.Info.Service, targetMs);
  if (route.Sticky && pick.ObjectCached)
    Affinity.recordHit(state.Info.Service, time.isNearCached(targetMs));
}

void TargetTable::eject(State &state, core::Time now) {
  if (state.Ejected)
    return;
  state.Ejected = true;
  state.EjectedUntil =
      now + std::min(Settings.BaseEjectionTime * (int64_t{1} << std::min(state.Ejections, 5U)),
                     Settings.MaxEjectionTime);
  ++state.Ejections;
  state.FailuresInRow = 0;
  NewEjections.push_back({state.Info.Id, state.Info.Service, state.EjectedUntil - now,
                          state.Reported + state.OwnRequests, state.FailureShare});
}

std::vector<TargetTable::Ejection> TargetTable::takeEjections() {
  return std::exchange(NewEjections, {});
}

void TargetTable::recordLoad(const core::TargetId &id, const LoadReport &load, core::Time now) {
  auto it = Targets.find(id);
  if (it == Targets.end())
    return;
  State &state = it->second;
  state.Reported = load.Running + load.Waiting;
  // The target wrote the report while it was still processing the request that it came with, which
  // is still counted in OwnRequests.
  state.OwnAtReport = state.OwnRequests;
  state.ReportedAt = now;
  if (load.Slots > 0)
    state.Info.Slots = load.Slots;
  if (UnsentLoads.size() < MaxReportedLoads)
    UnsentLoads[link::targetKey(id)] = load.Running + load.Waiting;
}

std::vector<link::TargetLoad> TargetTable::takeLoads() {
  std::vector<link::TargetLoad> out;
  out.reserve(UnsentLoads.size());
  for (const auto &[key, requests] : std::exchange(UnsentLoads, {}))
    out.push_back({key, requests});
  return out;
}

void TargetTable::setBusyTargets(absl::Span<const link::TargetLoad> busy, core::Time now) {
  for (const link::TargetLoad &it : busy) {
    auto known = ByKey.find(it.Target);
    if (known == ByKey.end() || now - known->second->ReportedAt < Settings.OwnReportPrecedence)
      continue;
    State &state = *known->second;
    state.Reported = it.Requests;
    state.OwnAtReport = state.OwnRequests;
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
    if (!state.Ejected || state.Info.Draining || now < state.EjectedUntil ||
        !Notices.mayUse(id, now))
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
    state.EjectedUntil = now + Settings.BaseEjectionTime;
    return;
  }
  state.Ejected = false;
  state.FailureShare = 0;
  state.Slowness = 1;
  if (cold.Ms > 0)
    setColdUntil(state, now + cold, ColdEvidence::Probe, now);
  state.AssumedColdUntil = now + AssumedColdSpan;
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
      2, static_cast<size_t>(it->second.MaxConnections * ConnectionLimitShare / EntryCount));
}

} // namespace briarspar::entry
