#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace briarspar::agreement {

/// An open file that is written sequentially. Closed by the destructor.
class File {
public:
  virtual ~File() = default;

  /// Appends to the file and returns the number of bytes written, which may be fewer than given.
  /// Returns ResourceExhausted when the disk is full.
  virtual absl::StatusOr<size_t> write(std::string_view bytes) = 0;

  /// Makes the content durable.
  virtual absl::Status sync() = 0;
};

/// An exclusive lock on a data folder, released by the destructor.
class FolderLock {
public:
  virtual ~FolderLock() = default;
};

/// The file operations that FileLogStorage needs. Tests use an implementation that injects faults.
class FileSystem {
public:
  virtual ~FileSystem() = default;

  /// Creates a folder if it is missing and returns whether it was; its parent must exist. Durable
  /// after `syncFolder` of the parent.
  virtual absl::StatusOr<bool> createFolder(const std::string &path) = 0;

  /// Returns FailedPrecondition when another process holds the lock.
  virtual absl::StatusOr<std::unique_ptr<FolderLock>> lockFolder(const std::string &path) = 0;

  /// Creates an empty file, replacing an older one.
  virtual absl::StatusOr<std::unique_ptr<File>> create(const std::string &path) = 0;

  /// Returns the whole content, or NotFound.
  virtual absl::StatusOr<std::string> read(const std::string &path) = 0;

  /// Renames `from` to `to`, atomically replacing an existing file. Durable after `syncFolder`.
  virtual absl::Status rename(const std::string &from, const std::string &to) = 0;

  /// Removes a file if it exists. Durable after `syncFolder`.
  virtual absl::Status remove(const std::string &path) = 0;

  /// Makes file creations, renames and removals in a folder durable.
  virtual absl::Status syncFolder(const std::string &path) = 0;
};

} // namespace briarspar::agreement
