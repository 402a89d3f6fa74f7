#pragma once

#include "absl/status/status.h"
#include "agreement/StateMachine.h"
#include "balance/CrashGuard.h"
#include "config/ConfigStore.h"
#include "idempotency/ClaimTable.h"
#include "moves/MoveRecord.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarspar::daemon {

/// One command of the agreement group's log.
struct LogCommand {
  /// Log time in ms: the accumulated time during which the group had a leader. A leader advances
  /// the last applied log time by its own monotonic clock, so wall clock errors cannot make claims
  /// expire early.
  core::Time Time;
  std::variant<config::Command, idempotency::ClaimCommand, moves::MoveStep, balance::CrashReport>
      Payload;
};

std::string encode(const LogCommand &command);
absl::StatusOr<LogCommand> decodeLogCommand(std::string_view bytes);

/// The replicated state of the group: configuration, claims, moves and crashes. Deterministic: all
/// voters have the same state after the same commands. Not thread-safe; used on the control thread.
class GroupStateMachine final : public agreement::StateMachine {
public:
  std::string apply(core::LogIndex index, std::string_view command) override;
  std::string snapshot() const override;
  absl::Status restore(std::string_view snapshot) override;

  const config::ConfigStore &config() const { return Config; }
  const idempotency::ClaimTable &claims() const { return Claims; }
  const std::map<core::MoveId, moves::MoveRecord> &moves() const { return Moves; }

  /// Latest applied log time.
  core::Time logTime() const { return std::max(LogTime, CrashTime); }

  /// Returns the crashes committed so far, with their ages at logTime().
  balance::CrashReport crashes() const { return Crashes.report(logTime()); }

  /// Changes whenever crashes are committed or restored.
  uint64_t crashChanges() const { return CrashChanges; }

  /// Returns the steps committed since the last call, rejected ones included, for the move
  /// controller of the leader.
  std::vector<moves::MoveStep> takeCommittedSteps();

private:
  std::string applyConfig(const config::Command &command);
  std::string applyStep(const moves::MoveStep &step);
  void openMove(const config::Command &command, const config::Outcome &outcome);
  void mirrorToConfig(const moves::MoveRecord &record);

  config::ConfigStore Config;
  idempotency::ClaimTable Claims;
  std::map<core::MoveId, moves::MoveRecord> Moves;
  std::vector<moves::MoveStep> Committed;
  balance::CrashGuard Crashes{0};
  uint64_t CrashChanges = 0;
  core::Time LogTime;
  /// Log time of the last crash report. Apart from LogTime, by which claims expire, because voters
  /// of the version before skip crash reports.
  core::Time CrashTime;
  uint64_t MirrorCount = 0; ///< Makes the ids of the mirroring commands unique.
};

} // namespace briarspar::daemon
