#pragma once

#include "absl/types/span.h"
#include "link/Messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace briarspar::link {

/// The list of live entry VMs. The leader updates it and sends the differences to an earlier list;
/// each entry VM holds a copy. In a fleet that restarts VM by VM the list changes several times per
/// second, and the whole list would exceed all other messages. Not thread-safe.
class EntryList {
public:
  /// Earlier lists from which the leader can compute differences: at ten changes per second, those
  /// of the last 3 s.
  static constexpr size_t MaxEarlierLists = 32;

  /// Replaces the list, which must be in ascending order of id. Returns whether it has changed.
  bool update(std::vector<EntryLocation> entries);

  /// Returns the difference to the list with this digest; the whole list if that is not known, and
  /// an empty change if it is the current one.
  EntryChange since(uint64_t digest) const;

  /// Applies a change. Returns false and keeps the list if the change starts from another list.
  bool apply(const EntryChange &change);

  absl::Span<const EntryLocation> entries() const { return Entries; }

  /// Digest of the entries; 0 until the first update.
  uint64_t digest() const { return Digest; }

private:
  using Version = std::pair<uint64_t, std::vector<EntryLocation>>;

  std::vector<EntryLocation> Entries;
  uint64_t Digest = 0;
  std::deque<Version> Earlier; ///< By digest; the most recent last.
};

} // namespace briarspar::link
