#include "entry/TargetTable.h"

#include <algorithm>
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

/// The other connections of an ended process are found to be closed within this time. Then a VM
/// that has lost its connections asks the process.
constexpr core::Duration CloseSpread{30};

/// The others are told of a loss that is not settled after this time.
constexpr core::Duration AnnounceDelay{100};

/// A VM that was told of a loss vouches for the process, or asks it, after this time.
constexpr core::Duration FirstAskDelay{80};

/// Added for each VM that comes before this one for the target, as its result is passed on.
constexpr core::Duration AskDelayPerRank{80};
constexpr core::Duration VouchDelayPerRank{30};
constexpr size_t MaxAskRank = 12;

/// Added on VMs of other regions than the target's.
constexpr core::Duration RemoteAskDelay{400};

/// Time until a process that gave no answer is asked again; doubled by each further rejection, as a
/// target with a full queue rejects probes.
constexpr core::Duration AskInterval{500};
constexpr uint32_t MaxAskDoublings = 3;

/// An unsettled doubt is passed on again after this time, up to AnnounceSpan, as messages may be
/// lost.
constexpr core::Duration AnnounceInterval{400};
constexpr core::Duration AnnounceSpan{2000};

/// What was believed of a target is kept for this long after the list has lost it.
constexpr core::Duration UnlistedRetention{10'000};

/// Upper bound of the time that a notice is in transit between two VMs.
constexpr core::Duration NoticeTransit{300};

/// Without contact to the leader, a response of a process that is not cold counts for this long.
constexpr core::Duration WarmValidity{500};

/// Fraction of the connection limit of a target that all entry VMs together use.
constexpr double ConnectionLimitShare = 0.7;

/// Maximum number of loads in one report to the leader, at 6 bytes each. A VM with a tenth of a
/// core receives 10 responses per report interval.
constexpr size_t MaxReportedLoads = 128;

} // namespace

TargetTable::TargetTable(VmLocation own, const TargetTableSettings &settings)
    : Own(std::move(own)), Settings(settings), Notices(settings.Notices),
      Processing(settings.Processing), Affinity(settings.Affinity),
      Cold(Own.Vm, Own.Region, settings.Cold), Spillover(settings.Spillover) {}

void TargetTable::setTargets(const discovery::TargetList &list, core::Time now) {
  for (auto it = UnlistedTargets.begin(); it != UnlistedTargets.end();)
    it = now - it->second.Since > UnlistedRetention ? UnlistedTargets.erase(it) : std::next(it);
  for (const auto &[id, state] : Targets) {
    if (list.targets().count(id) != 0)
      continue;
    UnlistedTargets[id] = {state.Process, now};
    if (!state.Info.Draining)
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
    if (auto unlisted = UnlistedTargets.find(id); unlisted != UnlistedTargets.end()) {
      state.Process = unlisted->second.Process;
      UnlistedTargets.erase(unlisted);
      if (state.Process.isDoubted(now))
        Doubted.insert(id);
    }
    if (known != old.end() && isOtherProcess(state, info, now)) {
      state.beginProcess();
      UnsentLoads.erase(link::targetKey(id));
      Notices.discard(id);
    }
    state.Info = info;
    Notices.keepProcess(id, info.Process);
    auto region = Own.Regions.find(info.Domain);
    state.Region = region == Own.Regions.end() ? core::RegionId() : region->second;
    if (info.ColdUntil > now) {
      if (!state.Process.isCold(now))
        NewColdStarts.push_back({id, info.ColdUntil - now, ColdEvidence::List});
      state.Process.listCold(info.ColdUntil, now);
    }
    ByService[info.Service].push_back(&state);
    ByKey[link::targetKey(id)] = &state;
  }
  for (auto it = Doubted.begin(); it != Doubted.end();)
    it = Targets.count(*it) != 0 ? std::next(it) : Doubted.erase(it);
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

bool TargetTable::recordLeaving(const core::TargetId &id, core::Time now) {
  const bool isNew = Notices.recordLeaving(id, now);
  noteProcess(id);
  return isNew;
}

bool TargetTable::recordPause(const core::TargetId &id, core::Duration span, core::Time now) {
  const bool isNew = Notices.recordPause(id, span, now);
  noteProcess(id);
  return isNew;
}

/// Records which process has given the notices of a target.
void TargetTable::noteProcess(const core::TargetId &id) {
  if (auto it = Targets.find(id); it != Targets.end())
    Notices.keepProcess(id, it->second.Info.Process);
}

void TargetTable::setEntries(absl::Span<const link::EntryLocation> entries) {
  EntryCount = std::max<size_t>(1, entries.size());
  Cold.setEntries(entries);
}

bool TargetTable::isCold(const State &state, core::Time now) const {
  return state.Process.isCold(now) || now < state.AssumedColdUntil;
}

/// Returns whether a new connection to the target may lead to another process than the known one.
bool TargetTable::isDoubted(const State &state, core::Time now) const {
  if (state.Process.isDoubted(now))
    return true;
  const std::optional<core::Time> warmAt = state.Process.warmAt();
  return ControlLostAt && !(warmAt && now - *warmAt < WarmValidity);
}

/// Returns up to when a connection that is still open was opened to the known process of a doubted
/// target.
core::Time TargetTable::knownUntil(const State &state, core::Time now) const {
  if (state.Process.isDoubted(now) || !ControlLostAt)
    return state.Process.lastKnown();
  return std::max(*ControlLostAt, state.Process.warmAt().value_or(core::Time()));
}

/// Returns whether a list entry shows another process than the one before it.
bool TargetTable::isOtherProcess(const State &state, const discovery::Target &info,
                                 core::Time now) const {
  const bool isMoved = state.Info.Host != info.Host || state.Info.Port != info.Port;
  const bool isLater = state.Info.Process != info.Process && info.Process.Value != 0;
  // Where the list does not tell processes apart: no process takes back that it is leaving.
  const bool isBack =
      info.Process.Value == 0 && state.Info.Draining && !info.Draining && info.ColdUntil > now;
  return isMoved || isLater || isBack;
}

void TargetTable::State::beginProcess() {
  State fresh;
  fresh.Info = std::move(Info);
  fresh.OwnRequests = OwnRequests;
  // What VMs found out is newer than the list, which shows this process late.
  fresh.Process = Process;
  fresh.LastSentAt = LastSentAt;
  fresh.AssumedColdUntil = AssumedColdUntil;
  fresh.AskAt = AskAt;
  fresh.IsWanted = IsWanted;
  fresh.LostSilently = LostSilently;
  fresh.AnnouncedAt = AnnouncedAt;
  fresh.Ejected = Ejected;
  fresh.EjectedUntil = EjectedUntil;
  fresh.Ejections = Ejections;
  fresh.Probing = Probing;
  fresh.ProbedAt = ProbedAt;
  *this = std::move(fresh);
}

void TargetTable::doubt(State &state, core::Time lastKnown, ColdEvidence evidence, core::Time now) {
  if (!state.Process.suspect(lastKnown, evidence, now))
    return;
  Doubted.insert(state.Info.Id);
  state.AskAt =
      now + (evidence == ColdEvidence::Lost ? CloseSpread : askDelay(state, AskDelayPerRank));
  state.IsWanted = false;
  state.LostSilently = false;
  state.AnnouncedAt = {};
  state.AskRejections = 0;
}

void TargetTable::settleCold(State &state, core::Time until, ColdEvidence evidence,
                             core::Time now) {
  if (!state.Process.isCold(now)) {
    NewColdStarts.push_back({state.Info.Id, until - now, evidence});
    state.Served.clear();
  }
  state.Process.learnCold(until, evidence, now);
  Doubted.erase(state.Info.Id);
}

void TargetTable::settleWarm(State &state, core::Time now) {
  state.Process.learnWarm(now);
  Doubted.erase(state.Info.Id);
}

core::Duration TargetTable::askDelay(const State &state, core::Duration perRank) const {
  const auto rank = static_cast<int64_t>(std::min(MaxAskRank, Cold.rank(state.Info.Id)));
  const core::Duration remote = state.Region == Own.Region ? core::Duration{0} : RemoteAskDelay;
  return FirstAskDelay + perRank * rank + remote;
}

void TargetTable::recordConnectionEnded(const core::TargetId &id, core::Time lastHeard,
                                        bool isOrderly, core::Time now) {
  auto it = Targets.find(id);
  if (it == Targets.end())
    return;
  it->second.Served.clear();
  doubt(it->second, lastHeard, ColdEvidence::Lost, now);
  it->second.LostSilently = it->second.LostSilently || !isOrderly;
}

bool TargetTable::confirmSend(const Pick &pick, core::Time now) {
  auto it = Targets.find(pick.Id);
  if (it == Targets.end() || pick.IsLimited)
    return true;
  State &state = it->second;
  if (!isCold(state, now) && !isDoubted(state, now))
    return true;
  // The request itself doesn't count against its own limit.
  if (state.LastSentAt == pick.SentAt)
    state.LastSentAt = pick.SentBeforeAt;
  if (!mayUseColdTarget(state, now))
    return false;
  state.LastSentAt = now;
  return true;
}

void TargetTable::applyProcessNotices(absl::Span<const link::ProcessNotice> notices,
                                      core::Time now) {
  for (const link::ProcessNotice &it : notices) {
    auto known = ByKey.find(it.Target);
    if (known == ByKey.end())
      continue;
    State &state = *known->second;
    switch (it.Fact) {
    case link::ProcessFact::MayHaveEnded:
    case link::ProcessFact::StoppedResponding:
      doubt(state, now - it.Span - NoticeTransit, ColdEvidence::LostByPeer, now);
      if (it.Fact == link::ProcessFact::StoppedResponding)
        state.LostSilently = true;
      break;
    case link::ProcessFact::IsCold:
      settleCold(state, now + it.Span, ColdEvidence::Notice, now);
      break;
    case link::ProcessFact::IsWarm:
      // The process may have responded before this VM lost its connection.
      if (state.Process.coldBy() == ColdEvidence::Probe && state.Process.isCold(now))
        break; // Later knowledge.
      if (state.Process.doubt(now) != ColdEvidence::Lost ||
          now - state.Process.doubtedSince() > NoticeTransit / 2)
        settleWarm(state, now);
      break;
    }
  }
}

/// Records that requests would have been sent to a target if its process were known.
void TargetTable::markWanted(State &state, core::Time now) {
  if (!isDoubted(state, now))
    return;
  state.IsWanted = true;
  Doubted.insert(state.Info.Id);
}

void TargetTable::repeatProcessNotices(core::Time now) {
  for (auto &[id, state] : Targets) {
    if (state.Process.doubt(now) == ColdEvidence::Lost)
      state.AnnouncedAt = {};
    else if (state.Process.isCold(now) && state.Process.coldBy() == ColdEvidence::Probe)
      NewNotices.push_back(
          {link::targetKey(id), link::ProcessFact::IsCold, state.Process.coldUntil() - now});
  }
}

bool TargetTable::hasOpenDoubts(core::Time now) const {
  return !NewNotices.empty() ||
         std::any_of(Doubted.begin(), Doubted.end(), [&](const core::TargetId &id) {
           const State &state = Targets.at(id);
           return state.IsWanted || now - state.Process.doubtedSince() < AnnounceSpan;
         });
}

std::vector<link::ProcessNotice> TargetTable::takeProcessNotices(const IsOpen &isOpen,
                                                                 core::Time now) {
  for (auto it = Doubted.begin(); it != Doubted.end();) {
    State &state = Targets.at(*it);
    if (isDoubted(state, now))
      checkDoubt(state, isOpen, now);
    it = isDoubted(state, now) ? std::next(it) : Doubted.erase(it);
  }
  return std::exchange(NewNotices, {});
}

/// Settles a doubt if another connection of this VM shows that the process goes on, or adds the
/// notice of it that is due.
void TargetTable::checkDoubt(State &state, const IsOpen &isOpen, core::Time now) {
  const ColdEvidence evidence = state.Process.doubt(now);
  const core::Duration age = now - state.Process.doubtedSince();
  const core::Time lastKnown = state.Process.lastKnown();
  const bool hasOpen = !state.LostSilently && isOpen(state.Info.Host, state.Info.Port, lastKnown);
  const uint32_t key = link::targetKey(state.Info.Id);
  if (evidence == ColdEvidence::LostByPeer && hasOpen &&
      age >= askDelay(state, VouchDelayPerRank)) {
    NewNotices.push_back({key, link::ProcessFact::IsWarm, core::Duration{0}});
    state.Process.learnWarm(now);
  }
  if (evidence != ColdEvidence::Lost || age < CloseSpread || age > AnnounceSpan)
    return;
  if (hasOpen && state.AnnouncedAt.Ms == 0) {
    state.Process.withdrawDoubt();
    return;
  }
  // A process that refuses connections has ended, so there is nothing to wait for.
  if ((age < AnnounceDelay && !state.LostSilently) || now - state.AnnouncedAt < AnnounceInterval)
    return;
  state.AnnouncedAt = now;
  NewNotices.push_back(
      {key,
       state.LostSilently ? link::ProcessFact::StoppedResponding : link::ProcessFact::MayHaveEnded,
       now - lastKnown});
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
    if (outcome == TargetOutcome::ConnectFailed) {
      doubt(state, state.AnsweredAt, ColdEvidence::Lost, now);
      state.LostSilently = true;
    }
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
    if (state.Info.Draining || !isDueForProbe(state, now) || !Notices.mayUse(id, now))
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

bool TargetTable::isDueForProbe(const State &state, core::Time now) const {
  if (state.Probing && now - state.ProbedAt < ProbeTimeout)
    return false;
  if (state.Ejected)
    return now >= state.EjectedUntil;
  const ColdEvidence doubt = state.Process.doubt(now);
  core::Time askAt = state.AskAt;
  if (doubt == ColdEvidence::ColdOver)
    askAt = std::max(askAt, state.Process.coldUntil() + askDelay(state, AskDelayPerRank));
  else if (doubt == ColdEvidence::None && ControlLostAt)
    askAt = std::max(askAt, *ControlLostAt + askDelay(state, AskDelayPerRank));
  return (doubt == ColdEvidence::Lost || state.IsWanted) && isDoubted(state, now) && now >= askAt;
}

void TargetTable::recordProbe(const core::TargetId &id, ProbeResult result,
                              std::optional<core::Duration> cold, core::Time now) {
  auto it = Targets.find(id);
  if (it == Targets.end())
    return;
  State &state = it->second;
  state.Probing = false;
  state.AskRejections = result == ProbeResult::Rejected ? state.AskRejections + 1 : 0;
  state.AskAt = now + AskInterval * (int64_t{1} << std::min(state.AskRejections, MaxAskDoublings));
  state.IsWanted = false;
  if (result != ProbeResult::Failed && cold && cold->Ms > 0) {
    settleCold(state, now + *cold, ColdEvidence::Probe, now);
    NewNotices.push_back({link::targetKey(id), link::ProcessFact::IsCold, *cold});
  } else if (result != ProbeResult::Failed && cold) {
    if (state.Process.isDoubted(now))
      NewNotices.push_back({link::targetKey(id), link::ProcessFact::IsWarm, core::Duration{0}});
    settleWarm(state, now);
  }
  if (result != ProbeResult::Passed) {
    if (state.Ejected)
      state.EjectedUntil = now + Settings.BaseEjectionTime;
    else if (result == ProbeResult::Failed)
      eject(state, now);
    if (result == ProbeResult::Failed)
      state.LostSilently = true;
    return;
  }
  if (!state.Ejected)
    return;
  state.Ejected = false;
  state.FailureShare = 0;
  state.Slowness = 1;
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
