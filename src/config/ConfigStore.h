#pragma once

#include "absl/status/status.h"
#include "config/Command.h"
#include "config/Records.h"
#include "core/Codec.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarspar::config {

/// Bounds of a ConfigStore. All voters use the same values, because the outcome of a resent command
/// depends on them.
struct ConfigStoreSettings {
  /// Remembered command ids; the oldest is forgotten first. At 3,400 changes a day this is more
  /// than four days of resends.
  size_t MaxCommandIds = 16'384;
  /// Remembered removals, which name the winner when a command expects a removed record.
  size_t MaxRemovals = 4'096;
  /// Versions kept for deltas. At 3,400 changes a day this is more than a day.
  size_t MaxHistoryVersions = 4'096;
  /// Total size of the encoded edits kept for deltas, in bytes.
  size_t MaxHistoryBytes = 8 * 1024 * 1024;
  /// Finished moves, and finished shifts, kept on record; the oldest is removed first.
  size_t MaxFinishedMoves = 256;
};

/// The configuration as a deterministic state machine: the same commands in the same order give the
/// same records, version, digest and outcomes on every voter. Not safe to share between threads.
class ConfigStore {
public:
  explicit ConfigStore(const ConfigStoreSettings &settings = {});

  /// Applies one command. A command id that is remembered returns the first outcome and changes
  /// nothing. Every accepted command raises the version by one and stamps the record that it is
  /// about, so of two commands that expect the same version of a record at most one is accepted.
  Outcome apply(const Command &command);

  core::ConfigVersion version() const { return Version; }

  /// Sum of the hashes of all records modulo 2^64. A change costs the hashes of the records that it
  /// touches.
  uint64_t digest() const { return Digest; }

  /// Returns the edits after `from`, or nothing if the history does not reach back to it; the full
  /// state is needed then. `from` at or above the current version gives an empty delta.
  std::optional<Delta> deltaSince(core::ConfigVersion from) const;

  /// Applies a delta. Returns FailedPrecondition if the delta starts above the current version and
  /// DataLoss if its result does not have the delta's digest; the records are then unchanged. A
  /// delta that ends at or below the current version changes nothing.
  absl::Status applyDelta(const Delta &delta);

  const Records &records() const { return Current; }

  /// The whole state for a voter: records, remembered commands and removals.
  std::string snapshot() const;

  /// The records, version and digest only, for a VM that follows deltas.
  std::string fullState() const;

  /// Replaces the state by a snapshot or a full state. Returns an error and keeps the old state for
  /// malformed bytes and for records that do not have the digest. The delta history starts anew.
  absl::Status restore(std::string_view bytes);

private:
  friend class ChangeEvaluator;

  struct Remembered {
    uint64_t Fingerprint = 0; ///< Hash of the change, to detect an id used for two commands.
    Outcome Result;
  };
  struct HistoryEntry {
    core::ConfigVersion Version;
    std::vector<RecordEdit> Edits;
    size_t Bytes = 0;
  };
  using RecordKey = std::pair<RecordKind, std::string>;

  void commit(std::vector<RecordEdit> edits, const std::string &commandId);
  void remember(const Command &command, uint64_t fingerprint, const Outcome &outcome);
  void rememberRemoval(const RecordKey &key, const Stamp &stamp);
  void recordHistory(std::vector<RecordEdit> edits);
  absl::Status restoreCommands(const core::Json &j);
  absl::Status restoreRemovals(const core::Json &j);

  ConfigStoreSettings Settings;
  Records Current;
  core::ConfigVersion Version;
  uint64_t Digest = 0;
  std::map<std::string, Remembered> Commands;
  std::deque<std::string> CommandOrder;
  std::map<RecordKey, Stamp> Removals;
  std::set<std::pair<core::ConfigVersion, RecordKey>> RemovalOrder; ///< One entry per removal.
  std::deque<HistoryEntry> History;
  size_t HistorySize = 0;          ///< Bytes of all entries.
  core::ConfigVersion HistoryBase; ///< Deltas reach back to this version.
};

} // namespace briarspar::config
