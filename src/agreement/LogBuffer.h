#pragma once

#include "absl/status/statusor.h"
#include "agreement/Entry.h"
#include "agreement/LogStorage.h"

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace briarspar::agreement {

/// The in-memory part of the log: the entries after a boundary, and the configurations in these
/// entries and in the snapshot.
class LogBuffer {
public:
  /// Builds the buffer from stored state. Drops entries that conflict with the snapshot; a crash
  /// between the installation of a snapshot and the replacement of the log leaves such entries.
  /// Returns DataLoss when entries between the snapshot and the log are missing.
  static absl::StatusOr<LogBuffer> fromStored(const StoredState &state);

  core::LogIndex lastIndex() const { return core::LogIndex(Boundary.Value + Entries.size()); }
  core::Term lastTerm() const { return Entries.empty() ? BoundaryTerm : Entries.back().InTerm; }

  /// Returns the index before the first entry. Only the term of the entry at the boundary is known.
  core::LogIndex boundary() const { return Boundary; }

  /// Returns nothing for an index before the boundary or after the last entry.
  std::optional<core::Term> termAt(core::LogIndex index) const;

  /// The index must be after the boundary and not after the last entry.
  const Entry &at(core::LogIndex index) const;

  /// Returns entries from `first` until either bound is reached, but at least one if it exists.
  std::vector<Entry> slice(core::LogIndex first, size_t maxCount, size_t maxBytes) const;

  /// Returns all entries after `index`.
  std::vector<Entry> after(core::LogIndex index) const;

  /// Appends an entry whose index follows the last one.
  void append(Entry entry);

  /// Removes the entries at and after `index`.
  void truncateFrom(core::LogIndex index);

  /// Removes the entries up to `index`, which becomes the boundary.
  void compactTo(core::LogIndex index);

  /// Discards all entries and continues after a snapshot.
  void reset(const Snapshot &snapshot);

  /// Returns the newest configuration in the log, or an empty one.
  const Configuration &configuration() const;
  core::LogIndex configurationIndex() const { return Configurations.back().first; }

  /// Returns the configuration in effect at `index`, which must not be before the last snapshot.
  const Configuration &configurationAt(core::LogIndex index) const;

private:
  core::LogIndex Boundary;
  core::Term BoundaryTerm;
  std::deque<Entry> Entries;
  /// Ordered by index; never empty.
  std::vector<std::pair<core::LogIndex, Configuration>> Configurations{{}};
};

} // namespace briarspar::agreement
