#include "config/Encoding.h"
#include "config/Text.h"

#include "core/Hash.h"

namespace briarspar::config {

using core::Json;

namespace {

template <size_t N = 0>
absl::Status readAlternative(size_t index, const Json &j, AnyRecord &record) {
  if constexpr (N < std::variant_size_v<AnyRecord>) {
    if (index == N)
      return readFields(j, record.emplace<N>());
    return readAlternative<N + 1>(index, j, record);
  } else {
    return absl::InvalidArgumentError("unknown kind of record");
  }
}

template <size_t N = 0>
absl::Status readChange(std::string_view name, const Json &j, Change &change) {
  if constexpr (N < std::variant_size_v<Change>) {
    if (name == Fields<std::variant_alternative_t<N, Change>>::Name)
      return readFields(j, change.emplace<N>());
    return readChange<N + 1>(name, j, change);
  } else {
    return absl::InvalidArgumentError("unknown change");
  }
}

/// Returns the member, or a JSON null if the value is not an object or has no such member.
const Json &member(const Json &j, const char *name) {
  static const Json missing;
  if (!j.is_object())
    return missing;
  auto it = j.find(name);
  return it == j.end() ? missing : *it;
}

absl::Status malformed(const char *what) {
  return absl::InvalidArgumentError(concat(what, " is malformed"));
}

absl::StatusOr<RecordEdit> editFromJson(const Json &j) {
  RecordEdit edit;
  if (!fromJson(member(j, "kind"), edit.Kind) || !fromJson(member(j, "id"), edit.Id))
    return malformed("edit");
  const Json &value = member(j, "record");
  if (value.is_null())
    return edit;
  absl::StatusOr<AnyRecord> record = recordFromJson(edit.Kind, value);
  if (!record.ok())
    return record.status();
  if (keyOf(*record).second != edit.Id)
    return absl::InvalidArgumentError("edit and record have different ids");
  edit.Value = *std::move(record);
  return edit;
}

} // namespace

Json recordToJson(const AnyRecord &record) {
  return std::visit([](const auto &it) { return toJson(it); }, record);
}

absl::StatusOr<AnyRecord> recordFromJson(RecordKind kind, const Json &j) {
  AnyRecord record;
  if (absl::Status status = readAlternative(static_cast<size_t>(kind), j, record); !status.ok())
    return status;
  return record;
}

Json changeToJson(const Change &change) {
  return std::visit(
      [](const auto &it) {
        return Json{{"name", Fields<std::decay_t<decltype(it)>>::Name}, {"body", toJson(it)}};
      },
      change);
}

std::pair<RecordKind, std::string> keyOf(const AnyRecord &record) {
  return {static_cast<RecordKind>(record.index()),
          std::visit([](const auto &it) { return it.Id.Value; }, record)};
}

uint64_t recordHash(const AnyRecord &record) {
  return core::hash64(core::encodeCbor(recordToJson(record)), record.index() + 1);
}

std::string encode(const Command &command) {
  return core::encodeCbor({{"id", command.Id},
                           {"operator", command.Operator},
                           {"expected", toJson(command.ExpectedVersion)},
                           {"change", changeToJson(command.RequestedChange)},
                           {"at", toJson(command.ProposedAt)}});
}

std::string encode(const Outcome &outcome) { return core::encodeCbor(toJson(outcome)); }

std::string encode(const Delta &delta) {
  Json edits = Json::array();
  for (const RecordEdit &it : delta.Edits)
    edits.push_back({{"kind", toJson(it.Kind)},
                     {"id", it.Id},
                     {"record", it.Value ? recordToJson(*it.Value) : Json()}});
  return core::encodeCbor({{"from", toJson(delta.From)},
                           {"to", toJson(delta.To)},
                           {"digest", delta.Digest},
                           {"edits", std::move(edits)}});
}

absl::StatusOr<Command> decodeCommand(std::string_view bytes) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes);
  if (!j.ok())
    return j.status();
  Command command;
  std::string name;
  const Json &change = member(*j, "change");
  if (!fromJson(member(*j, "id"), command.Id) ||
      !fromJson(member(*j, "operator"), command.Operator) ||
      !fromJson(member(*j, "expected"), command.ExpectedVersion) ||
      !fromJson(member(*j, "at"), command.ProposedAt) || !fromJson(member(change, "name"), name))
    return malformed("command");
  if (absl::Status status = readChange(name, member(change, "body"), command.RequestedChange);
      !status.ok())
    return status;
  return command;
}

absl::StatusOr<Outcome> decodeOutcome(std::string_view bytes) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes);
  if (!j.ok())
    return j.status();
  Outcome outcome;
  if (absl::Status status = readFields(*j, outcome); !status.ok())
    return status;
  return outcome;
}

absl::StatusOr<Delta> decodeDelta(std::string_view bytes) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes);
  if (!j.ok())
    return j.status();
  Delta delta;
  const Json &edits = member(*j, "edits");
  if (!fromJson(member(*j, "from"), delta.From) || !fromJson(member(*j, "to"), delta.To) ||
      !fromJson(member(*j, "digest"), delta.Digest) || !edits.is_array())
    return malformed("delta");
  for (const Json &it : edits) {
    absl::StatusOr<RecordEdit> edit = editFromJson(it);
    if (!edit.ok())
      return edit.status();
    delta.Edits.push_back(*std::move(edit));
  }
  return delta;
}

} // namespace briarspar::config
