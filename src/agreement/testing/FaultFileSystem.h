#pragma once

#include "agreement/FileSystem.h"

#include <pcg_random.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace briarspar::agreement::testing {

/// In-memory FileSystem with one data folder, injected errors and power loss. Data is durable only
/// once synced.
class FaultFileSystem final : public FileSystem {
public:
  enum class Fault { None, DiskFull, ShortWrite, SyncError };

  explicit FaultFileSystem(uint64_t seed = 1) : Rng(seed) {}

  /// Injects `fault` into the next operation that it applies to, after `operations` such operations
  /// have succeeded.
  void failAfter(size_t operations, Fault fault) {
    Remaining = operations;
    Next = fault;
  }

  /// Makes all writes fail while the disk is full.
  void setFull(bool full) { IsFull = full; }

  /// Cuts the power after `operations` further changes: all later operations fail without effect
  /// until `losePower`.
  void cutPowerAfter(size_t operations) { ChangesLeft = operations; }

  bool isPowerCut() const { return ChangesLeft && *ChangesLeft == 0; }

  /// Simulates a power loss: a random prefix of the unsynced bytes survives, possibly corrupted,
  /// and each unsynced creation, rename and removal may or may not survive. After some power losses
  /// nothing survives that was not synced. A folder that is not durable is lost. Locks are released
  /// and injected errors cleared.
  void losePower() {
    if (Rng() % 3 != 0)
      keepSomeNames();
    Names = Durable;
    for (const std::string &folder : UnsyncedFolders)
      loseFolder(folder);
    for (auto &[path, file] : Names)
      tearUnsynced(*file);
    UnsyncedFolders.clear();
    Locked.clear();
    Next = Fault::None;
    IsFull = false;
    ChangesLeft.reset();
  }

  /// Returns the stored bytes of a file, for corruption by tests.
  std::string &content(const std::string &path) { return Names.at(path)->Bytes; }
  void erase(const std::string &path) { Names.erase(path); }

  absl::StatusOr<bool> createFolder(const std::string &path) override {
    if (!takeChange())
      return powerCutError();
    bool isNew = Folders.insert(path).second;
    if (isNew)
      UnsyncedFolders.insert(path);
    return isNew;
  }

  absl::StatusOr<std::unique_ptr<FolderLock>> lockFolder(const std::string &path) override {
    if (!Locked.insert(path).second)
      return absl::FailedPreconditionError("locked");
    return std::make_unique<Lock>(*this, path);
  }

  absl::StatusOr<std::unique_ptr<File>> create(const std::string &path) override {
    if (!takeChange())
      return powerCutError();
    Names[path] = std::make_shared<Inode>();
    return std::make_unique<MemoryFile>(*this, Names[path]);
  }

  absl::StatusOr<std::string> read(const std::string &path) override {
    if (isPowerCut())
      return powerCutError();
    auto it = Names.find(path);
    if (it == Names.end())
      return absl::NotFoundError(path);
    return it->second->Bytes;
  }

  absl::Status rename(const std::string &from, const std::string &to) override {
    if (!takeChange())
      return powerCutError();
    Names[to] = Names[from];
    Names.erase(from);
    return absl::OkStatus();
  }

  absl::Status remove(const std::string &path) override {
    if (!takeChange())
      return powerCutError();
    Names.erase(path);
    return absl::OkStatus();
  }

  absl::Status syncFolder(const std::string &path) override {
    if (!takeChange())
      return powerCutError();
    if (takeInjectedFault(Fault::SyncError))
      return absl::InternalError("fsync error");
    if (Folders.count(path) != 0)
      Durable = Names;
    else
      UnsyncedFolders.clear();
    return absl::OkStatus();
  }

private:
  struct Inode {
    std::string Bytes;
    size_t Synced = 0;
  };

  struct Lock final : FolderLock {
    Lock(FaultFileSystem &files, std::string path) : Files(files), Path(std::move(path)) {}
    ~Lock() override { Files.Locked.erase(Path); }
    FaultFileSystem &Files;
    std::string Path;
  };

  struct MemoryFile final : File {
    MemoryFile(FaultFileSystem &files, std::shared_ptr<Inode> inode)
        : Files(files), Node(std::move(inode)) {}

    absl::StatusOr<size_t> write(std::string_view bytes) override {
      if (!Files.takeChange())
        return powerCutError();
      if (Files.IsFull || Files.takeInjectedFault(Fault::DiskFull))
        return absl::ResourceExhaustedError("disk full");
      size_t n = Files.takeInjectedFault(Fault::ShortWrite) ? bytes.size() / 2 : bytes.size();
      if (n < bytes.size())
        Files.failAfter(0, Fault::DiskFull); // A short write is followed by a disk-full error.
      Node->Bytes += bytes.substr(0, n);
      return n;
    }

    absl::Status sync() override {
      if (!Files.takeChange())
        return powerCutError();
      if (Files.takeInjectedFault(Fault::SyncError))
        return absl::InternalError("fsync error");
      Node->Synced = Node->Bytes.size();
      return absl::OkStatus();
    }

    FaultFileSystem &Files;
    std::shared_ptr<Inode> Node;
  };

  static absl::Status powerCutError() { return absl::UnavailableError("the power is cut"); }

  /// Returns false if the power is cut.
  bool takeChange() {
    if (isPowerCut())
      return false;
    if (ChangesLeft)
      --*ChangesLeft;
    return true;
  }

  void loseFolder(const std::string &folder) {
    Folders.erase(folder);
    for (auto it = Names.begin(); it != Names.end();)
      it = it->first.rfind(folder + "/", 0) == 0 ? Names.erase(it) : std::next(it);
    Durable = Names;
  }

  /// Makes a random part of the changes of names durable that were not synced.
  void keepSomeNames() {
    std::map<std::string, std::shared_ptr<Inode>> all = Durable;
    all.insert(Names.begin(), Names.end());
    for (const auto &[path, file] : all) {
      if (Rng() % 2 == 0)
        continue;
      if (auto it = Names.find(path); it != Names.end())
        Durable[path] = it->second;
      else
        Durable.erase(path);
    }
  }

  bool takeInjectedFault(Fault fault) {
    if (Next != fault)
      return false;
    if (Remaining > 0) {
      --Remaining;
      return false;
    }
    Next = Fault::None;
    return true;
  }

  void tearUnsynced(Inode &file) {
    size_t unsynced = file.Bytes.size() - file.Synced;
    if (unsynced == 0)
      return;
    file.Bytes.resize(file.Synced + Rng() % (unsynced + 1));
    if (file.Bytes.size() > file.Synced && Rng() % 2 == 0)
      file.Bytes[file.Synced + Rng() % (file.Bytes.size() - file.Synced)] ^= 0x5a;
    file.Synced = file.Bytes.size();
  }

  pcg32 Rng;
  std::map<std::string, std::shared_ptr<Inode>> Names;
  std::map<std::string, std::shared_ptr<Inode>> Durable;
  std::set<std::string> Folders;
  std::set<std::string> UnsyncedFolders; ///< Folders whose parent was not synced since.
  std::set<std::string> Locked;
  size_t Remaining = 0;
  Fault Next = Fault::None;
  bool IsFull = false;
  std::optional<size_t> ChangesLeft; ///< Changes until the power is cut.
};

} // namespace briarspar::agreement::testing
