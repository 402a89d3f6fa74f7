#include "agreement/MemoryLogStorage.h"

#include <utility>

namespace briarspar::agreement {

MemoryLogStorage::MemoryLogStorage(const Identity &owner, const Configuration *first) {
  Durable.Owner = owner;
  if (first != nullptr)
    Durable.Entries.push_back(bootstrapEntry(*first));
}

void MemoryLogStorage::crash() {
  Unsynced.clear();
  Failure = absl::OkStatus();
}

absl::StatusOr<StoredState> MemoryLogStorage::load() {
  if (!Failure.ok())
    return Failure;
  Unsynced.clear();
  return Durable;
}

absl::Status MemoryLogStorage::saveHardState(const HardState &state) {
  Unsynced.emplace_back([state](StoredState &stored) { stored.Election = state; });
  return Failure;
}

absl::Status MemoryLogStorage::append(absl::Span<const Entry> entries) {
  for (const Entry &entry : entries)
    Unsynced.emplace_back([entry](StoredState &stored) {
      while (!stored.Entries.empty() && stored.Entries.back().Index >= entry.Index)
        stored.Entries.pop_back();
      stored.Entries.push_back(entry);
    });
  return Failure;
}

absl::Status MemoryLogStorage::renew(const VoterId &self) {
  if (!Failure.ok())
    return Failure;
  Unsynced.clear();
  Durable = {{Durable.Owner.Group, self}, {}, {}, {}};
  return absl::OkStatus();
}

absl::Status MemoryLogStorage::sync() {
  if (!Failure.ok())
    return Failure;
  for (const auto &write : Unsynced)
    write(Durable);
  Unsynced.clear();
  ++Syncs;
  return absl::OkStatus();
}

absl::Status MemoryLogStorage::saveSnapshot(const Snapshot &snapshot, const HardState &state,
                                            absl::Span<const Entry> kept) {
  if (!Failure.ok())
    return Failure;
  Unsynced.clear();
  Durable.LatestSnapshot = snapshot;
  Durable.Election = state;
  Durable.Entries.assign(kept.begin(), kept.end());
  ++Syncs;
  return absl::OkStatus();
}

} // namespace briarspar::agreement
