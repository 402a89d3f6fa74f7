#pragma once

#include "agreement/FileSystem.h"
#include "agreement/LogStorage.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace briarspar::agreement {

/// LogStorage in a folder of its own: `identity`, `snapshot` and `log`, each made of checksummed
/// records and replaced by renaming a synced temporary file. Writes collect in memory until `sync`,
/// which is one write and one fsync.
class FileLogStorage final : public LogStorage {
public:
  /// Creates the content of a new voter's folder: of a first voter when `first` is given and lists
  /// it, else of a voter that will be added to an existing group. `self.Data` must be greater than
  /// in any earlier folder of this VM, for example the wall-clock time in milliseconds. Returns
  /// AlreadyExists when the folder holds an identity.
  static absl::Status initialize(FileSystem &files, const std::string &folder,
                                 const Identity &owner, const Configuration *first);

  /// Opens an initialized folder and locks it. Returns NotFound when it holds no identity: the data
  /// is lost, and the VM needs a new identity.
  static absl::StatusOr<std::unique_ptr<FileLogStorage>> open(FileSystem &files,
                                                              const std::string &folder);

  /// Reads the stored state and rewrites the log file, which removes a torn tail and makes durable
  /// what an earlier process left in the page cache.
  absl::StatusOr<StoredState> load() override;
  absl::Status saveHardState(const HardState &state) override;
  absl::Status append(absl::Span<const Entry> entries) override;
  absl::Status sync() override;
  absl::Status saveSnapshot(const Snapshot &snapshot, const HardState &state,
                            absl::Span<const Entry> kept) override;

private:
  FileLogStorage(FileSystem &files, std::string folder, Identity owner,
                 std::unique_ptr<FolderLock> lock);

  absl::Status writePending();
  absl::Status replaceLog(core::LogIndex base, const HardState &state,
                          absl::Span<const Entry> entries);
  absl::Status fail(absl::Status status);

  FileSystem &Files;
  const std::string Folder;
  const Identity Owner;
  std::unique_ptr<FolderLock> Lock;
  std::unique_ptr<File> Log; ///< Empty until `load`.
  std::string Pending;       ///< Records not yet written.
  uint64_t SyncedBytes = 0;  ///< Durable length of the log file.
  absl::Status Failure;      ///< First error; returned by all later calls.
};

} // namespace briarspar::agreement
