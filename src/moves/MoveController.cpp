#include "moves/MoveControllerState.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace briarspar::moves {

namespace {

// Number of ended moves kept for find() and outcome().
constexpr size_t MaxEndedMoves = 1'000;

bool isEndingStep(StepKind kind) {
  return kind == StepKind::RollBack || kind == StepKind::BeginReturn;
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

std::string validationError(const MoveRecord &record) {
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

MoveController::MoveController(const MoveSettings &settings)
    : Settings(settings), Budget(settings.Budget) {}

MoveController::Active &MoveController::activate(const MoveRecord &record, core::Time now) {
  auto active = std::make_shared<Active>();
  active->Record = record;
  active->ElapsedBaseAt = now;
  active->ElapsedBase = record.Elapsed;
  active->ShareSince = now;
  if (record.Kind == MoveKind::Version)
    startTests(*active, now);
  if (record.Phase == MovePhase::Draining)
    beginDrain(*active, now);
  if (record.ended())
    EndedMoves.push_back(record.Id);
  else
    for (const core::RouteId &id : record.Routes)
      OpenVersionMoves.emplace(id, record.Id);
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
  move.RejectionDetail = validationError(record);
  if (move.RejectionDetail.empty() && conflict)
    move.RejectionDetail = "another move of the same region or route is open";
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
  OpenVersionMoves.clear();
  EndedMoves.clear();
  EndedOutcomes.clear();
  Budget.becomeLeader(now);
  // A move that was rejected for a conflict ends with its first step. Of several open moves of the
  // same region or route, the one with committed steps is therefore the accepted one.
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
    evaluate(*active, now);
    refreshFullLoad(*active, now);
    if (std::optional<MoveStep> step = nextStep(*active, now))
      steps.push_back(std::move(*step));
  }
  return steps;
}

MoveReason MoveController::reasonToEnd(const Active &move, core::Time now) const {
  for (const auto &[id, route] : move.Routes)
    if (route.Test.rejected())
      return reasonOf(*route.Test.rejected());
  if (move.ShareAfterFailure || move.SourceFailed)
    return MoveReason::RegionFailed;
  if (move.Record.CancelRequested || !move.RejectionDetail.empty())
    return MoveReason::Cancelled;
  for (const auto &[id, route] : move.Routes)
    if (move.Record.Share > 0 &&
        now - std::max(route.LastPairAt, move.ShareSince) > Settings.MaxStatsAge)
      return MoveReason::MeasurementsStopped;
  if (move.elapsed(now) >= move.Record.Limit)
    return MoveReason::DeadlinePassed;
  return MoveReason::None;
}

std::optional<MoveStep> MoveController::endingStep(Active &move, core::Time now) const {
  const MoveRecord &record = move.Record;
  bool returning = record.Phase == MovePhase::Returning;
  if (returning && !move.ShareAfterFailure && !move.SourceFailed)
    return std::nullopt;
  MoveReason reason = reasonToEnd(move, now);
  if (reason == MoveReason::None)
    return std::nullopt;
  bool shifts = record.Kind == MoveKind::Shift || isRegionDrain(record);
  bool gradual = shifts && record.Share > 0 && !move.ShareAfterFailure && !move.SourceFailed;
  MoveStep step = move.step(gradual ? StepKind::BeginReturn : StepKind::RollBack, now);
  step.Reason = returning ? record.Reason : reason;
  step.Detail = returning ? record.Detail : std::string(reasonName(reason));
  step.RequestLimit = 0;
  if (!move.RejectionDetail.empty())
    step.Detail = move.RejectionDetail;
  for (const auto &[id, route] : move.Routes)
    if (route.Test.rejected())
      step.Detail = absl::StrCat("route ", id.Value, ": ", std::string(reasonName(reason)));
  if (move.Drain)
    step.Detail = absl::StrCat(step.Detail, "; ", move.Drain->inFlight(), " requests in flight, ",
                               move.Drain->unreportedVms(), " VMs without a report");
  // While the source region is down, callers cannot be returned to it, so the share stays.
  if (!gradual && !move.SourceFailed)
    step.Share = move.ShareAfterFailure.value_or(0);
  return step;
}

std::optional<MoveStep> MoveController::nextStep(Active &move, core::Time now) {
  std::optional<MoveStep> end = endingStep(move, now);
  const PendingStep *last = move.Pending.empty() ? nullptr : &move.Pending.back();
  // A Finish step may already be committed, so the deadline alone does not supersede it.
  if (end && last != nullptr && last->Step.Kind == StepKind::Finish &&
      end->Reason == MoveReason::DeadlinePassed)
    end.reset();
  if (end && (last == nullptr || !isEndingStep(last->Step.Kind) ||
              (end->Kind == StepKind::RollBack && last->Step.Kind == StepKind::BeginReturn))) {
    move.Pending.push_back({*end, now, 0});
    return end;
  }
  if (last != nullptr) {
    PendingStep &pending = move.Pending.back();
    if (now - pending.EmittedAt < Settings.StepRetryInterval)
      return std::nullopt;
    pending.EmittedAt = now;
    for (const PendingStep &open : move.Pending)
      if (open.Lease != 0)
        Budget.renew(open.Lease, now);
    return pending.Step;
  }

  std::optional<MoveStep> step;
  if (move.Record.Phase == MovePhase::Returning)
    step = nextReturnStep(move, now);
  else if (move.Record.Kind == MoveKind::Shift)
    step = nextShiftStep(move, now);
  else if (move.Record.Kind == MoveKind::Drain)
    step = nextDrainStep(move, now);
  else
    step = nextVersionStep(move, now);
  if (!step && move.elapsed(now) - move.Record.Elapsed >= Settings.CheckpointInterval)
    step = move.step(StepKind::Checkpoint, now);
  // shareStepUnderBudget() has already stored its step with the lease.
  if (step && move.Pending.empty())
    move.Pending.push_back({*step, now, 0});
  return step;
}

void MoveController::chargeBudget(Active &move, const MoveStep &step, BasisPoints before,
                                  core::Time now) {
  bool ownStep = false;
  for (const PendingStep &pending : move.Pending) {
    bool same = pending.Step == step;
    ownStep = ownStep || same;
    if (pending.Lease == 0)
      continue;
    // Only one step takes effect per record version, so the others never will.
    if (same)
      Budget.commit(pending.Lease, now);
    else
      Budget.release(pending.Lease);
  }
  move.Pending.clear();
  if (!ownStep && step.Kind == StepKind::SetShare && move.Record.Kind != MoveKind::Version) {
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
  chargeBudget(move, step, before, now);
  if (step.Kind == StepKind::SetShare) {
    move.ShareSince = now;
    for (auto &[id, route] : move.Routes)
      route.RequestsAtShare = route.Test.newRequests();
  }
  if (step.Kind == StepKind::BeginDrain)
    beginDrain(move, now);
  if (!move.Record.ended())
    return;
  move.Routes.clear();
  move.Drain.reset();
  for (const core::RouteId &route : move.Record.Routes) {
    auto open = OpenVersionMoves.find(route);
    if (open != OpenVersionMoves.end() && open->second == step.Id)
      OpenVersionMoves.erase(open);
  }
  EndedOutcomes.push_back(*outcome(step.Id));
  EndedMoves.push_back(step.Id);
  for (; EndedMoves.size() > MaxEndedMoves; EndedMoves.pop_front())
    Moves.erase(EndedMoves.front());
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
      record->Phase == MovePhase::Done ? MoveOutcome::Kind::Done : MoveOutcome::Kind::RolledBack;
  outcome.Reason = record->Reason;
  outcome.Detail = record->Detail;
  outcome.Elapsed = record->Elapsed;
  return outcome;
}

std::vector<MoveOutcome> MoveController::takeOutcomes() { return std::exchange(EndedOutcomes, {}); }

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
