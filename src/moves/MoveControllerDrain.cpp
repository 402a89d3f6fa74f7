#include "moves/MoveControllerState.h"

namespace briarspar::moves {

void MoveController::beginDrain(Active &move, core::Time now) const {
  DrainSettings drain = Settings.Drain;
  if (move.Record.Scope != DrainScope::Target)
    drain.LookupTtl = Settings.Budget.Ttl;
  move.Drain.emplace(drain, Vms, now);
}

std::optional<MoveStep> MoveController::nextDrainStep(Active &move, core::Time now) {
  if (move.Record.Phase == MovePhase::Moving) {
    if (isRegionDrain(move.Record) && move.Record.Share < FullShare)
      return shareStepUnderBudget(move, FullShare, now);
    return move.step(StepKind::BeginDrain, now);
  }
  if (!move.Drain || !move.Drain->drained(now))
    return std::nullopt;
  MoveStep step = move.step(StepKind::Finish, now);
  step.Reason = MoveReason::Completed;
  return step;
}

void MoveController::observe(const InFlightReport &report, core::Time now) {
  auto it = Moves.find(report.Move);
  if (it != Moves.end() && it->second->Drain)
    it->second->Drain->report(report, now);
}

void MoveController::vmExpired(const core::VmId &vm, core::Time now) {
  for (auto &[id, move] : Moves)
    if (move->Drain)
      move->Drain->vmExpired(vm, now);
}

} // namespace briarspar::moves
