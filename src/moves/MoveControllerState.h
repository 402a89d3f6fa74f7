#pragma once

#include "moves/MoveController.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Private types of MoveController. MoveController.cpp implements what all moves have in common;
/// MoveControllerShift.cpp, MoveControllerDrain.cpp and MoveControllerVersion.cpp each implement
/// one kind of move.
namespace briarspar::moves {

/// True for a drain that first shifts the callers of a region away.
bool isRegionDrain(const MoveRecord &record);

/// Returns the region whose callers are shifted and whose cap applies.
core::RegionId cappedRegion(const MoveRecord &record);

/// A step that was emitted but is not known to be committed.
struct MoveController::PendingStep {
  MoveStep Step;
  core::Time EmittedAt;
  uint64_t Lease = 0; ///< Id of its BudgetLease; 0: none.
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
  RequestCounts OldSum; ///< Matched intervals since the last evaluation.
  RequestCounts NewSum;
  bool HasPair = false;
  core::Time LastPairAt;
  core::Time LastEvaluatedAt;
  uint64_t RequestsAtShare = 0; ///< Value of Test.newRequests() when the share was last raised.
};

/// A move with its volatile state at the leader.
struct MoveController::Active {
  MoveRecord Record;
  core::Time ElapsedBaseAt; ///< Time at which the elapsed time was ElapsedBase.
  core::Duration ElapsedBase;
  core::Time ShareSince; ///< Time of the last change of share seen by this leader.
  std::vector<PendingStep> Pending;
  std::optional<DrainTracker> Drain;
  std::map<core::RouteId, Route> Routes;
  std::string RejectionDetail; ///< Not empty: the move is rolled back with this detail.
  /// Set when the destination failed: the share that remains.
  std::optional<BasisPoints> ShareAfterFailure;
  bool SourceFailed = false;
  uint64_t FullLoad = 0; ///< Requests per second of all callers of the shifted region.

  core::Duration elapsed(core::Time now) const { return ElapsedBase + (now - ElapsedBaseAt); }

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

} // namespace briarspar::moves
