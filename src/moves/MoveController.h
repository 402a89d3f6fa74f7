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

  /// Matched intervals are evaluated together at this period.
  core::Duration EvaluationInterval{1'000};
  /// After this time a return ends and the remaining share stays.
  core::Duration MaxReturnDuration{1'800'000};
  /// Interval at which an uncommitted step is emitted again.
  core::Duration StepRetryInterval{1'000};
  /// Upper bound on the elapsed time lost at a change of leader.
  core::Duration CheckpointInterval{10'000};
  core::Duration Propagation{3'000}; ///< Delay from commit until a step is in force on all VMs.

  /// Shares of a version move. The old version keeps part of the traffic until the end, as the
  /// baseline of the comparison.
  std::vector<BasisPoints> VersionShares{200, 500, 1'000, 2'500, 5'000, 9'000};
  uint32_t FirstRequestLimit = 50;    ///< Requests/s to the new version at the first share.
  uint32_t MinRequestsPerStep = 100;  ///< Compared requests per route before a share is raised.
  uint32_t ObservationPermille = 300; ///< Part of the time limit spent observing the last share.
  uint32_t SlackPermille = 100;       ///< Part of the time limit reserved for delays.
  core::Duration MinDwell{8'000};     ///< Minimum time at a share once it is in force.
  /// Wider tolerances apply for this long after a share is raised.
  core::Duration ColdStartPeriod{15'000};
  core::Duration PairTimeout{5'000}; ///< Timeout for the other version's report of an interval.
  /// A version move is rolled back after this long without matched reports.
  core::Duration MaxStatsAge{30'000};
};

/// Executes all moves at the leader. Every state change is a step that the owner commits through
/// the replicated log and passes to committed(). No record changes before that, so a new leader can
/// resume from the committed records without repeating a step. Not thread-safe; used on the control
/// thread.
class MoveController {
public:
  explicit MoveController(const MoveSettings &settings = {});

  /// Starts executing a committed move. A known id is ignored. A move that conflicts with an open
  /// move of the same region or route, or that is malformed, is rolled back at once.
  void start(const MoveRecord &record, core::Time now);
  /// Sets the VMs that may assign work or have work in flight; drains wait for each of them.
  void setVms(absl::Span<const core::VmId> vms);
  void cancel(const core::MoveId &id, core::Time now);

  /// Returns the steps to commit. Call it every 100 to 1,000 ms.
  std::vector<MoveStep> tick(core::Time now);
  /// Must be called for every committed step of any leader, in log order. A step for another
  /// version of the record has no effect, as in every replica.
  void committed(const MoveStep &step, core::Time now);
  /// Replaces all state with the committed records. Call it when this process becomes leader.
  void becomeLeader(absl::Span<const MoveRecord> records, core::Time now);

  void observe(const VersionStats &stats, core::Time now);
  void observe(const InFlightReport &report, core::Time now);
  void observe(const RegionLoad &load, core::Time now);
  void vmExpired(const core::VmId &vm, core::Time now);
  /// Returns the forced shares of a failed region; see ShiftBudget::failRegion. Call it repeatedly
  /// while the region is down, so that shifts started in the meantime are rolled back too.
  std::vector<ForcedShare> regionFailed(const core::RegionId &region, core::Time now);
  /// Restores the committed forced shares of a region; see
  /// ShiftBudget::setForcedShares.
  void setForcedShares(const core::RegionId &region, std::vector<ForcedShare> forced, uint64_t load,
                       bool down = true);
  /// Returns one step of the forced callers of a recovered region; see
  /// ShiftBudget::returnForcedShares.
  std::vector<ForcedShare> returnForcedShares(const core::RegionId &region, core::Time now);
  /// Must be called when the step of returnForcedShares() was committed; see
  /// ShiftBudget::commitReturn.
  void forcedReturnCommitted(const core::RegionId &region, core::Time now);
  void setCap(const core::RegionId &region, const ShiftCap &cap);

  const MoveRecord *find(const core::MoveId &id) const;
  std::optional<MoveOutcome> outcome(const core::MoveId &id) const;
  /// Returns the moves that ended since the last call, for notifications.
  std::vector<MoveOutcome> takeOutcomes();
  const ShiftBudget &budget() const { return Budget; }

  /// Encodes the records as CBOR, and restores them. restore() implies becomeLeader().
  std::string snapshot() const;
  absl::Status restore(std::string_view bytes, core::Time now);

private:
  struct Route;
  struct PendingStep;
  struct Active;

  Active &activate(const MoveRecord &record, core::Time now);
  bool conflicts(const MoveRecord &record) const;
  void startTests(Active &move, core::Time now) const;
  void beginDrain(Active &move, core::Time now) const;
  void evaluate(Active &move, core::Time now);
  std::optional<MoveStep> nextStep(Active &move, core::Time now);
  std::optional<MoveStep> nextShiftStep(Active &move, core::Time now);
  std::optional<MoveStep> nextReturnStep(Active &move, core::Time now);
  std::optional<MoveStep> nextDrainStep(Active &move, core::Time now);
  std::optional<MoveStep> nextVersionStep(Active &move, core::Time now);
  std::optional<MoveStep> shareStepUnderBudget(Active &move, BasisPoints goal, core::Time now);
  std::optional<MoveStep> endingStep(Active &move, core::Time now) const;
  MoveReason reasonToEnd(const Active &move, core::Time now) const;
  bool mayRaise(const Active &move, core::Duration dwell, core::Time now) const;
  core::Duration dwellOf(const MoveRecord &record) const;
  void chargeBudget(Active &move, const MoveStep &step, BasisPoints before, core::Time now);
  void refreshFullLoad(Active &move, core::Time now);

  MoveSettings Settings;
  ShiftBudget Budget;
  std::vector<core::VmId> Vms;
  std::map<core::MoveId, std::shared_ptr<Active>> Moves;
  std::map<core::RouteId, core::MoveId> OpenVersionMoves; // Unfinished version move of each route.
  std::deque<core::MoveId> EndedMoves;
  std::vector<MoveOutcome> EndedOutcomes;
};

} // namespace briarspar::moves
