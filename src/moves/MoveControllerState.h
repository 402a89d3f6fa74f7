#pragma once

#include "moves/MoveController.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// State of the MoveController that its files share: MoveController.cpp has what all moves have in
/// common, and MoveControllerShift.cpp, MoveControllerDrain.cpp and MoveControllerVersion.cpp the
/// steps of one kind of move.
namespace briarspar::moves {

/// True for a drain that first shifts the callers of a region away.
bool isRegionDrain(const MoveRecord &record);

/// The region whose callers the move shifts, and whose cap it uses.
core::RegionId cappedRegion(const MoveRecord &record);

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

} // namespace briarspar::moves
