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

/// Phase of a move. Done and RolledBack are final; operators see RolledBack as "taken-back".
enum class MovePhase : uint8_t {
  Moving,    ///< The share is being raised.
  Draining,  ///< No new work is assigned; work in flight runs to completion.
  Returning, ///< A shift returns its callers under the cap; ends as RolledBack.
  Done,
  RolledBack
};

/// Why a move ended or is returning.
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

/// The replicated state of a move. It changes only through applyStep, in log order. It contains no
/// timestamp, because the clocks of two leaders are not comparable. It stores the elapsed time at
/// the last step instead, and a new leader continues from that value.
struct MoveRecord {
  core::MoveId Id;
  MoveKind Kind = MoveKind::Shift;
  core::Duration Limit{0}; ///< Time limit of the move.

  core::RegionId From;                   ///< Shift.
  core::RegionId To;                     ///< Shift.
  BasisPoints Goal = FullShare;          ///< Shift: final share of From's callers.
  DrainScope Scope = DrainScope::Target; ///< Drain.
  std::string Name;                      ///< Drain: id of the drained object.
  core::VersionId OldVersion;            ///< Version.
  core::VersionId NewVersion;            ///< Version.
  std::vector<core::RouteId> Routes; ///< Version: a regression on any route rolls the move back.

  /// Set by the operator's command; the controller rolls the move back.
  bool CancelRequested = false;
  uint64_t Version = 0; ///< Number of committed steps.
  MovePhase Phase = MovePhase::Moving;
  BasisPoints Share = 0;        ///< Last committed share; it may still be propagating.
  uint32_t RequestLimit = 0;    ///< Version: maximum requests/s to the new version; 0: no limit.
  core::Duration Elapsed{0};    ///< Elapsed time at the last committed step.
  core::Duration PhaseStart{0}; ///< Value of Elapsed when the phase or the share last changed.
  MoveReason Reason = MoveReason::None;
  std::string Detail;

  bool ended() const { return Phase == MovePhase::Done || Phase == MovePhase::RolledBack; }
};

enum class StepKind : uint8_t {
  SetShare,    ///< Sets the share and the request limit.
  BeginDrain,  ///< Stops the assignment of new work.
  Checkpoint,  ///< Records only the elapsed time.
  BeginReturn, ///< Starts to return the callers.
  Finish,      ///< Ends as Done.
  RollBack     ///< Ends as RolledBack; the share becomes the step's share.
};

/// A command to commit. It takes effect only if the record has the version `Expected`, so a step
/// that is committed twice, or by two leaders, is applied once.
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

/// Applies a committed step. Returns false and changes nothing if the step expects another version,
/// is not allowed in the current phase, or the move has ended. Deterministic; called on every
/// replica.
bool applyStep(MoveRecord &record, const MoveStep &step);

bool operator==(const MoveStep &a, const MoveStep &b);

/// Result of a move as reported to operators.
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
