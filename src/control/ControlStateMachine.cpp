#include "control/ControlStateMachine.h"

#include "core/Codec.h"

#include <utility>

namespace briarspar::control {

namespace {

using core::Json;

Json toJson(const ChangeItems &it) { return {"change", it.Change}; }

Json toJson(const StartRollout &it) { return {"start", it.Service, it.From, it.Target, it.Period}; }

Json toJson(const StepRollout &it) {
  return {"step",           it.Service, it.OrderedAt, static_cast<int>(it.State),
          it.SharePermille, it.Elapsed};
}

Json toJson(const SetEvacuation &it) { return {"evacuation", it.Domain, it.Active}; }

Json toJson(const SetEntry &it) { return {"entry", it.Vm, it.Present}; }

} // namespace

std::string encode(const Command &order) {
  return core::encodeCbor(std::visit([](const auto &it) { return toJson(it); }, order));
}

absl::StatusOr<Command> decodeCommand(std::string_view bytes) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes);
  if (!j.ok())
    return j.status();
  try {
    auto kind = j->at(0).get<std::string>();
    if (kind == "change")
      return Command(ChangeItems{j->at(1).get<catalog::Change>()});
    if (kind == "start")
      return Command(StartRollout{j->at(1).get<std::string>(), j->at(2).get<std::string>(),
                                  j->at(3).get<std::string>(), j->at(4).get<core::Duration>()});
    if (kind == "step")
      return Command(StepRollout{j->at(1).get<std::string>(), j->at(2).get<core::LogIndex>(),
                                 static_cast<catalog::RolloutState>(j->at(3).get<int>()),
                                 j->at(4).get<uint32_t>(), j->at(5).get<core::Duration>()});
    if (kind == "evacuation")
      return Command(SetEvacuation{j->at(1).get<core::DomainId>(), j->at(2).get<bool>()});
    if (kind == "entry")
      return Command(SetEntry{j->at(1).get<core::VmId>(), j->at(2).get<bool>()});
    return absl::InvalidArgumentError("the order is of an unknown kind");
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

std::string encodeOutcome(const absl::Status &status) {
  return core::encodeCbor({static_cast<int>(status.code()), std::string(status.message())});
}

absl::Status decodeOutcome(std::string_view bytes) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes);
  if (!j.ok())
    return j.status();
  try {
    return absl::Status(static_cast<absl::StatusCode>(j->at(0).get<int>()),
                        j->at(1).get<std::string>());
  } catch (const nlohmann::json::exception &e) {
    return absl::InternalError(e.what());
  }
}

std::string ControlStateMachine::apply(core::LogIndex index, std::string_view command) {
  absl::StatusOr<Command> order = decodeCommand(command);
  return encodeOutcome(order.ok() ? applyCommand(index, *order) : order.status());
}

absl::Status ControlStateMachine::applyCommand(core::LogIndex index, const Command &order) {
  if (const auto *it = std::get_if<ChangeItems>(&order))
    return Catalog.apply(it->Change, index);
  if (const auto *it = std::get_if<StartRollout>(&order))
    return Catalog.startRollout(it->Service, it->From, it->Target, it->Period, index);
  if (const auto *it = std::get_if<StepRollout>(&order)) {
    Catalog.stepRollout(it->Service, it->OrderedAt, it->State, it->SharePermille, it->Elapsed,
                        index);
    return absl::OkStatus();
  }
  if (const auto *it = std::get_if<SetEntry>(&order)) {
    if (it->Present)
      Entries.insert(it->Vm);
    else
      Entries.erase(it->Vm);
    return absl::OkStatus();
  }
  const auto &it = std::get<SetEvacuation>(order);
  Catalog.setEvacuation(it.Domain.Value, it.Active, index);
  return absl::OkStatus();
}

std::string ControlStateMachine::snapshot() const {
  return core::encodeCbor(
      {{"catalog", Catalog.deltaSince(core::LogIndex())}, {"entries", Entries}});
}

absl::Status ControlStateMachine::restore(std::string_view snapshot) {
  absl::StatusOr<Json> j = core::decodeCbor(snapshot, {SIZE_MAX, 32});
  if (!j.ok())
    return j.status();
  try {
    auto entries = j->at("entries").get<std::set<core::VmId>>();
    catalog::Catalog fresh;
    if (absl::Status status = fresh.applyDelta(j->at("catalog")); !status.ok())
      return status;
    Catalog = std::move(fresh);
    Entries = std::move(entries);
    return absl::OkStatus();
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

} // namespace briarspar::control
