#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::moves {

/// Shares are in parts per 10,000.
using BasisPoints = uint32_t;
constexpr BasisPoints FullShare = 10'000;

enum class MoveKind : uint8_t { Shift, Drain, Version };
enum class DrainScope : uint8_t { Target, Vm, Domain, Region };

/// What a move does at present. Done and RolledBack are final.
enum class MovePhase : uint8_t {
  Moving,    ///< The share rises.
  Draining,  ///< No new work is assigned; work in flight ends by itself.
  Returning, ///< A shift gives its callers back under the cap; ends as RolledBack.
  Done,
  RolledBack
};

/// Why a move ended, or why it returns.
enum class MoveReason : uint8_t {
  None,
  Completed,
  ErrorsWorse,
  LatencyWorse,
  CrashesWorse,
  MeasurementsStopped,
  DeadlinePassed,
  Cancelled,
  RegionFailed
};

std::string_view reasonName(MoveReason reason);

/// The durable state of a move. It changes only through applyStep, in the order of the log. It
/// holds no clock reading: clocks of two leaders are not comparable, so it stores the time that the
/// move had taken at its last step, and a new leader counts on from there.
struct MoveRecord {
  core::MoveId Id;
  MoveKind Kind = MoveKind::Shift;
  core::Duration Limit{0}; ///< Time by which the move must be done.

  core::RegionId From;                   ///< Shift.
  core::RegionId To;                     ///< Shift.
  BasisPoints Goal = FullShare;          ///< Shift: part of From's callers to move.
  DrainScope Scope = DrainScope::Target; ///< Drain.
  std::string Name;                      ///< Drain: the id within the scope.
  core::VersionId OldVersion;            ///< Version.
  core::VersionId NewVersion;            ///< Version.
  std::vector<core::RouteId> Routes;     ///< Version: one bad route takes the move back.

  bool CancelRequested =
      false;            ///< Set by the operator's command; the controller takes the move back.
  uint64_t Version = 0; ///< Number of committed steps.
  MovePhase Phase = MovePhase::Moving;
  BasisPoints Share = 0;     ///< Share in force or coming into force.
  uint32_t RequestLimit = 0; ///< Version: most requests per second to the new version; 0: no limit.
  core::Duration Elapsed{0}; ///< Time taken at the last committed step.
  core::Duration PhaseStart{0}; ///< Value of Elapsed when the phase or the share last changed.
  MoveReason Reason = MoveReason::None;
  std::string Detail;

  bool ended() const { return Phase == MovePhase::Done || Phase == MovePhase::RolledBack; }
};

enum class StepKind : uint8_t {
  SetShare,    ///< Sets the share and the request limit.
  BeginDrain,  ///< Stops new work.
  Checkpoint,  ///< Records only the elapsed time.
  BeginReturn, ///< Starts giving callers back.
  Finish,      ///< Ends as Done.
  RollBack     ///< Ends as RolledBack; the share becomes the step's share.
};

/// One command to commit. It takes effect only on the move version that it expects, so a step that
/// is committed twice, or by two leaders, has one effect.
struct MoveStep {
  core::MoveId Id;
  uint64_t Expected = 0;
  StepKind Kind = StepKind::Checkpoint;
  BasisPoints Share = 0;
  uint32_t RequestLimit = 0;
  core::Duration Elapsed{0};
  MoveReason Reason = MoveReason::None;
  std::string Detail;
};

/// Applies a committed step. Returns false, and changes nothing, if the step is for another version
/// or the move has ended. Deterministic; every replica calls it.
bool applyStep(MoveRecord &record, const MoveStep &step);

bool operator==(const MoveStep &a, const MoveStep &b);

/// The end of a move as reported to operators.
struct MoveOutcome {
  enum class Kind : uint8_t { Done, RolledBack };

  core::MoveId Id;
  Kind End = Kind::Done;
  MoveReason Reason = MoveReason::None;
  std::string Detail;
  core::Duration Elapsed{0};
};

void to_json(core::Json &j, const MoveRecord &record);
void from_json(const core::Json &j, MoveRecord &record);
void to_json(core::Json &j, const MoveStep &step);
void from_json(const core::Json &j, MoveStep &step);

} // namespace briarspar::moves
