#include "daemon/GroupStateMachine.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <type_traits>

namespace briarspar::daemon {

namespace {

using core::Json;

Json binary(const std::string &bytes) {
  return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::string bytesOf(const Json &j) {
  const auto &bytes = j.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

absl::StatusOr<LogCommand> readCommand(const Json &j) {
  LogCommand command;
  command.Time.Ms = j.at("at").get<int64_t>();
  if (j.contains("config")) {
    absl::StatusOr<config::Command> change = config::decodeCommand(bytesOf(j["config"]));
    if (!change.ok())
      return change.status();
    command.Payload = *std::move(change);
  } else if (j.contains("claim")) {
    absl::StatusOr<idempotency::ClaimCommand> claim =
        idempotency::decodeClaimCommand(bytesOf(j["claim"]));
    if (!claim.ok())
      return claim.status();
    command.Payload = *std::move(claim);
  } else if (j.contains("crashes")) {
    absl::StatusOr<balance::CrashReport> crashes =
        balance::decodeCrashReport(bytesOf(j["crashes"]));
    if (!crashes.ok())
      return crashes.status();
    command.Payload = *std::move(crashes);
  } else {
    command.Payload = j.at("step").get<moves::MoveStep>();
  }
  return command;
}

moves::BasisPoints basisPoints(uint32_t permille) { return permille * 10; }

moves::DrainScope scopeOf(config::DrainKind kind) {
  switch (kind) {
  case config::DrainKind::Target:
    return moves::DrainScope::Target;
  case config::DrainKind::Vm:
    return moves::DrainScope::Vm;
  case config::DrainKind::Domain:
    return moves::DrainScope::Domain;
  case config::DrainKind::Region:
    return moves::DrainScope::Region;
  }
  return moves::DrainScope::Target;
}

config::MoveState stateOf(const moves::MoveRecord &record) {
  switch (record.Phase) {
  case moves::MovePhase::Moving:
  case moves::MovePhase::Draining:
    return config::MoveState::Running;
  case moves::MovePhase::Returning:
    return config::MoveState::RollingBack;
  case moves::MovePhase::Done:
    return config::MoveState::Done;
  case moves::MovePhase::RolledBack:
    return config::MoveState::RolledBack;
  }
  return config::MoveState::Running;
}

/// Time limit of a drain or move for which the operator sets none.
constexpr core::Duration DefaultMoveLimit = core::Duration::seconds(3600);

core::Duration limitOrDefault(core::Duration limit) {
  return limit.Ms > 0 ? limit : DefaultMoveLimit;
}

} // namespace

std::string encode(const LogCommand &command) {
  Json j = {{"at", command.Time.Ms}};
  if (const auto *change = std::get_if<config::Command>(&command.Payload))
    j["config"] = binary(config::encode(*change));
  else if (const auto *claim = std::get_if<idempotency::ClaimCommand>(&command.Payload))
    j["claim"] = binary(idempotency::encode(*claim));
  else if (const auto *crashes = std::get_if<balance::CrashReport>(&command.Payload))
    j["crashes"] = binary(balance::encode(*crashes));
  else
    j["step"] = std::get<moves::MoveStep>(command.Payload);
  return core::encodeCbor(j);
}

absl::StatusOr<LogCommand> decodeLogCommand(std::string_view bytes) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes);
  if (!j.ok())
    return j.status();
  try {
    return readCommand(*j);
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

std::string GroupStateMachine::apply(core::LogIndex index, std::string_view bytes) {
  absl::StatusOr<LogCommand> command = decodeLogCommand(bytes);
  // Decoding is deterministic: the same bytes are rejected on every replica.
  if (!command.ok())
    return "";
  if (const auto *crashes = std::get_if<balance::CrashReport>(&command->Payload)) {
    CrashTime = std::max(CrashTime, command->Time);
    Crashes.merge(*crashes, CrashTime);
    ++CrashChanges;
    return "";
  }
  LogTime = std::max(LogTime, command->Time);
  if (auto *change = std::get_if<config::Command>(&command->Payload)) {
    change->ProposedAt = LogTime;
    return applyConfig(*change);
  }
  if (const auto *claim = std::get_if<idempotency::ClaimCommand>(&command->Payload))
    return idempotency::encode(Claims.apply(*claim, LogTime));
  return applyStep(std::get<moves::MoveStep>(command->Payload));
}

std::string GroupStateMachine::applyConfig(const config::Command &command) {
  config::Outcome outcome = Config.apply(command);
  if (outcome.Status == config::Outcome::Accepted && !outcome.Replayed)
    openMove(command, outcome);
  return config::encode(outcome);
}

void GroupStateMachine::openMove(const config::Command &command, const config::Outcome &outcome) {
  moves::MoveRecord record;
  record.Id = core::MoveId(outcome.Subject);
  if (const auto *drain = std::get_if<config::StartDrain>(&command.RequestedChange)) {
    record.Kind = moves::MoveKind::Drain;
    record.Scope = scopeOf(drain->Kind);
    record.Name = drain->Name;
    record.Limit = limitOrDefault(drain->TimeLimit);
  } else if (const auto *shift = std::get_if<config::StartShift>(&command.RequestedChange)) {
    record.Kind = moves::MoveKind::Shift;
    record.From = core::RegionId(shift->From);
    record.To = core::RegionId(shift->To);
    record.Goal = basisPoints(shift->Permille);
    record.Limit = limitOrDefault(shift->TimeLimit);
  } else if (const auto *move = std::get_if<config::StartMove>(&command.RequestedChange)) {
    const config::MoveRecord *stored = config::find(Config.records().Moves, record.Id);
    if (stored == nullptr)
      return;
    record.Kind = moves::MoveKind::Version;
    record.OldVersion = stored->From;
    record.NewVersion = stored->To;
    record.Routes = {move->Route};
    record.Limit = limitOrDefault(move->TimeLimit);
  } else {
    return;
  }
  Moves[record.Id] = record;
}

std::string GroupStateMachine::applyStep(const moves::MoveStep &step) {
  // Rejected steps are reported too, so that the controller does not wait for them.
  Committed.push_back(step);
  auto it = Moves.find(step.Id);
  if (it == Moves.end() || !moves::applyStep(it->second, step))
    return "";
  if (step.Kind != moves::StepKind::Checkpoint)
    mirrorToConfig(it->second);
  return "applied";
}

void GroupStateMachine::mirrorToConfig(const moves::MoveRecord &record) {
  config::Command command;
  command.Id = absl::StrCat("step-", ++MirrorCount);
  command.Operator = "move-controller";
  command.ProposedAt = LogTime;
  std::string reason(moves::reasonName(record.Reason));
  if (record.Kind == moves::MoveKind::Version) {
    config::UpdateMove update;
    update.Id = record.Id;
    update.State = stateOf(record);
    update.Reason = reason;
    update.SharePermille = record.Share / 10;
    command.RequestedChange = update;
  } else if (record.Kind == moves::MoveKind::Shift) {
    config::UpdateShift update;
    update.Id = record.Id;
    update.State = stateOf(record);
    update.Reason = reason;
    update.ShiftedPermille = record.Share / 10;
    command.RequestedChange = update;
  } else {
    config::UpdateDrain update;
    update.Id = config::DrainId(record.Id.Value);
    update.State = record.ended() ? config::DrainState::Done : config::DrainState::Running;
    update.Reason = reason;
    command.RequestedChange = update;
  }
  Config.apply(command);
}

std::vector<moves::MoveStep> GroupStateMachine::takeCommittedSteps() {
  return std::exchange(Committed, {});
}

std::string GroupStateMachine::snapshot() const {
  Json moves = Json::array();
  for (const auto &[id, record] : Moves)
    moves.push_back(record);
  Json j = {{"log_time", LogTime.Ms}, {"mirror_count", MirrorCount}, {"moves", moves}};
  j["config"] = binary(Config.snapshot());
  j["claims"] = binary(Claims.snapshot());
  j["crash_time"] = CrashTime.Ms;
  j["crashes"] = binary(balance::encode(Crashes.report(CrashTime)));
  return core::encodeCbor(j);
}

absl::Status GroupStateMachine::restore(std::string_view bytes) {
  // Snapshots are written by this class and may exceed the size limit of a message.
  core::CodecLimits limits;
  limits.MaxBytes = size_t{1} << 30;
  absl::StatusOr<Json> j = core::decodeCbor(bytes, limits);
  if (!j.ok())
    return j.status();
  try {
    std::map<core::MoveId, moves::MoveRecord> moves;
    for (const Json &it : j->at("moves")) {
      auto record = it.get<moves::MoveRecord>();
      moves[record.Id] = record;
    }
    absl::Status status = Config.restore(bytesOf(j->at("config")));
    if (status.ok())
      status = Claims.restore(bytesOf(j->at("claims")));
    if (!status.ok())
      return status;
    Moves = std::move(moves);
    LogTime.Ms = j->at("log_time").get<int64_t>();
    MirrorCount = j->at("mirror_count").get<uint64_t>();
    // Snapshots of earlier versions contain no crashes.
    if (j->contains("crashes")) {
      absl::StatusOr<balance::CrashReport> crashes =
          balance::decodeCrashReport(bytesOf(j->at("crashes")));
      if (!crashes.ok())
        return crashes.status();
      CrashTime.Ms = j->at("crash_time").get<int64_t>();
      Crashes.merge(*crashes, CrashTime);
      ++CrashChanges;
    }
  } catch (const nlohmann::json::exception &e) {
    return absl::DataLossError(e.what());
  }
  return absl::OkStatus();
}

} // namespace briarspar::daemon
