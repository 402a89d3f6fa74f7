#include "balance/TargetChooser.h"

#include <algorithm>
#include <tuple>

namespace briarspar::balance {

using core::Duration;
using core::TargetId;
using core::Time;
using core::VersionId;

namespace {

constexpr int64_t FullPermille = 1000;

/// A target that stays healthy for this long after an ejection starts over with BaseEjectionTime.
constexpr Duration EjectionMemory{60'000};

/// Bounds the shift; the ejection time exceeds any useful maximum by then.
constexpr uint32_t MaxDoublings = 16;

/// The newest latency has a weight of 1 / LatencyDecay in the moving average of a pool.
constexpr int64_t LatencyDecay = 100;
constexpr int64_t MicrosPerMs = 1000;

/// Returns how much an outcome counts towards an ejection. A refused connection is stronger
/// evidence than a failed answer.
uint32_t failureWeight(Outcome::Kind kind) {
  switch (kind) {
  case Outcome::ConnectFailed:
    return 2;
  case Outcome::Failed:
  case Outcome::TimedOut:
  case Outcome::ConnectionLost:
    return 1;
  case Outcome::Good:
  case Outcome::Cancelled:
    break;
  }
  return 0;
}

} // namespace

TargetChooser::TargetChooser(Locality own, SlotSource &slots, const TargetChooserSettings &settings,
                             core::EventSink *events)
    : Own(std::move(own)), Slots(slots), Settings(settings), Events(events) {}

void TargetChooser::setTargets(absl::Span<const TargetInfo> targets, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  std::map<TargetId, Target> next;
  for (auto &[id, pool] : Pools)
    pool.Targets.clear();
  for (const TargetInfo &info : targets) {
    Target &target = next[info.Id];
    auto known = Targets.find(info.Id);
    if (known != Targets.end() && known->second.Info.Version == info.Version)
      target = std::move(known->second);
    else
      target.WindowStart = now;
    target.Info = info;
    Pools[info.Pool].Targets.push_back(info.Id);
  }
  Targets = std::move(next);
}

void TargetChooser::setVersionShares(const PoolId &pool,
                                     const std::map<VersionId, uint32_t> &shares) {
  std::lock_guard<std::mutex> lock(Mutex);
  Pool &p = Pools[pool];
  if (p.Shares == shares)
    return;
  p.Shares = shares;
  p.Credit.clear();
}

std::optional<Choice> TargetChooser::choose(const RequestContext &request, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Pools.find(request.Pool);
  if (it == Pools.end())
    return std::nullopt;
  if (!it->second.Shares.empty())
    return chooseByVersion(it->second, request, now);
  return chooseFrom(it->second, candidates(it->second, request, nullptr), now);
}

/// Smooth weighted round robin: each choice adds its share to the credit of every version and
/// subtracts the sum of the shares from the chosen one. Only a version with positive credit may be
/// chosen, so that the requests of a version without free slots do not move to a version with a
/// small share.
std::optional<Choice> TargetChooser::chooseByVersion(Pool &pool, const RequestContext &request,
                                                     Time now) {
  int64_t sum = 0;
  std::vector<std::pair<int64_t, VersionId>> order;
  for (const auto &[version, share] : pool.Shares) {
    sum += share;
    order.emplace_back(pool.Credit[version] + share, version);
  }
  std::sort(order.rbegin(), order.rend());
  for (const auto &[credit, version] : order) {
    if (credit <= 0)
      break;
    std::optional<Choice> choice = chooseFrom(pool, candidates(pool, request, &version), now);
    if (!choice)
      continue;
    for (const auto &[otherCredit, other] : order)
      pool.Credit[other] = otherCredit;
    pool.Credit[version] -= sum;
    return choice;
  }
  return std::nullopt;
}

TargetChooser::TargetList TargetChooser::candidates(const Pool &pool, const RequestContext &request,
                                                    const VersionId *version) {
  TargetList list;
  for (const TargetId &id : pool.Targets) {
    Target &target = Targets.at(id);
    const bool isOtherVersion = version != nullptr && target.Info.Version != *version;
    const bool isExcluded =
        std::find(request.Exclude.begin(), request.Exclude.end(), id) != request.Exclude.end();
    if (!isOtherVersion && !isExcluded)
      list.push_back(&target);
  }
  return list;
}

std::optional<Choice> TargetChooser::chooseFrom(const Pool &pool, const TargetList &targets,
                                                Time now) {
  if (std::optional<Choice> probe = tryProbe(pool, targets, now))
    return probe;
  const bool ignoreEjections = ignoresEjections(pool);
  using Rank = std::tuple<int, int64_t, uint64_t, Target *>;
  std::vector<Rank> ranks;
  bool anyWarm = false;
  for (Target *target : targets) {
    if (target->State == Health::Ejected && !ignoreEjections)
      continue;
    anyWarm = anyWarm || rampPermille(*target, now) >= FullPermille;
    if (Slots.available(target->Info.Id) != 0)
      ranks.emplace_back(distance(*target), score(*target, now), target->LastChosen, target);
  }
  std::sort(ranks.begin(), ranks.end(), [](const Rank &a, const Rank &b) {
    return std::tie(std::get<0>(a), std::get<1>(a), std::get<2>(a)) <
           std::tie(std::get<0>(b), std::get<1>(b), std::get<2>(b));
  });
  for (const Rank &rank : ranks) {
    Target &target = *std::get<Target *>(rank);
    // If every target is cold, no warm target can take the load during the ramp, so the ramp is
    // ignored. The slots still limit the load.
    if (anyWarm && !isUnderRamp(target, now))
      continue;
    if (Slots.acquire(target.Info.Id))
      return accept(target, false, now);
  }
  return std::nullopt;
}

std::optional<Choice> TargetChooser::tryProbe(const Pool &pool, const TargetList &targets,
                                              Time now) {
  // Only one probe at a time per pool, to limit the requests that fail on ejected targets.
  for (const TargetId &id : pool.Targets)
    if (isProbing(Targets.at(id), now))
      return std::nullopt;
  for (Target *target : targets) {
    if (target->State != Health::Ejected || now < target->EjectedUntil)
      continue;
    if (Slots.acquire(target->Info.Id))
      return accept(*target, true, now);
  }
  return std::nullopt;
}

bool TargetChooser::isProbing(const Target &target, Time now) const {
  return target.ProbeSince && now < *target.ProbeSince + Settings.ProbeTimeout;
}

Choice TargetChooser::accept(Target &target, bool probe, Time now) {
  target.LastChosen = ++Counter;
  if (probe)
    target.ProbeSince = now;
  else if (!target.FirstUse)
    target.FirstUse = now;
  return {target.Info.Id, target.Info.Version, probe, distance(target) == 2};
}

bool TargetChooser::ignoresEjections(const Pool &pool) const {
  const auto ejected =
      std::count_if(pool.Targets.begin(), pool.Targets.end(),
                    [&](const TargetId &id) { return Targets.at(id).State == Health::Ejected; });
  return ejected * FullPermille >
         static_cast<int64_t>(pool.Targets.size() * Settings.MaxEjectedPermille);
}

int TargetChooser::distance(const Target &target) const {
  if (target.Info.Where.Region != Own.Region)
    return 2;
  return target.Info.Where.Domain == Own.Domain ? 0 : 1;
}

int64_t TargetChooser::rampPermille(const Target &target, Time now) const {
  if (Settings.RampDuration.Ms == 0)
    return FullPermille;
  const int64_t start = Settings.RampStartPermille;
  if (!target.FirstUse)
    return start;
  const int64_t age = std::min((now - *target.FirstUse).Ms, Settings.RampDuration.Ms);
  return start + (FullPermille - start) * age / Settings.RampDuration.Ms;
}

bool TargetChooser::isUnderRamp(const Target &target, Time now) const {
  const int64_t inUse = Slots.inUse(target.Info.Id);
  const int64_t all = inUse + Slots.available(target.Info.Id);
  return inUse * FullPermille < std::max(all * rampPermille(target, now), FullPermille);
}

/// Returns the load of the target with this request, in thousandths of its current limit, plus
/// penalties for failures and reported load. Lower is better.
int64_t TargetChooser::score(const Target &target, Time now) const {
  const int64_t inUse = Slots.inUse(target.Info.Id);
  const int64_t all = std::max<int64_t>(1, inUse + Slots.available(target.Info.Id));
  const int64_t own = (inUse + 1) * FullPermille * FullPermille / (all * rampPermille(target, now));
  return own + failurePermille(target, now) + reportedLoad(target, now);
}

int64_t TargetChooser::failurePermille(const Target &target, Time now) const {
  const int64_t samples = target.WindowGood + target.WindowFailed;
  const bool isOver = now >= target.WindowStart + Settings.SampleWindow;
  return samples == 0 || isOver ? 0 : target.WindowFailed * FullPermille / samples;
}

/// The weight of a load report decays to 0 unless a new one arrives, so that targets rank equally
/// when reports stop. A failing target counts as fully loaded whatever it reports, so that a wrong
/// report of low load attracts no requests.
int64_t TargetChooser::reportedLoad(const Target &target, Time now) const {
  if (!target.LoadAt)
    return 0;
  const int64_t age = (now - *target.LoadAt).Ms;
  if (age >= Settings.LoadReportMaxAge.Ms)
    return 0;
  const bool isFailing = failurePermille(target, now) >= Settings.FailurePermilleToOverrideLoad;
  const int64_t load = isFailing ? FullPermille : target.LoadPermille;
  if (age <= Settings.LoadReportFreshAge.Ms)
    return load;
  const int64_t span = Settings.LoadReportMaxAge.Ms - Settings.LoadReportFreshAge.Ms;
  return load * (Settings.LoadReportMaxAge.Ms - age) / span;
}

void TargetChooser::record(const Outcome &outcome, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Targets.find(outcome.Target);
  if (it == Targets.end())
    return;
  if (outcome.Result == Outcome::Good)
    ++Counts[outcome.Target].Good;
  else if (failureWeight(outcome.Result) != 0)
    ++Counts[outcome.Target].Failed;
  Target &target = it->second;
  if (outcome.Result == Outcome::Good)
    recordLatency(target, outcome.Latency);
  if (!isConclusive(target, outcome)) {
    // Not evidence about the target; a probe must be repeated.
    target.ProbeSince.reset();
    return;
  }
  if (target.State == Health::Ejected)
    return onProbeOutcome(target, outcome, now);
  rollWindow(target, now);
  if (outcome.Result == Outcome::Good)
    onGood(target, now);
  else if (failureWeight(outcome.Result) != 0)
    onFailure(target, outcome.Result, now);
}

/// A request that waited long for a slot has little time left on the target. Counting its timeout
/// as a failure would eject healthy targets when slots are scarce.
bool TargetChooser::isConclusive(const Target &target, const Outcome &outcome) const {
  if (outcome.Result != Outcome::TimedOut)
    return true;
  const Pool &pool = Pools.at(target.Info.Pool);
  return outcome.Latency.Ms * MicrosPerMs >= pool.MeanLatencyMicros * Settings.MinTimeoutFactor;
}

void TargetChooser::recordLatency(const Target &target, Duration latency) {
  int64_t &mean = Pools.at(target.Info.Pool).MeanLatencyMicros;
  const int64_t micros = latency.Ms * MicrosPerMs;
  mean = mean == 0 ? micros : mean + (micros - mean) / LatencyDecay;
}

void TargetChooser::onProbeOutcome(Target &target, const Outcome &outcome, Time now) {
  // Requests in flight when the target was ejected are no evidence of its recovery.
  if (!target.ProbeSince)
    return;
  target.ProbeSince.reset();
  if (outcome.Result == Outcome::Cancelled)
    return;
  if (outcome.Result != Outcome::Good)
    return eject(target, now);
  if (++target.GoodProbes < Settings.ProbesToRecover)
    return;
  target.State = Health::Up;
  target.ConsecutiveFailures = 0;
  target.WindowGood = 0;
  target.WindowFailed = 0;
  target.WindowStart = now;
  target.FirstUse = now;
}

void TargetChooser::onGood(Target &target, Time now) {
  target.ConsecutiveFailures = 0;
  ++target.WindowGood;
  if (now >= target.EjectedUntil + EjectionMemory)
    target.Ejections = 0;
}

void TargetChooser::onFailure(Target &target, Outcome::Kind kind, Time now) {
  target.ConsecutiveFailures += failureWeight(kind);
  ++target.WindowFailed;
  const uint32_t samples = target.WindowGood + target.WindowFailed;
  const bool exceedsFailureRate =
      samples >= Settings.MinSamples &&
      target.WindowFailed * FullPermille >= int64_t{samples} * Settings.FailurePermilleToEject;
  // A target that refuses connections serves nothing; waiting for more failures would only cost
  // requests.
  const bool isUnreachable = kind == Outcome::ConnectFailed;
  if (isUnreachable || target.ConsecutiveFailures >= Settings.FailuresToEject || exceedsFailureRate)
    eject(target, now);
}

void TargetChooser::rollWindow(Target &target, Time now) const {
  if (now < target.WindowStart + Settings.SampleWindow)
    return;
  target.WindowStart = now;
  target.WindowGood = 0;
  target.WindowFailed = 0;
}

void TargetChooser::eject(Target &target, Time now) {
  const int64_t doubled = Settings.BaseEjectionTime.Ms << std::min(target.Ejections, MaxDoublings);
  target.State = Health::Ejected;
  target.EjectedUntil = now + Duration{std::min(doubled, Settings.MaxEjectionTime.Ms)};
  target.GoodProbes = 0;
  ++target.Ejections;
  if (Events != nullptr)
    Events->emit({core::EventId::TargetUnhealthy,
                  {{"target", target.Info.Id.Value},
                   {"ejections", target.Ejections},
                   {"until_ms", target.EjectedUntil.Ms}}});
}

std::map<TargetId, OutcomeCounts> TargetChooser::takeOutcomes() {
  std::lock_guard<std::mutex> lock(Mutex);
  return std::exchange(Counts, {});
}

void TargetChooser::recordLoad(const TargetId &target, uint32_t permille, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Targets.find(target);
  if (it == Targets.end())
    return;
  it->second.LoadPermille = std::min<uint32_t>(permille, FullPermille);
  it->second.LoadAt = now;
}

bool TargetChooser::isEjected(const TargetId &target) const {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Targets.find(target);
  return it != Targets.end() && it->second.State == Health::Ejected;
}

} // namespace briarspar::balance
