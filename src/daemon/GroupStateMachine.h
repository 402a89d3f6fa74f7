#pragma once

#include "absl/status/status.h"
#include "agreement/StateMachine.h"
#include "config/ConfigStore.h"
#include "idempotency/ClaimTable.h"
#include "moves/MoveRecord.h"

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarspar::daemon {

/// One command of the agreement group's log.
struct LogCommand {
  /// Log time: the time that leaders have spent leading, in ms. A leader continues from the last
  /// applied log time with its own monotonic clock, so no wall clock can make claims expire early.
  core::Time Time;
  std::variant<config::Command, idempotency::ClaimCommand, moves::MoveStep> Payload;
};

std::string encode(const LogCommand &command);
absl::StatusOr<LogCommand> decodeLogCommand(std::string_view bytes);

/// The replicated state of the group: configuration, claims and moves. It is the same on every
/// voter after the same commands. Not thread-safe; used on the control thread.
class GroupStateMachine final : public agreement::StateMachine {
public:
  std::string apply(core::LogIndex index, std::string_view command) override;
  std::string snapshot() const override;
  absl::Status restore(std::string_view snapshot) override;

  const config::ConfigStore &config() const { return Config; }
  const idempotency::ClaimTable &claims() const { return Claims; }
  const std::map<core::MoveId, moves::MoveRecord> &moves() const { return Moves; }

  /// Latest applied log time.
  core::Time logTime() const { return LogTime; }

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
  core::Time LogTime;
  uint64_t MirrorCount = 0; ///< Numbers the configuration commands that mirror steps.
};

} // namespace briarspar::daemon
