#include "moves/MoveController.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace briarspar::moves {

namespace {

// Ended moves that find() and outcome() still know.
constexpr size_t MaxEndedMoves = 1'000;
// Intervals of one source for which reports are still paired; older reports are ignored.
constexpr uint64_t MaxOpenIntervals = 64;
// A low-traffic route may rise without MinRequestsPerStep after this many tenths of the dwell time,
// so that it finishes by its time.
constexpr int64_t LowTrafficDwellTenths = 15;
// Bounds the requests per second that are inferred for a region whose callers have nearly all left.
constexpr BasisPoints LargestShareForLoad = 9'000;

bool startsAnEnd(StepKind kind) {
  return kind == StepKind::TakeBack || kind == StepKind::BeginReturn;
}

MoveReason reasonOf(SequentialTest::Cause cause) {
  switch (cause) {
  case SequentialTest::Cause::Errors:
    return MoveReason::ErrorsWorse;
  case SequentialTest::Cause::Latency:
    return MoveReason::LatencyWorse;
  case SequentialTest::Cause::Crashes:
    return MoveReason::CrashesWorse;
  }
  return MoveReason::ErrorsWorse;
}

bool isRegionDrain(const MoveRecord &record) {
  return record.Kind == MoveKind::Drain && record.Scope == DrainScope::Region;
}

// The region whose callers the move shifts, and whose cap it uses.
core::RegionId cappedRegion(const MoveRecord &record) {
  return record.Kind == MoveKind::Shift ? record.From : core::RegionId(record.Name);
}

std::string problemOf(const MoveRecord &record) {
  if (record.Limit.Ms <= 0)
    return "the move has no time limit";
  if (record.Kind == MoveKind::Shift && (record.From == record.To || record.Goal > FullShare))
    return "a shift needs two regions and at most 100%";
  if (record.Kind == MoveKind::Version &&
      (record.Routes.empty() || record.OldVersion == record.NewVersion))
    return "a version move needs a route and two versions";
  return "";
}

} // namespace

/// A step that was emitted and whose commit is not known.
struct MoveController::PendingStep {
  MoveStep Step;
  core::Time EmittedAt;
  uint64_t Lease = 0; ///< 0: none.
};

/// Statistics of one route of a version move.
struct MoveController::Route {
  struct Interval {
    std::optional<RequestCounts> Old;
    std::optional<RequestCounts> New;
    core::Time FirstAt;
    bool Closed = false;
  };
  struct Source {
    core::Incarnation Incarnation;
    std::map<uint64_t, Interval> Intervals;
  };

  explicit Route(const SequentialTestSettings &settings) : Test(settings) {}

  void add(const VersionStats &stats, bool isNew, core::Duration pairWait, core::Time now);

  SequentialTest Test;
  std::map<core::VmId, Source> Sources;
  RequestCounts OldSum; ///< Compared intervals since the last judgement.
  RequestCounts NewSum;
  bool AnyPair = false;
  core::Time LastPair;
  core::Time LastJudged;
  uint64_t RequestsAtShare = 0; ///< Value of Test.newRequests() when the share last rose.
};

void MoveController::Route::add(const VersionStats &stats, bool isNew, core::Duration pairWait,
                                core::Time now) {
  Source &source = Sources[stats.Source];
  if (stats.SourceIncarnation < source.Incarnation)
    return;
  if (stats.SourceIncarnation > source.Incarnation)
    source = Source{stats.SourceIncarnation, {}};
  if (!source.Intervals.empty()) {
    uint64_t newest = source.Intervals.rbegin()->first;
    if (stats.Interval + MaxOpenIntervals <= newest)
      return;
  }
  Interval &interval = source.Intervals[stats.Interval];
  while (source.Intervals.begin()->first + MaxOpenIntervals <= stats.Interval)
    source.Intervals.erase(source.Intervals.begin());
  if (!interval.Old && !interval.New)
    interval.FirstAt = now;
  // A repeated report of the same interval finds it closed or its own side filled.
  std::optional<RequestCounts> &side = isNew ? interval.New : interval.Old;
  if (interval.Closed || side)
    return;
  side = stats.Counts;
  if (now - interval.FirstAt > pairWait)
    interval.Closed = true;
  if (interval.Closed || !interval.Old || !interval.New)
    return;
  interval.Closed = true;
  OldSum.merge(*interval.Old);
  NewSum.merge(*interval.New);
  AnyPair = true;
  LastPair = now;
}

/// A move with the state that a leader keeps in memory only.
struct MoveController::Active {
  MoveRecord Record;
  core::Time Anchor; ///< When AnchorElapsed was the elapsed time.
  core::Duration AnchorElapsed;
  core::Time ShareSince; ///< When the share last changed, as far as this leader knows.
  std::vector<PendingStep> Pending;
  std::optional<DrainTracker> Drain;
  std::map<core::RouteId, Route> Routes;
  std::string Problem;               ///< Not empty: the move is taken back with this detail.
  std::optional<BasisPoints> Forced; ///< The destination failed; the share that remains.
  bool SourceFailed = false;
  uint64_t FullLoad = 0; ///< Requests per second of all callers of the shifted region.

  core::Duration elapsed(core::Time now) const { return AnchorElapsed + (now - Anchor); }

  MoveStep step(StepKind kind, core::Time now) const {
    MoveStep s;
    s.Id = Record.Id;
    s.Expected = Record.Version;
    s.Kind = kind;
    s.Share = Record.Share;
    s.RequestLimit = Record.RequestLimit;
    s.Elapsed = elapsed(now);
    return s;
  }
};

MoveController::MoveController(const MoveSettings &settings)
    : Settings(settings), Budget(settings.Budget) {}

MoveController::Active &MoveController::activate(const MoveRecord &record, core::Time now) {
  auto active = std::make_shared<Active>();
  active->Record = record;
  active->Anchor = now;
  active->AnchorElapsed = record.Elapsed;
  active->ShareSince = now;
  if (record.Kind == MoveKind::Version) {
    SequentialTestSettings test = Settings.Test;
    // Twice the judgements of the whole move, and the error rate divided over its routes.
    test.Horizon = static_cast<uint32_t>(
        std::clamp<int64_t>(2 * record.Limit.Ms / Settings.JudgeEvery.Ms, 60, 1'000'000));
    test.FalseAlarmRate /= static_cast<double>(std::max<size_t>(record.Routes.size(), 1));
    for (const core::RouteId &id : record.Routes) {
      Route &route = active->Routes.emplace(id, Route(test)).first->second;
      route.LastPair = now;
      route.LastJudged = now;
    }
  }
  if (record.Phase == MovePhase::Draining) {
    DrainSettings drain = Settings.Drain;
    if (record.Scope != DrainScope::Target)
      drain.CallerTtl = Settings.Budget.Ttl;
    active->Drain.emplace(drain, Vms, now);
  }
  if (record.ended())
    EndedOrder.push_back(record.Id);
  else
    for (const core::RouteId &id : record.Routes)
      OpenRoutes.emplace(id, record.Id);
  Active &result = *active;
  Moves[record.Id] = std::move(active);
  return result;
}

bool MoveController::conflicts(const MoveRecord &record) const {
  return std::any_of(Moves.begin(), Moves.end(), [&record](const auto &entry) {
    const MoveRecord &other = entry.second->Record;
    if (other.ended() || other.Id == record.Id)
      return false;
    bool otherShifts = other.Kind == MoveKind::Shift || isRegionDrain(other);
    bool shifts = record.Kind == MoveKind::Shift || isRegionDrain(record);
    if (shifts && otherShifts)
      return cappedRegion(record) == cappedRegion(other);
    return record.Kind == MoveKind::Version && other.Kind == MoveKind::Version &&
           std::find_first_of(record.Routes.begin(), record.Routes.end(), other.Routes.begin(),
                              other.Routes.end()) != record.Routes.end();
  });
}

void MoveController::start(const MoveRecord &record, core::Time now) {
  if (Moves.count(record.Id) != 0)
    return;
  bool conflict = conflicts(record);
  Active &move = activate(record, now);
  move.Problem = problemOf(record);
  if (move.Problem.empty() && conflict)
    move.Problem = "another move of the same region or route is open";
}

void MoveController::setVms(absl::Span<const core::VmId> vms) {
  Vms.assign(vms.begin(), vms.end());
}

void MoveController::cancel(const core::MoveId &id, core::Time now) {
  auto it = Moves.find(id);
  if (it != Moves.end())
    it->second->Record.CancelRequested = true;
}

void MoveController::becomeLeader(absl::Span<const MoveRecord> records, core::Time now) {
  Moves.clear();
  OpenRoutes.clear();
  EndedOrder.clear();
  Ended.clear();
  Budget.becomeLeader(now);
  // A move that was refused for a conflict ends with its first step, so among open moves of the
  // same region or route the one with committed steps is the one that was accepted.
  for (const MoveRecord &record : records)
    if (record.Version > 0)
      start(record, now);
  for (const MoveRecord &record : records)
    start(record, now);
}

std::vector<MoveStep> MoveController::tick(core::Time now) {
  std::vector<MoveStep> steps;
  for (auto &[id, active] : Moves) {
    if (active->Record.ended())
      continue;
    judge(*active, now);
    refreshFullLoad(*active, now);
    if (std::optional<MoveStep> step = next(*active, now))
      steps.push_back(std::move(*step));
  }
  return steps;
}

void MoveController::judge(Active &move, core::Time now) {
  // Half of a short dwell time is judged by the narrow tolerances.
  core::Duration cold = std::min(Settings.ColdStart, dwellOf(move.Record) / 2);
  bool coldStart = now - move.ShareSince < Settings.Propagation + cold;
  for (auto &[id, route] : move.Routes) {
    if (!route.AnyPair || now - route.LastJudged < Settings.JudgeEvery)
      continue;
    route.Test.add(route.OldSum, route.NewSum, coldStart);
    route.OldSum = {};
    route.NewSum = {};
    route.AnyPair = false;
    route.LastJudged = now;
  }
}

MoveReason MoveController::reasonToEnd(const Active &move, core::Time now) const {
  for (const auto &[id, route] : move.Routes)
    if (route.Test.rejected())
      return reasonOf(*route.Test.rejected());
  if (move.Forced || move.SourceFailed)
    return MoveReason::RegionFailed;
  if (move.Record.CancelRequested || !move.Problem.empty())
    return MoveReason::Cancelled;
  for (const auto &[id, route] : move.Routes)
    if (move.Record.Share > 0 &&
        now - std::max(route.LastPair, move.ShareSince) > Settings.StatsStale)
      return MoveReason::MeasurementsStopped;
  if (move.elapsed(now) >= move.Record.Limit)
    return MoveReason::DeadlinePassed;
  return MoveReason::None;
}

std::optional<MoveStep> MoveController::ending(Active &move, core::Time now) const {
  const MoveRecord &record = move.Record;
  bool returning = record.Phase == MovePhase::Returning;
  if (returning && !move.Forced && !move.SourceFailed)
    return std::nullopt;
  MoveReason reason = reasonToEnd(move, now);
  if (reason == MoveReason::None)
    return std::nullopt;
  bool shifts = record.Kind == MoveKind::Shift || isRegionDrain(record);
  bool gradual = shifts && record.Share > 0 && !move.Forced && !move.SourceFailed;
  MoveStep step = move.step(gradual ? StepKind::BeginReturn : StepKind::TakeBack, now);
  step.Reason = returning ? record.Reason : reason;
  step.Detail = returning ? record.Detail : std::string(reasonName(reason));
  step.RequestLimit = 0;
  if (!move.Problem.empty())
    step.Detail = move.Problem;
  for (const auto &[id, route] : move.Routes)
    if (route.Test.rejected())
      step.Detail = absl::StrCat("route ", id.Value, ": ", std::string(reasonName(reason)));
  if (move.Drain)
    step.Detail = absl::StrCat(step.Detail, "; ", move.Drain->inFlight(), " requests in flight, ",
                               move.Drain->unreported(), " VMs without a report");
  // While the source is down, returned callers would find nothing there; the share stays.
  if (!gradual && !move.SourceFailed)
    step.Share = move.Forced.value_or(0);
  return step;
}

std::optional<MoveStep> MoveController::next(Active &move, core::Time now) {
  std::optional<MoveStep> end = ending(move, now);
  const PendingStep *last = move.Pending.empty() ? nullptr : &move.Pending.back();
  // A step to Done that may already be committed is not overtaken by the deadline alone.
  if (end && last != nullptr && last->Step.Kind == StepKind::Finish &&
      end->Reason == MoveReason::DeadlinePassed)
    end.reset();
  if (end && (last == nullptr || !startsAnEnd(last->Step.Kind) ||
              (end->Kind == StepKind::TakeBack && last->Step.Kind == StepKind::BeginReturn))) {
    move.Pending.push_back({*end, now, 0});
    return end;
  }
  if (last != nullptr) {
    PendingStep &pending = move.Pending.back();
    if (now - pending.EmittedAt < Settings.StepRetry)
      return std::nullopt;
    pending.EmittedAt = now;
    for (const PendingStep &open : move.Pending)
      if (open.Lease != 0)
        Budget.renew(open.Lease, now);
    return pending.Step;
  }

  std::optional<MoveStep> step;
  if (move.Record.Phase == MovePhase::Returning)
    step = nextReturn(move, now);
  else if (move.Record.Kind == MoveKind::Shift)
    step = nextShift(move, now);
  else if (move.Record.Kind == MoveKind::Drain)
    step = nextDrain(move, now);
  else
    step = nextVersion(move, now);
  if (!step && move.elapsed(now) - move.Record.Elapsed >= Settings.Checkpoint)
    step = move.step(StepKind::Checkpoint, now);
  // shareUnderBudget() has stored its step together with the lease.
  if (step && move.Pending.empty())
    move.Pending.push_back({*step, now, 0});
  return step;
}

void MoveController::refreshFullLoad(Active &move, core::Time now) {
  if (move.Record.Share > LargestShareForLoad && move.FullLoad != 0)
    return;
  BasisPoints share = std::min(move.Record.Share, LargestShareForLoad);
  if (std::optional<uint64_t> load = Budget.loadOf(cappedRegion(move.Record), now))
    move.FullLoad = *load * FullShare / (FullShare - share);
}

std::optional<MoveStep> MoveController::shareUnderBudget(Active &move, BasisPoints goal,
                                                         core::Time now) {
  const MoveRecord &record = move.Record;
  bool rising = goal > record.Share;
  BasisPoints distance = rising ? goal - record.Share : record.Share - goal;
  core::RegionId capped = cappedRegion(record);
  // Without the source's load it is unknown how much arrives at the destination.
  if (!Budget.loadOf(capped, now))
    return std::nullopt;
  core::RegionId arrivesAt = rising ? record.To : capped;
  std::optional<BudgetLease> lease = Budget.lease(capped, arrivesAt, distance, move.FullLoad, now);
  if (!lease)
    return std::nullopt;
  MoveStep step = move.step(StepKind::SetShare, now);
  step.Share = rising ? record.Share + lease->Basis : record.Share - lease->Basis;
  move.Pending.push_back({step, now, lease->Id});
  return step;
}

std::optional<MoveStep> MoveController::nextShift(Active &move, core::Time now) {
  if (move.Record.Share < move.Record.Goal)
    return shareUnderBudget(move, move.Record.Goal, now);
  // Done means that no caller acts on an older lookup any more.
  if (now - move.ShareSince < Settings.Propagation + Settings.Budget.Ttl)
    return std::nullopt;
  MoveStep step = move.step(StepKind::Finish, now);
  step.Reason = MoveReason::Completed;
  return step;
}

std::optional<MoveStep> MoveController::nextReturn(Active &move, core::Time now) {
  bool overdue = move.elapsed(now) - move.Record.PhaseStart > Settings.ReturnLimit;
  if (move.Record.Share > 0 && !overdue)
    return shareUnderBudget(move, 0, now);
  MoveStep step = move.step(StepKind::TakeBack, now);
  step.Reason = move.Record.Reason;
  step.Detail = move.Record.Detail;
  if (move.Record.Share > 0)
    step.Detail = absl::StrCat(step.Detail, "; a share of ", move.Record.Share, " of ", FullShare,
                               " was not returned");
  return step;
}

std::optional<MoveStep> MoveController::nextDrain(Active &move, core::Time now) {
  if (move.Record.Phase == MovePhase::Moving) {
    if (isRegionDrain(move.Record) && move.Record.Share < FullShare)
      return shareUnderBudget(move, FullShare, now);
    return move.step(StepKind::BeginDrain, now);
  }
  if (!move.Drain || !move.Drain->empty(now))
    return std::nullopt;
  MoveStep step = move.step(StepKind::Finish, now);
  step.Reason = MoveReason::Completed;
  return step;
}

core::Duration MoveController::dwellOf(const MoveRecord &record) const {
  int64_t raises = 0;
  for (BasisPoints share : Settings.VersionShares)
    raises += share > record.Share;
  if (raises == 0)
    return record.Limit * Settings.WatchPermille / 1'000;
  // The time that remains, without the watch and the slack, is divided over the raises that remain.
  core::Duration end =
      record.Limit * (1'000 - Settings.WatchPermille - Settings.SlackPermille) / 1'000;
  return std::max(Settings.MinDwell, (end - record.PhaseStart) / raises - Settings.Propagation);
}

bool MoveController::mayRaise(const Active &move, core::Duration dwell, core::Time now) const {
  core::Duration inForce = now - move.ShareSince - Settings.Propagation;
  if (inForce < dwell)
    return false;
  bool longEnough = inForce >= dwell * LowTrafficDwellTenths / 10;
  return std::all_of(move.Routes.begin(), move.Routes.end(), [&](const auto &entry) {
    const Route &route = entry.second;
    bool fresh = now - route.LastPair <= Settings.PairWait * 2 && route.LastPair > move.ShareSince;
    bool enough = route.Test.newRequests() - route.RequestsAtShare >= Settings.MinRequestsPerStep;
    return fresh && !route.Test.suspicious() && (enough || longEnough);
  });
}

std::optional<MoveStep> MoveController::nextVersion(Active &move, core::Time now) {
  const MoveRecord &record = move.Record;
  auto share =
      std::upper_bound(Settings.VersionShares.begin(), Settings.VersionShares.end(), record.Share);
  bool first = record.Share == 0;
  if (!first && !mayRaise(move, dwellOf(record), now))
    return std::nullopt;
  bool watched = share == Settings.VersionShares.end();
  MoveStep step = move.step(watched ? StepKind::Finish : StepKind::SetShare, now);
  step.Share = watched ? FullShare : *share;
  step.RequestLimit = first ? Settings.FirstRequestLimit : 0;
  step.Reason = watched ? MoveReason::Completed : MoveReason::None;
  return step;
}

void MoveController::settle(Active &move, const MoveStep &step, BasisPoints before,
                            core::Time now) {
  bool ours = false;
  for (const PendingStep &pending : move.Pending) {
    bool same = pending.Step == step;
    ours = ours || same;
    if (pending.Lease == 0)
      continue;
    // Only one step takes effect on a version, so the other ones never will.
    if (same)
      Budget.settle(pending.Lease, now);
    else
      Budget.abandon(pending.Lease);
  }
  move.Pending.clear();
  if (!ours && step.Kind == StepKind::SetShare && move.Record.Kind != MoveKind::Version) {
    bool rising = step.Share > before;
    core::RegionId capped = cappedRegion(move.Record);
    Budget.charge(capped, rising ? move.Record.To : capped,
                  rising ? step.Share - before : before - step.Share, move.FullLoad, now);
  }
}

void MoveController::committed(const MoveStep &step, core::Time now) {
  auto it = Moves.find(step.Id);
  if (it == Moves.end())
    return;
  Active &move = *it->second;
  BasisPoints before = move.Record.Share;
  if (!applyStep(move.Record, step))
    return;
  settle(move, step, before, now);
  if (step.Kind == StepKind::SetShare) {
    move.ShareSince = now;
    for (auto &[id, route] : move.Routes)
      route.RequestsAtShare = route.Test.newRequests();
  }
  if (step.Kind == StepKind::BeginDrain) {
    DrainSettings drain = Settings.Drain;
    if (move.Record.Scope != DrainScope::Target)
      drain.CallerTtl = Settings.Budget.Ttl;
    move.Drain.emplace(drain, Vms, now);
  }
  if (!move.Record.ended())
    return;
  move.Routes.clear();
  move.Drain.reset();
  for (const core::RouteId &route : move.Record.Routes) {
    auto open = OpenRoutes.find(route);
    if (open != OpenRoutes.end() && open->second == step.Id)
      OpenRoutes.erase(open);
  }
  Ended.push_back(*outcome(step.Id));
  EndedOrder.push_back(step.Id);
  for (; EndedOrder.size() > MaxEndedMoves; EndedOrder.pop_front())
    Moves.erase(EndedOrder.front());
}

void MoveController::observe(const VersionStats &stats, core::Time now) {
  auto open = OpenRoutes.find(stats.Route);
  if (open == OpenRoutes.end())
    return;
  Active &move = *Moves.at(open->second);
  auto route = move.Routes.find(stats.Route);
  bool isNew = stats.Version == move.Record.NewVersion;
  if (route != move.Routes.end() && (isNew || stats.Version == move.Record.OldVersion))
    route->second.add(stats, isNew, Settings.PairWait, now);
}

void MoveController::observe(const InFlightReport &report, core::Time now) {
  auto it = Moves.find(report.Move);
  if (it != Moves.end() && it->second->Drain)
    it->second->Drain->report(report, now);
}

void MoveController::observe(const RegionLoad &load, core::Time now) {
  if (!load.Up && Budget.isUp(load.Region)) {
    regionFailed(load.Region, now);
    return;
  }
  Budget.observe(load, now);
}

void MoveController::vmExpired(const core::VmId &vm, core::Time now) {
  for (auto &[id, move] : Moves)
    if (move->Drain)
      move->Drain->vmExpired(vm, now);
}

std::vector<ForcedMove> MoveController::regionFailed(const core::RegionId &region, core::Time now) {
  if (!Budget.isUp(region))
    return Budget.forcedOf(region);
  for (auto &[id, move] : Moves) {
    const MoveRecord &record = move->Record;
    if (record.ended() || record.Kind != MoveKind::Shift)
      continue;
    move->SourceFailed = move->SourceFailed || record.From == region;
    if (record.To != region || move->SourceFailed)
      continue;
    // The shifted callers go home at once, as far as their region has room for them.
    refreshFullLoad(*move, now);
    uint64_t room = Budget.headroom(record.From, now);
    uint64_t fits = move->FullLoad == 0 ? 0 : room * FullShare / move->FullLoad;
    auto back = static_cast<BasisPoints>(std::min<uint64_t>(record.Share, fits));
    move->Forced = record.Share - back;
    Budget.charge(record.From, record.From, back, move->FullLoad, now);
  }
  return Budget.failRegion(region, now);
}

void MoveController::setCap(const core::RegionId &region, const ShiftCap &cap) {
  Budget.setCap(region, cap);
}

void MoveController::setForced(const core::RegionId &region, std::vector<ForcedMove> forced,
                               uint64_t load) {
  Budget.setForced(region, std::move(forced), load);
}

std::vector<ForcedMove> MoveController::returnForced(const core::RegionId &region, core::Time now) {
  return Budget.returnForced(region, now);
}

const MoveRecord *MoveController::find(const core::MoveId &id) const {
  auto it = Moves.find(id);
  return it != Moves.end() ? &it->second->Record : nullptr;
}

std::optional<MoveOutcome> MoveController::outcome(const core::MoveId &id) const {
  const MoveRecord *record = find(id);
  if (record == nullptr || !record->ended())
    return std::nullopt;
  MoveOutcome outcome;
  outcome.Id = id;
  outcome.End =
      record->Phase == MovePhase::Done ? MoveOutcome::Kind::Done : MoveOutcome::Kind::TakenBack;
  outcome.Reason = record->Reason;
  outcome.Detail = record->Detail;
  outcome.Elapsed = record->Elapsed;
  return outcome;
}

std::vector<MoveOutcome> MoveController::takeOutcomes() { return std::exchange(Ended, {}); }

std::string MoveController::snapshot() const {
  core::Json records = core::Json::array();
  for (const auto &[id, move] : Moves)
    records.push_back(move->Record);
  return core::encodeCbor(records);
}

absl::Status MoveController::restore(std::string_view bytes, core::Time now) {
  auto records = core::decodeCborAs<std::vector<MoveRecord>>(bytes);
  if (!records.ok())
    return records.status();
  becomeLeader(*records, now);
  return absl::OkStatus();
}

} // namespace briarspar::moves
