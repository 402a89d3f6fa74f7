#include "moves/MoveControllerState.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace briarspar::moves {

namespace {

// Bounds the load extrapolated for a region when almost all its callers have been shifted away.
constexpr BasisPoints MaxShareForLoadEstimate = 9'000;

} // namespace

bool isRegionDrain(const MoveRecord &record) {
  return record.Kind == MoveKind::Drain && record.Scope == DrainScope::Region;
}

core::RegionId cappedRegion(const MoveRecord &record) {
  return record.Kind == MoveKind::Shift ? record.From : core::RegionId(record.Name);
}

void MoveController::refreshFullLoad(Active &move, core::Time now) {
  if (move.Record.Share > MaxShareForLoadEstimate && move.FullLoad != 0)
    return;
  BasisPoints share = std::min(move.Record.Share, MaxShareForLoadEstimate);
  if (std::optional<uint64_t> load = Budget.loadOf(cappedRegion(move.Record), now))
    move.FullLoad = *load * FullShare / (FullShare - share);
}

std::optional<MoveStep> MoveController::shareStepUnderBudget(Active &move, BasisPoints goal,
                                                             core::Time now) {
  const MoveRecord &record = move.Record;
  bool rising = goal > record.Share;
  BasisPoints distance = rising ? goal - record.Share : record.Share - goal;
  core::RegionId capped = cappedRegion(record);
  // The load added to the destination cannot be computed without the load of the source.
  if (!Budget.loadOf(capped, now))
    return std::nullopt;
  core::RegionId destination = rising ? record.To : capped;
  std::optional<BudgetLease> lease =
      Budget.lease(capped, destination, distance, move.FullLoad, now);
  if (!lease)
    return std::nullopt;
  MoveStep step = move.step(StepKind::SetShare, now);
  step.Share = rising ? record.Share + lease->Share : record.Share - lease->Share;
  move.Pending.push_back({step, now, lease->Id});
  return step;
}

std::optional<MoveStep> MoveController::nextShiftStep(Active &move, core::Time now) {
  if (move.Record.Share < move.Record.Goal)
    return shareStepUnderBudget(move, move.Record.Goal, now);
  // Done requires that no caller uses an older lookup any more.
  if (now - move.ShareSince < Settings.Propagation + Settings.Budget.Ttl)
    return std::nullopt;
  MoveStep step = move.step(StepKind::Finish, now);
  step.Reason = MoveReason::Completed;
  return step;
}

std::optional<MoveStep> MoveController::nextReturnStep(Active &move, core::Time now) {
  bool overdue = move.elapsed(now) - move.Record.PhaseStart > Settings.MaxReturnDuration;
  if (move.Record.Share > 0 && !overdue)
    return shareStepUnderBudget(move, 0, now);
  MoveStep step = move.step(StepKind::RollBack, now);
  step.Reason = move.Record.Reason;
  step.Detail = move.Record.Detail;
  if (move.Record.Share > 0)
    step.Detail = absl::StrCat(step.Detail, "; a share of ", move.Record.Share, " of ", FullShare,
                               " was not returned");
  return step;
}

void MoveController::observe(const RegionLoad &load, core::Time now) {
  if (!load.Up && Budget.isUp(load.Region)) {
    regionFailed(load.Region, now);
    return;
  }
  Budget.observe(load, now);
}

std::vector<ForcedShare> MoveController::regionFailed(const core::RegionId &region,
                                                      core::Time now) {
  for (auto &[id, move] : Moves) {
    const MoveRecord &record = move->Record;
    if (record.ended() || record.Kind != MoveKind::Shift || move->ShareAfterFailure)
      continue;
    move->SourceFailed = move->SourceFailed || record.From == region;
    if (record.To != region || move->SourceFailed)
      continue;
    // Shifted callers return at once, up to the headroom of their source region.
    refreshFullLoad(*move, now);
    uint64_t headroom = Budget.headroom(record.From, now);
    uint64_t returnable = move->FullLoad == 0 ? 0 : headroom * FullShare / move->FullLoad;
    auto returned = static_cast<BasisPoints>(std::min<uint64_t>(record.Share, returnable));
    move->ShareAfterFailure = record.Share - returned;
    Budget.charge(record.From, record.From, returned, move->FullLoad, now);
  }
  return Budget.failRegion(region, now);
}

void MoveController::setCap(const core::RegionId &region, const ShiftCap &cap) {
  Budget.setCap(region, cap);
}

void MoveController::setForcedShares(const core::RegionId &region, std::vector<ForcedShare> forced,
                                     uint64_t load, bool down) {
  Budget.setForcedShares(region, std::move(forced), load, down);
}

void MoveController::forcedReturnCommitted(const core::RegionId &region, core::Time now) {
  Budget.commitReturn(region, now);
}

std::vector<ForcedShare> MoveController::returnForcedShares(const core::RegionId &region,
                                                            core::Time now) {
  return Budget.returnForcedShares(region, now);
}

} // namespace briarspar::moves
