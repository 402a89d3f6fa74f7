#pragma once

#include "agreement/LogStorage.h"

#include <functional>
#include <vector>

namespace briarspar::agreement {

/// LogStorage in memory, for tests and benchmarks. As on disk, writes are durable only after
/// `sync`.
class MemoryLogStorage final : public LogStorage {
public:
  /// Takes the same arguments as FileLogStorage::initialize.
  MemoryLogStorage(const Identity &owner, const Configuration *first);

  /// Drops the writes since the last sync, as a process crash or power loss does, and clears an
  /// injected failure.
  void crash();

  /// Makes all later calls return `status`.
  void setFailure(absl::Status status) { Failure = std::move(status); }

  /// Returns the number of successful syncs.
  size_t syncCount() const { return Syncs; }

  /// Returns the state that would survive a crash.
  const StoredState &durable() const { return Durable; }

  absl::StatusOr<StoredState> load() override;
  absl::Status saveHardState(const HardState &state) override;
  absl::Status append(absl::Span<const Entry> entries) override;
  absl::Status renew(const VoterId &self) override;
  absl::Status sync() override;
  absl::Status saveSnapshot(const Snapshot &snapshot, const HardState &state,
                            absl::Span<const Entry> kept) override;

private:
  StoredState Durable;
  std::vector<std::function<void(StoredState &)>> Unsynced;
  absl::Status Failure;
  size_t Syncs = 0;
};

} // namespace briarspar::agreement
