#include "agreement/FileLogStorage.h"

#include "absl/strings/str_cat.h"
#include "agreement/Cbor.h"
#include "agreement/RecordFile.h"

#include <filesystem>
#include <utility>

namespace briarspar::agreement {

using core::Json;

namespace {

// Every log file starts with a header record and a hard state record.
constexpr size_t LeadingRecords = 2;

std::string identityPath(const std::string &folder) { return folder + "/identity"; }
std::string snapshotPath(const std::string &folder) { return folder + "/snapshot"; }
std::string logPath(const std::string &folder) { return folder + "/log"; }

std::string identityPayload(const Identity &owner) {
  return core::encodeCbor({{"group", owner.Group.Value}, {"self", voterIdJson(owner.Self)}});
}

Identity readIdentity(const Json &j) {
  return {GroupId(readText(j, "group")), readVoterId(j, "self")};
}

std::string hardStatePayload(const HardState &state) {
  Json vote = state.Vote ? voterIdJson(*state.Vote) : Json();
  return core::encodeCbor({{"term", state.CurrentTerm.Value}, {"vote", std::move(vote)}});
}

HardState readHardState(const Json &j) {
  HardState state;
  state.CurrentTerm = core::Term(readNumber(j, "term"));
  if (!j.at("vote").is_null())
    state.Vote = readVoterId(j, "vote");
  return state;
}

std::string snapshotPayload(const Snapshot &snapshot) {
  return core::encodeCbor({{"index", snapshot.Index.Value},
                           {"term", snapshot.InTerm.Value},
                           {"members", configurationJson(snapshot.Members)}});
}

Snapshot readSnapshotHeader(const Json &j) {
  Snapshot snapshot;
  snapshot.Index = core::LogIndex(readNumber(j, "index"));
  snapshot.InTerm = core::Term(readNumber(j, "term"));
  snapshot.Members = readConfiguration(j.at("members"));
  return snapshot;
}

absl::Status writeAll(File &file, std::string_view bytes) {
  while (!bytes.empty()) {
    absl::StatusOr<size_t> n = file.write(bytes);
    if (!n.ok())
      return n.status();
    if (*n == 0 || *n > bytes.size())
      return absl::DataLossError(absl::StrCat("short write: ", bytes.size(), " bytes remain"));
    bytes.remove_prefix(*n);
  }
  return absl::OkStatus();
}

/// Replaces `path` durably by writing and syncing a temporary file and renaming it. Returns the
/// open file.
absl::StatusOr<std::unique_ptr<File>> replaceFile(FileSystem &files, const std::string &folder,
                                                  const std::string &path,
                                                  std::string_view content) {
  std::string temporary = path + ".new";
  absl::StatusOr<std::unique_ptr<File>> file = files.create(temporary);
  if (!file.ok())
    return file.status();
  absl::Status status = writeAll(**file, content);
  if (status.ok())
    status = (*file)->sync();
  if (status.ok())
    status = files.rename(temporary, path);
  if (status.ok())
    status = files.syncFolder(folder);
  if (!status.ok())
    return status;
  return file;
}

/// Returns the content of a new log file. The header record holds the index of the snapshot on
/// which the log is based, so that a missing snapshot is detected even if the log has no entries.
/// It also holds the number of entries, which are all synced before the file is renamed, so that
/// their loss is reported as damage and not taken for a torn write.
std::string logContent(core::LogIndex base, const HardState &state,
                       absl::Span<const Entry> entries) {
  std::string content;
  appendRecord(content, core::encodeCbor({{"base", base.Value}, {"synced", entries.size()}}), 0);
  appendRecord(content, hardStatePayload(state), 0);
  for (const Entry &entry : entries)
    appendRecord(content, core::encodeCbor(entryJson(entry)), 0);
  return content;
}

absl::Status asDataLoss(const absl::Status &status, const std::string &path) {
  return absl::DataLossError(absl::StrCat(path, ": ", status.message()));
}

/// Reads the records of a file that was synced before it was renamed, so none may be missing.
absl::StatusOr<std::vector<std::string_view>> readSynced(std::string_view content,
                                                         const std::string &path, size_t count) {
  absl::StatusOr<std::vector<std::string_view>> records = readRecords(content);
  if (!records.ok())
    return asDataLoss(records.status(), path);
  if (records->size() != count)
    return absl::DataLossError(absl::StrCat(path, ": a record is missing or damaged"));
  return records;
}

absl::Status addEntry(std::vector<Entry> &entries, Entry entry) {
  while (!entries.empty() && entries.back().Index >= entry.Index)
    entries.pop_back();
  if (!entries.empty() && entries.back().Index.next() != entry.Index)
    return absl::DataLossError("log entries are not contiguous");
  entries.push_back(std::move(entry));
  return absl::OkStatus();
}

absl::Status checkHeader(const StoredState &state, const Json &header, size_t recordCount) {
  uint64_t base = readNumber(header, "base");
  uint64_t present = state.LatestSnapshot ? state.LatestSnapshot->Index.Value : 0;
  if (present < base)
    return absl::DataLossError(absl::StrCat("the snapshot up to entry ", base, " is missing"));
  if (recordCount < LeadingRecords + readNumber(header, "synced"))
    return absl::DataLossError("a synced record is damaged");
  return absl::OkStatus();
}

/// Applies one of `recordCount` log records: the header, a hard state or an entry.
absl::Status addLogRecord(StoredState &state, std::string_view payload, size_t recordCount) {
  absl::StatusOr<Json> j = core::decodeCbor(payload);
  if (!j.ok())
    return j.status();
  try {
    if (j->contains("base"))
      return checkHeader(state, *j, recordCount);
    if (!j->contains("vote"))
      return addEntry(state.Entries, readEntry(*j));
    state.Election = readHardState(*j);
    return absl::OkStatus();
  } catch (const nlohmann::json::exception &e) {
    return absl::DataLossError(e.what());
  }
}

absl::Status loadSnapshot(FileSystem &files, const std::string &folder, StoredState &state) {
  std::string path = snapshotPath(folder);
  absl::StatusOr<std::string> content = files.read(path);
  if (absl::IsNotFound(content.status()))
    return absl::OkStatus();
  if (!content.ok())
    return content.status();
  absl::StatusOr<std::vector<std::string_view>> records = readSynced(*content, path, 2);
  if (!records.ok())
    return records.status();
  absl::StatusOr<Snapshot> snapshot = decodeWith((*records)[0], readSnapshotHeader);
  if (!snapshot.ok())
    return asDataLoss(snapshot.status(), path);
  snapshot->Data = std::string((*records)[1]);
  state.LatestSnapshot = *std::move(snapshot);
  return absl::OkStatus();
}

absl::Status loadLog(FileSystem &files, const std::string &folder, StoredState &state) {
  std::string path = logPath(folder);
  absl::StatusOr<std::string> content = files.read(path);
  if (!content.ok())
    return asDataLoss(content.status(), path);
  absl::StatusOr<std::vector<std::string_view>> records = readRecords(*content);
  if (!records.ok())
    return asDataLoss(records.status(), path);
  if (records->size() < LeadingRecords)
    return absl::DataLossError(absl::StrCat(path, ": the leading records are damaged"));
  for (std::string_view payload : *records)
    if (absl::Status status = addLogRecord(state, payload, records->size()); !status.ok())
      return asDataLoss(status, path);
  return absl::OkStatus();
}

/// Creates a folder that survives a power loss. One that exists is left as it is: its parent may be
/// out of reach.
absl::Status createDurableFolder(FileSystem &files, const std::string &folder) {
  absl::StatusOr<bool> created = files.createFolder(folder);
  if (!created.ok() || !*created)
    return created.status();
  std::string parent = std::filesystem::path(folder).parent_path();
  return files.syncFolder(parent.empty() ? "." : parent);
}

} // namespace

absl::Status FileLogStorage::initialize(FileSystem &files, const std::string &folder,
                                        const Identity &owner, const Configuration *first) {
  if (first != nullptr && !first->isVoter(owner.Self))
    return absl::InvalidArgumentError("the first configuration does not list this voter");
  if (absl::Status status = createDurableFolder(files, folder); !status.ok())
    return status;
  absl::StatusOr<std::unique_ptr<FolderLock>> lock = files.lockFolder(folder);
  if (!lock.ok())
    return lock.status();
  absl::StatusOr<std::string> existing = files.read(identityPath(folder));
  if (existing.ok())
    return absl::AlreadyExistsError(absl::StrCat(folder, " is already initialized"));
  if (!absl::IsNotFound(existing.status()))
    return existing.status();
  std::vector<Entry> entries;
  if (first != nullptr)
    entries.push_back(bootstrapEntry(*first));
  absl::StatusOr<std::unique_ptr<File>> log =
      replaceFile(files, folder, logPath(folder), logContent({}, {}, entries));
  if (!log.ok())
    return log.status();
  // The identity is written last: a folder without it counts as uninitialized.
  std::string content;
  appendRecord(content, identityPayload(owner), 0);
  return replaceFile(files, folder, identityPath(folder), content).status();
}

absl::StatusOr<std::unique_ptr<FileLogStorage>> FileLogStorage::open(FileSystem &files,
                                                                     const std::string &folder) {
  std::string path = identityPath(folder);
  absl::StatusOr<std::string> content = files.read(path);
  if (!content.ok())
    return content.status();
  absl::StatusOr<std::vector<std::string_view>> records = readSynced(*content, path, 1);
  if (!records.ok())
    return records.status();
  absl::StatusOr<Identity> owner = decodeWith(records->front(), readIdentity);
  if (!owner.ok())
    return asDataLoss(owner.status(), path);
  absl::StatusOr<std::unique_ptr<FolderLock>> lock = files.lockFolder(folder);
  if (!lock.ok())
    return lock.status();
  return std::unique_ptr<FileLogStorage>(
      new FileLogStorage(files, folder, *std::move(owner), *std::move(lock)));
}

FileLogStorage::FileLogStorage(FileSystem &files, std::string folder, Identity owner,
                               std::unique_ptr<FolderLock> lock)
    : Files(files), Folder(std::move(folder)), Owner(std::move(owner)), Lock(std::move(lock)) {}

absl::StatusOr<StoredState> FileLogStorage::load() {
  Failure = absl::OkStatus();
  Pending.clear();
  absl::StatusOr<StoredState> state = loadAndRewrite();
  return state.ok() ? state : fail(state.status());
}

absl::StatusOr<StoredState> FileLogStorage::loadAndRewrite() {
  StoredState state;
  state.Owner = Owner;
  if (absl::Status status = loadSnapshot(Files, Folder, state); !status.ok())
    return status;
  if (absl::Status status = loadLog(Files, Folder, state); !status.ok())
    return status;
  core::LogIndex base = state.LatestSnapshot ? state.LatestSnapshot->Index : core::LogIndex();
  if (absl::Status status = replaceLog(base, state.Election, state.Entries); !status.ok())
    return status;
  return state;
}

absl::Status FileLogStorage::saveHardState(const HardState &state) {
  appendRecord(Pending, hardStatePayload(state), SyncedBytes);
  return Failure;
}

absl::Status FileLogStorage::append(absl::Span<const Entry> entries) {
  for (const Entry &entry : entries)
    appendRecord(Pending, core::encodeCbor(entryJson(entry)), SyncedBytes);
  return Failure;
}

absl::Status FileLogStorage::renew(const VoterId &self) {
  Identity next{Owner.Group, self};
  std::string identity;
  appendRecord(identity, identityPayload(next), 0);
  // The identity is written last: the new one must never be found with the state of the old one.
  absl::Status status = replaceLog({}, {}, {});
  if (status.ok())
    status = Files.remove(snapshotPath(Folder));
  if (status.ok())
    status = Files.syncFolder(Folder);
  if (status.ok())
    status = replaceFile(Files, Folder, identityPath(Folder), identity).status();
  if (!status.ok())
    return fail(status);
  Owner = std::move(next);
  return status;
}

absl::Status FileLogStorage::sync() {
  if (!Failure.ok())
    return Failure;
  if (Log == nullptr)
    return fail(absl::FailedPreconditionError("the storage is not loaded"));
  if (absl::Status status = writePending(); !status.ok())
    return fail(status);
  return absl::OkStatus();
}

absl::Status FileLogStorage::writePending() {
  if (absl::Status status = writeAll(*Log, Pending); !status.ok())
    return status;
  if (absl::Status status = Log->sync(); !status.ok())
    return status;
  SyncedBytes += Pending.size();
  Pending.clear();
  return absl::OkStatus();
}

absl::Status FileLogStorage::saveSnapshot(const Snapshot &snapshot, const HardState &state,
                                          absl::Span<const Entry> kept) {
  if (!Failure.ok())
    return Failure;
  std::string content;
  appendRecord(content, snapshotPayload(snapshot), 0);
  appendRecord(content, snapshot.Data, 0);
  absl::Status status = replaceFile(Files, Folder, snapshotPath(Folder), content).status();
  // The log may drop the entries covered by the snapshot only after the snapshot is durable.
  if (status.ok())
    status = replaceLog(snapshot.Index, state, kept);
  return status.ok() ? status : fail(status);
}

absl::Status FileLogStorage::replaceLog(core::LogIndex base, const HardState &state,
                                        absl::Span<const Entry> entries) {
  std::string content = logContent(base, state, entries);
  absl::StatusOr<std::unique_ptr<File>> file = replaceFile(Files, Folder, logPath(Folder), content);
  if (!file.ok())
    return file.status();
  Log = *std::move(file);
  Pending.clear();
  SyncedBytes = content.size();
  return absl::OkStatus();
}

absl::Status FileLogStorage::fail(absl::Status status) {
  Failure = status;
  return status;
}

} // namespace briarspar::agreement
