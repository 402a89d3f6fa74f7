#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/types/span.h"
#include "agreement/Entry.h"
#include "agreement/VoterId.h"

#include <optional>
#include <vector>

namespace briarspar::agreement {

/// What a voter must not forget about elections.
struct HardState {
  core::Term CurrentTerm;
  std::optional<VoterId> Vote; ///< The candidate voted for in `CurrentTerm`.

  friend bool operator==(const HardState &a, const HardState &b) {
    return a.CurrentTerm == b.CurrentTerm && a.Vote == b.Vote;
  }
};

/// Who the owner of a data folder is. Written once, when the folder is initialized.
struct Identity {
  GroupId Group;
  VoterId Self;
};

/// The durable content of a storage.
struct StoredState {
  Identity Owner;
  HardState Election;
  std::optional<Snapshot> LatestSnapshot;
  std::vector<Entry> Entries; ///< Contiguous; may start before the end of `LatestSnapshot`.
};

/// Durable state of one voter. Not thread-safe. After any error except from `load`, the content on
/// disk is uncertain, every later call fails, and the storage must be opened again.
class LogStorage {
public:
  virtual ~LogStorage() = default;

  /// Reads everything. Returns DataLoss when synced data is missing or damaged.
  virtual absl::StatusOr<StoredState> load() = 0;

  /// Records term and vote. Durable after the next `sync`.
  virtual absl::Status saveHardState(const HardState &state) = 0;

  /// Appends contiguous entries. Stored entries at or after the first index are replaced. Durable
  /// after the next `sync`.
  virtual absl::Status append(absl::Span<const Entry> entries) = 0;

  /// Makes all earlier writes durable.
  virtual absl::Status sync() = 0;

  /// Replaces the snapshot atomically and durably, then the log by `kept`, the entries that remain
  /// after truncation. Includes the effect of `sync`.
  virtual absl::Status saveSnapshot(const Snapshot &snapshot, const HardState &state,
                                    absl::Span<const Entry> kept) = 0;
};

/// Returns the first log entry of a new group. Every first voter starts with this entry, so that a
/// learner receives the configuration with the log.
Entry bootstrapEntry(const Configuration &configuration);

} // namespace briarspar::agreement
