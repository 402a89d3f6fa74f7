#include "agreement/PosixFileSystem.h"

#include "absl/strings/str_cat.h"

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace briarspar::agreement {

namespace {

constexpr mode_t FileMode = 0600;
constexpr mode_t FolderMode = 0700;

absl::Status errnoStatus(int error, const char *operation, const std::string &path) {
  return absl::ErrnoToStatus(error, absl::StrCat(operation, " ", path));
}

/// Owns a file descriptor and closes it on destruction.
class Descriptor {
public:
  explicit Descriptor(int fd) : Fd(fd) {}
  ~Descriptor() {
    if (Fd >= 0)
      ::close(Fd);
  }
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  int get() const { return Fd; }
  bool valid() const { return Fd >= 0; }

private:
  int Fd;
};

class PosixFile final : public File {
public:
  PosixFile(int fd, std::string path) : Fd(fd), Path(std::move(path)) {}

  absl::StatusOr<size_t> write(std::string_view bytes) override {
    ssize_t n = 0;
    do
      n = ::write(Fd.get(), bytes.data(), bytes.size());
    while (n < 0 && errno == EINTR);
    if (n < 0)
      return errnoStatus(errno, "write", Path);
    return static_cast<size_t>(n);
  }

  absl::Status sync() override {
    // fsync is not retried after an error: the kernel may drop the dirty pages and then report
    // success.
    if (::fsync(Fd.get()) != 0)
      return errnoStatus(errno, "fsync", Path);
    return absl::OkStatus();
  }

private:
  Descriptor Fd;
  std::string Path;
};

class PosixFolderLock final : public FolderLock {
public:
  explicit PosixFolderLock(int fd) : Fd(fd) {}

private:
  Descriptor Fd;
};

} // namespace

absl::StatusOr<bool> PosixFileSystem::createFolder(const std::string &path) {
  if (::mkdir(path.c_str(), FolderMode) == 0)
    return true;
  if (errno == EEXIST)
    return false;
  return errnoStatus(errno, "mkdir", path);
}

absl::StatusOr<std::unique_ptr<FolderLock>> PosixFileSystem::lockFolder(const std::string &path) {
  std::string name = path + "/lock";
  int fd = ::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
  if (fd < 0)
    return errnoStatus(errno, "open", name);
  auto lock = std::make_unique<PosixFolderLock>(fd);
  if (::flock(fd, LOCK_EX | LOCK_NB) == 0)
    return lock;
  if (errno == EWOULDBLOCK)
    return absl::FailedPreconditionError(absl::StrCat(path, " is in use by another process"));
  return errnoStatus(errno, "flock", name);
}

absl::StatusOr<std::unique_ptr<File>> PosixFileSystem::create(const std::string &path) {
  int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode);
  if (fd < 0)
    return errnoStatus(errno, "create", path);
  return std::make_unique<PosixFile>(fd, path);
}

absl::StatusOr<std::string> PosixFileSystem::read(const std::string &path) {
  Descriptor fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd.valid())
    return errnoStatus(errno, "open", path);
  constexpr size_t blockBytes = 1024 * 1024;
  std::string content;
  size_t used = 0;
  for (;;) {
    content.resize(used + blockBytes);
    ssize_t n = ::read(fd.get(), content.data() + used, blockBytes);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return errnoStatus(errno, "read", path);
    used += static_cast<size_t>(n);
    if (n == 0)
      break;
  }
  content.resize(used);
  return content;
}

absl::Status PosixFileSystem::rename(const std::string &from, const std::string &to) {
  if (::rename(from.c_str(), to.c_str()) != 0)
    return errnoStatus(errno, "rename", to);
  return absl::OkStatus();
}

absl::Status PosixFileSystem::remove(const std::string &path) {
  if (::unlink(path.c_str()) != 0 && errno != ENOENT)
    return errnoStatus(errno, "unlink", path);
  return absl::OkStatus();
}

absl::Status PosixFileSystem::syncFolder(const std::string &path) {
  Descriptor fd(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!fd.valid())
    return errnoStatus(errno, "open", path);
  if (::fsync(fd.get()) != 0)
    return errnoStatus(errno, "fsync", path);
  return absl::OkStatus();
}

} // namespace briarspar::agreement
