#include "config/ConfigStore.h"

#include "config/ChangeEvaluator.h"
#include "config/Encoding.h"
#include "config/Text.h"
#include "config/Validation.h"
#include "core/Hash.h"

#include <set>

namespace briarspar::config {

using core::Json;

namespace {

constexpr uint64_t SnapshotFormat = 1;
/// The maximum number of command outcomes at their maximum length is about 14 MiB; the rest is for
/// the records.
constexpr core::CodecLimits SnapshotLimits{256 * 1024 * 1024, 32};

/// Returns a hash of the requested change. The digest of a new key is excluded, because a sender
/// that lost the answer may have generated another key.
uint64_t fingerprintOf(const Command &command) {
  Change change = command.RequestedChange;
  if (auto *key = std::get_if<CreateKey>(&change))
    key->Digest = {};
  return core::hash64(core::encodeCbor(changeToJson(change)), command.ExpectedVersion.Value);
}

/// Calls `f` with a null pointer whose type is the record type of this kind.
template <class F> auto withKind(RecordKind kind, F &&f) {
  switch (kind) {
  case RecordKind::Customer:
    return f(static_cast<CustomerRecord *>(nullptr));
  case RecordKind::Key:
    return f(static_cast<KeyRecord *>(nullptr));
  case RecordKind::Route:
    return f(static_cast<RouteRecord *>(nullptr));
  case RecordKind::Target:
    return f(static_cast<TargetRecord *>(nullptr));
  case RecordKind::Cap:
    return f(static_cast<CapRecord *>(nullptr));
  case RecordKind::Drain:
    return f(static_cast<DrainRecord *>(nullptr));
  case RecordKind::Shift:
    return f(static_cast<ShiftRecord *>(nullptr));
  case RecordKind::Move:
    return f(static_cast<MoveRecord *>(nullptr));
  case RecordKind::Vm:
    return f(static_cast<VmRecord *>(nullptr));
  case RecordKind::RegionFailure:
    return f(static_cast<RegionFailureRecord *>(nullptr));
  case RecordKind::Block:
    break;
  }
  return f(static_cast<BlockRecord *>(nullptr));
}

/// Returns the hash of the stored record, or 0 if there is none.
uint64_t storedHash(const Records &records, RecordKind kind, const std::string &id) {
  return withKind(kind, [&](auto *type) -> uint64_t {
    using R = std::remove_pointer_t<decltype(type)>;
    const R *record = find(tableOf<R>(records), decltype(R::Id)(id));
    return record == nullptr ? 0 : recordHash(AnyRecord(*record));
  });
}

void applyEdit(Records &records, const RecordEdit &edit) {
  withKind(edit.Kind, [&](auto *type) {
    using R = std::remove_pointer_t<decltype(type)>;
    RecordTable<R> &table = tableOf<R>(records);
    decltype(R::Id) id(edit.Id);
    if (edit.Value)
      table.insert_or_assign(std::move(id), std::get<R>(*edit.Value));
    else
      table.erase(id);
  });
}

/// Returns the digest of the records after the edits.
uint64_t digestAfter(const Records &records, uint64_t digest,
                     const std::vector<RecordEdit> &edits) {
  for (const RecordEdit &it : edits) {
    digest -= storedHash(records, it.Kind, it.Id);
    if (it.Value)
      digest += recordHash(*it.Value);
  }
  return digest;
}

size_t sizeOf(const std::vector<RecordEdit> &edits) {
  size_t size = 0;
  for (const RecordEdit &it : edits)
    size += it.Id.size() + (it.Value ? core::encodeCbor(recordToJson(*it.Value)).size() : 0);
  return size;
}

Json recordsToJson(const Records &records) {
  Json out = Json::array();
  records.forEachTable([&](const auto &table) {
    for (const auto &[id, record] : table) {
      AnyRecord any(record);
      out.push_back({toJson(static_cast<RecordKind>(any.index())), recordToJson(any)});
    }
  });
  return out;
}

absl::Status malformed(std::string_view what) {
  return absl::InvalidArgumentError(concat("snapshot: ", what, " is malformed"));
}

/// Reads records and adds their hashes to `digest`.
absl::Status readRecords(const Json &j, Records &records, uint64_t &digest) {
  if (!j.is_array())
    return malformed("list of records");
  std::set<std::pair<RecordKind, std::string>> seen;
  for (const Json &it : j) {
    RecordKind kind{};
    if (!it.is_array() || it.size() != 2 || !fromJson(it[0], kind))
      return malformed("record");
    absl::StatusOr<AnyRecord> record = recordFromJson(kind, it[1]);
    if (!record.ok())
      return record.status();
    auto key = keyOf(*record);
    if (!seen.insert(key).second)
      return malformed("list of records, which contains a duplicate,");
    digest += recordHash(*record);
    applyEdit(records, {kind, key.second, *std::move(record)});
  }
  return absl::OkStatus();
}

std::string checkCommand(const Command &command) {
  std::string error = checkName("command id", command.Id);
  return error.empty() ? checkName("operator name", command.Operator) : error;
}

} // namespace

ConfigStore::ConfigStore(const ConfigStoreSettings &settings) : Settings(settings) {}

Outcome ConfigStore::apply(const Command &command) {
  Outcome outcome;
  outcome.Version = Version;
  outcome.Reason = checkCommand(command);
  if (!outcome.Reason.empty())
    return outcome;
  uint64_t fingerprint = fingerprintOf(command);
  if (auto it = Commands.find(command.Id); it != Commands.end()) {
    if (it->second.Fingerprint != fingerprint) {
      outcome.Reason = concat("command id ", command.Id, " belongs to another command");
      return outcome;
    }
    outcome = it->second.Result;
    outcome.Replayed = true;
    return outcome;
  }
  ChangeEvaluator evaluator(*this, command);
  outcome = evaluator.evaluate();
  if (outcome.Status == Outcome::Accepted)
    commit(evaluator.takeEdits(), command.Id);
  outcome.Version = Version;
  rememberCommand(command, fingerprint, outcome);
  return outcome;
}

void ConfigStore::commit(std::vector<RecordEdit> edits, const std::string &commandId) {
  Digest = digestAfter(Current, Digest, edits);
  Version = Version.next();
  for (const RecordEdit &it : edits) {
    applyEdit(Current, it);
    if (!it.Value)
      rememberRemoval({it.Kind, it.Id}, {Version, commandId});
  }
  recordHistory(std::move(edits));
}

void ConfigStore::rememberCommand(const Command &command, uint64_t fingerprint,
                                  const Outcome &outcome) {
  Commands.emplace(command.Id, AppliedCommand{fingerprint, outcome});
  CommandOrder.push_back(command.Id);
  while (CommandOrder.size() > Settings.MaxCommandIds) {
    Commands.erase(CommandOrder.front());
    CommandOrder.pop_front();
  }
}

void ConfigStore::rememberRemoval(const RecordKey &key, const Stamp &stamp) {
  // Keep one entry per record, so that a restored voter drops the same removals as the others.
  if (auto it = Removals.find(key); it != Removals.end())
    RemovalOrder.erase({it->second.Version, key});
  Removals.insert_or_assign(key, stamp);
  RemovalOrder.emplace(stamp.Version, key);
  while (RemovalOrder.size() > Settings.MaxRemovals) {
    Removals.erase(RemovalOrder.begin()->second);
    RemovalOrder.erase(RemovalOrder.begin());
  }
}

void ConfigStore::recordHistory(std::vector<RecordEdit> edits) {
  size_t bytes = sizeOf(edits);
  HistorySize += bytes;
  History.push_back({Version, std::move(edits), bytes});
  while (!History.empty() &&
         (History.size() > Settings.MaxHistoryVersions || HistorySize > Settings.MaxHistoryBytes)) {
    HistorySize -= History.front().Bytes;
    HistoryBase = History.front().Version;
    History.pop_front();
  }
}

std::optional<Delta> ConfigStore::deltaSince(core::ConfigVersion from) const {
  if (from < HistoryBase)
    return std::nullopt;
  Delta delta{std::min(from, Version), Version, {}, Digest};
  std::map<RecordKey, const RecordEdit *> latest;
  auto it = History.rbegin();
  for (; it != History.rend() && it->Version > from; ++it)
    for (const RecordEdit &edit : it->Edits)
      latest.emplace(RecordKey(edit.Kind, edit.Id), &edit);
  for (const auto &[key, edit] : latest)
    delta.Edits.push_back(*edit);
  return delta;
}

absl::Status ConfigStore::applyDelta(const Delta &delta) {
  if (delta.From > Version)
    return absl::FailedPreconditionError(concat("delta starts at version ", delta.From.Value,
                                                "; the version here is ", Version.Value));
  if (delta.To < Version)
    return absl::OkStatus();
  std::set<RecordKey> seen;
  for (const RecordEdit &it : delta.Edits) {
    if (!seen.insert({it.Kind, it.Id}).second)
      return absl::InvalidArgumentError("delta contains two edits of one record");
    if (it.Value && keyOf(*it.Value) != RecordKey(it.Kind, it.Id))
      return absl::InvalidArgumentError("delta contains a record with another id than its edit");
  }
  if (digestAfter(Current, Digest, delta.Edits) != delta.Digest)
    return absl::DataLossError(
        concat("delta to version ", delta.To.Value, " results in a different digest"));
  if (delta.To == Version)
    return absl::OkStatus();
  Digest = delta.Digest;
  Version = delta.To;
  for (const RecordEdit &it : delta.Edits)
    applyEdit(Current, it);
  recordHistory(delta.Edits);
  return absl::OkStatus();
}

std::string ConfigStore::fullState() const {
  return core::encodeCbor({{"format", SnapshotFormat},
                           {"version", toJson(Version)},
                           {"digest", Digest},
                           {"records", recordsToJson(Current)},
                           {"commands", Json::array()},
                           {"removals", Json::array()}});
}

std::string ConfigStore::snapshot() const {
  Json commands = Json::array();
  for (const std::string &id : CommandOrder) {
    const AppliedCommand &it = Commands.at(id);
    commands.push_back({id, it.Fingerprint, toJson(it.Result)});
  }
  Json removals = Json::array();
  for (const auto &[version, key] : RemovalOrder)
    removals.push_back({toJson(key.first), key.second, toJson(Removals.at(key))});
  return core::encodeCbor({{"format", SnapshotFormat},
                           {"version", toJson(Version)},
                           {"digest", Digest},
                           {"records", recordsToJson(Current)},
                           {"commands", std::move(commands)},
                           {"removals", std::move(removals)}});
}

absl::Status ConfigStore::restoreCommands(const Json &j) {
  for (const Json &it : j) {
    std::string id;
    AppliedCommand entry;
    if (!it.is_array() || it.size() != 3 || !fromJson(it[0], id) ||
        !fromJson(it[1], entry.Fingerprint) || !fromJson(it[2], entry.Result))
      return malformed("command");
    if (!Commands.emplace(id, std::move(entry)).second)
      return malformed("list of commands, which contains a duplicate,");
    CommandOrder.push_back(std::move(id));
  }
  return absl::OkStatus();
}

absl::Status ConfigStore::restoreRemovals(const Json &j) {
  for (const Json &it : j) {
    RecordKey key;
    Stamp stamp;
    if (!it.is_array() || it.size() != 3 || !fromJson(it[0], key.first) ||
        !fromJson(it[1], key.second) || !fromJson(it[2], stamp))
      return malformed("removal");
    rememberRemoval(key, stamp);
  }
  return absl::OkStatus();
}

absl::Status ConfigStore::restore(std::string_view bytes) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes, SnapshotLimits);
  if (!j.ok())
    return j.status();
  for (const char *name : {"format", "version", "digest", "records", "commands", "removals"})
    if (!j->is_object() || !j->contains(name))
      return malformed(name);
  uint64_t format = 0;
  uint64_t digest = 0;
  ConfigStore next(Settings);
  if (!fromJson((*j)["format"], format) || format != SnapshotFormat)
    return malformed("format");
  if (!fromJson((*j)["version"], next.Version) || !fromJson((*j)["digest"], digest))
    return malformed("version or digest");
  if (!(*j)["commands"].is_array() || !(*j)["removals"].is_array())
    return malformed("list of commands or removals");
  if (absl::Status status = readRecords((*j)["records"], next.Current, next.Digest); !status.ok())
    return status;
  if (next.Digest != digest)
    return absl::DataLossError("snapshot: the digest does not match the records");
  if (absl::Status status = next.restoreCommands((*j)["commands"]); !status.ok())
    return status;
  if (absl::Status status = next.restoreRemovals((*j)["removals"]); !status.ok())
    return status;
  next.HistoryBase = next.Version;
  *this = std::move(next);
  return absl::OkStatus();
}

} // namespace briarspar::config
