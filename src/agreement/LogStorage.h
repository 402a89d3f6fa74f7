#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/types/span.h"
#include "agreement/Entry.h"
#include "agreement/VoterId.h"

#include <optional>
#include <vector>

namespace briarspar::agreement {

/// The election state that a voter must persist before it responds.
struct HardState {
  core::Term CurrentTerm;
  std::optional<VoterId> Vote; ///< The candidate voted for in `CurrentTerm`.

  friend bool operator==(const HardState &a, const HardState &b) {
    return a.CurrentTerm == b.CurrentTerm && a.Vote == b.Vote;
  }
};

/// The group and voter to which a data folder belongs. Written once, when it is initialized.
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
/// disk is uncertain, and every later call fails until `load` succeeds.
class LogStorage {
public:
  virtual ~LogStorage() = default;

  /// Reads the stored state, which ends the state of failure after an earlier error. Writes that
  /// were not synced may be missing from it. Returns DataLoss when synced data is missing or
  /// damaged.
  virtual absl::StatusOr<StoredState> load() = 0;

  /// Records term and vote. Durable after the next `sync`.
  virtual absl::Status saveHardState(const HardState &state) = 0;

  /// Appends contiguous entries. Stored entries at or after the first index are replaced. Durable
  /// after the next `sync`.
  virtual absl::Status append(absl::Span<const Entry> entries) = 0;

  /// Durably replaces identity and content by a new identity of the same group without any state,
  /// as in the folder of a new VM. After a crash in between, the folder may hold the old identity
  /// without a part of its state, so the old identity must have left the group for good. To be
  /// loaded again afterwards.
  virtual absl::Status renew(const VoterId &self) = 0;

  /// Makes all earlier writes durable.
  virtual absl::Status sync() = 0;

  /// Atomically and durably replaces the snapshot, then replaces the log with `kept`, the entries
  /// that remain after compaction. Includes the effect of `sync`.
  virtual absl::Status saveSnapshot(const Snapshot &snapshot, const HardState &state,
                                    absl::Span<const Entry> kept) = 0;
};

/// Returns the first log entry of a new group. All founding voters start with this entry, so that a
/// learner receives the configuration with the log.
Entry bootstrapEntry(const Configuration &configuration);

} // namespace briarspar::agreement
