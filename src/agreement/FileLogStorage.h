#pragma once

#include "agreement/FileSystem.h"
#include "agreement/LogStorage.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace briarspar::agreement {

/// LogStorage in a dedicated folder with the files `identity`, `snapshot` and `log`. Each file
/// consists of checksummed records and is replaced by renaming a synced temporary file. Writes are
/// buffered in memory until `sync`, which does one write and one fsync.
class FileLogStorage final : public LogStorage {
public:
  /// Creates the folder content of a new voter. With `first`, which must list it, the voter is one
  /// of the founding voters of a new group; without, it will be added to an existing group.
  /// `owner.Self.DataIncarnation` must be greater than in any earlier folder of this VM; the
  /// wall-clock time in milliseconds is suitable. Returns AlreadyExists when the folder holds an
  /// identity.
  static absl::Status initialize(FileSystem &files, const std::string &folder,
                                 const Identity &owner, const Configuration *first);

  /// Opens and locks an initialized folder. Returns NotFound when it holds no identity: the data is
  /// lost, and the VM needs a new identity.
  static absl::StatusOr<std::unique_ptr<FileLogStorage>> open(FileSystem &files,
                                                              const std::string &folder);

  /// Reads the stored state and rewrites the log file. This removes a torn tail and makes records
  /// durable that an earlier process left unsynced in the page cache.
  absl::StatusOr<StoredState> load() override;
  absl::Status saveHardState(const HardState &state) override;
  absl::Status append(absl::Span<const Entry> entries) override;
  absl::Status renew(const VoterId &self) override;
  absl::Status sync() override;
  absl::Status saveSnapshot(const Snapshot &snapshot, const HardState &state,
                            absl::Span<const Entry> kept) override;

private:
  FileLogStorage(FileSystem &files, std::string folder, Identity owner,
                 std::unique_ptr<FolderLock> lock);

  absl::StatusOr<StoredState> loadAndRewrite();
  absl::Status writePending();
  absl::Status replaceLog(core::LogIndex base, const HardState &state,
                          absl::Span<const Entry> entries);
  absl::Status fail(absl::Status status);

  FileSystem &Files;
  const std::string Folder;
  Identity Owner;
  std::unique_ptr<FolderLock> Lock;
  std::unique_ptr<File> Log; ///< Null until `load`.
  std::string Pending;       ///< Encoded records that are not written yet.
  uint64_t SyncedBytes = 0;  ///< Durable length of the log file.
  absl::Status Failure;      ///< First error since the last `load`; all later calls return it.
};

} // namespace briarspar::agreement
