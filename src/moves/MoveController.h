#pragma once

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "moves/DrainTracker.h"
#include "moves/MoveRecord.h"
#include "moves/SequentialTest.h"
#include "moves/ShiftBudget.h"
#include "moves/VersionStats.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::moves {

struct MoveSettings {
  ShiftBudgetSettings Budget;
  DrainSettings Drain;
  SequentialTestSettings Test;

  core::Duration EvaluationInterval{
      1'000}; ///< Compared intervals are judged together once in this time.
  core::Duration MaxReturnDuration{
      1'800'000}; ///< Longest return of a shift; what is left then stays.
  core::Duration StepRetryInterval{
      1'000}; ///< A step that is not committed is emitted again after this.
  core::Duration CheckpointInterval{
      10'000};                       ///< Most elapsed time that a change of leader can lose.
  core::Duration Propagation{3'000}; ///< From commit until a step is in force everywhere.

  /// Shares of a version move. The old version keeps a part until the end, because it is the
  /// standard of comparison while the move is watched.
  std::vector<BasisPoints> VersionShares{200, 500, 1'000, 2'500, 5'000, 9'000};
  uint32_t FirstRequestLimit = 50;   ///< Requests per second to the new version at the first share.
  uint32_t MinRequestsPerStep = 100; ///< Compared requests per route before a share rises.
  uint32_t ObservationPermille = 300; ///< Part of the limit for which the last share is watched.
  uint32_t SlackPermille = 100;       ///< Part of the limit kept for delays.
  core::Duration MinDwell{8'000};     ///< Shortest time at a share, after it is in force.
  core::Duration ColdStartPeriod{15'000}; ///< After each rise: wider tolerances.
  core::Duration PairTimeout{
      5'000}; ///< Longest wait for the other version's report of an interval.
  core::Duration MaxStatsAge{
      30'000}; ///< Without comparable reports for this long a move goes back.
};

/// Drives all moves at the leader. Every change is a step that the owner commits through the log
/// and hands back with committed(); the controller changes nothing before that, so a new leader
/// that restores the records continues and repeats no step. Not thread-safe: the control thread
/// calls it.
class MoveController {
public:
  explicit MoveController(const MoveSettings &settings = {});

  /// Starts driving a committed move. A known id is ignored. `vms` are the VMs that may have work
  /// in flight on what is drained. A second open shift from a region is taken back at once.
  void start(const MoveRecord &record, core::Time now);
  /// The VMs that may assign work or have work in flight; drains wait for each of them.
  void setVms(absl::Span<const core::VmId> vms);
  void cancel(const core::MoveId &id, core::Time now);

  /// Returns the steps to commit. Call it every 100 to 1,000 ms.
  std::vector<MoveStep> tick(core::Time now);
  /// Must be called for every committed step of any leader, in the order of the log. Steps that the
  /// record does not expect have no effect here, as they have none in the other replicas.
  void committed(const MoveStep &step, core::Time now);
  /// Replaces all state by the committed records when this process becomes leader.
  void becomeLeader(absl::Span<const MoveRecord> records, core::Time now);

  void observe(const VersionStats &stats, core::Time now);
  void observe(const InFlightReport &report, core::Time now);
  void observe(const RegionLoad &load, core::Time now);
  void vmExpired(const core::VmId &vm, core::Time now);
  /// Returns where the callers of a failed region go; see ShiftBudget::failRegion. Call it again
  /// while the region is down, so that shifts which start meanwhile are taken back too.
  std::vector<ForcedShare> regionFailed(const core::RegionId &region, core::Time now);
  /// Restores the committed forced moves of a region that is down; see
  /// ShiftBudget::setForcedShares.
  void setForcedShares(const core::RegionId &region, std::vector<ForcedShare> forced, uint64_t load,
                       bool down = true);
  /// Gives back one step of the callers of a region that is up again; see
  /// ShiftBudget::returnForcedShares.
  std::vector<ForcedShare> returnForcedShares(const core::RegionId &region, core::Time now);
  /// The step that returnForcedShares() gave back was committed; see ShiftBudget::commitReturn.
  void forcedReturnCommitted(const core::RegionId &region, core::Time now);
  void setCap(const core::RegionId &region, const ShiftCap &cap);

  const MoveRecord *find(const core::MoveId &id) const;
  std::optional<MoveOutcome> outcome(const core::MoveId &id) const;
  /// Moves that ended since the last call, for notifications.
  std::vector<MoveOutcome> takeOutcomes();
  const ShiftBudget &budget() const { return Budget; }

  /// The records as CBOR, and back. restore() implies becomeLeader().
  std::string snapshot() const;
  absl::Status restore(std::string_view bytes, core::Time now);

private:
  struct Route;
  struct PendingStep;
  struct Active;

  Active &activate(const MoveRecord &record, core::Time now);
  bool conflicts(const MoveRecord &record) const;
  void openTests(Active &move, core::Time now) const;
  void beginDrain(Active &move, core::Time now) const;
  void judge(Active &move, core::Time now);
  std::optional<MoveStep> next(Active &move, core::Time now);
  std::optional<MoveStep> nextShift(Active &move, core::Time now);
  std::optional<MoveStep> nextReturn(Active &move, core::Time now);
  std::optional<MoveStep> nextDrain(Active &move, core::Time now);
  std::optional<MoveStep> nextVersion(Active &move, core::Time now);
  std::optional<MoveStep> shareUnderBudget(Active &move, BasisPoints goal, core::Time now);
  std::optional<MoveStep> ending(Active &move, core::Time now) const;
  MoveReason reasonToEnd(const Active &move, core::Time now) const;
  bool mayRaise(const Active &move, core::Duration dwell, core::Time now) const;
  core::Duration dwellOf(const MoveRecord &record) const;
  void chargeBudget(Active &move, const MoveStep &step, BasisPoints before, core::Time now);
  void refreshFullLoad(Active &move, core::Time now);

  MoveSettings Settings;
  ShiftBudget Budget;
  std::vector<core::VmId> Vms;
  std::map<core::MoveId, std::shared_ptr<Active>> Moves;
  std::map<core::RouteId, core::MoveId> OpenRoutes; // The open version move of each route.
  std::deque<core::MoveId> EndedOrder;
  std::vector<MoveOutcome> Ended;
};

} // namespace briarspar::moves
