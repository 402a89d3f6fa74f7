#pragma once

#include "agreement/FileSystem.h"

namespace briarspar::agreement {

/// FileSystem of the operating system.
class PosixFileSystem final : public FileSystem {
public:
  absl::StatusOr<bool> createFolder(const std::string &path) override;
  absl::StatusOr<std::unique_ptr<FolderLock>> lockFolder(const std::string &path) override;
  absl::StatusOr<std::unique_ptr<File>> create(const std::string &path) override;
  absl::StatusOr<std::string> read(const std::string &path) override;
  absl::Status rename(const std::string &from, const std::string &to) override;
  absl::Status remove(const std::string &path) override;
  absl::Status syncFolder(const std::string &path) override;
};

} // namespace briarspar::agreement
