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

/// Limits of a ConfigStore. All voters must use the same values, because the outcome of a resent
/// command depends on them.
struct ConfigStoreSettings {
  /// Command ids kept to detect resends; the oldest is dropped first. At 3,400 changes a day this
  /// covers more than four days.
  size_t MaxCommandIds = 16'384;
  /// Removals kept, so that a conflict can name the command that removed the expected record.
  size_t MaxRemovals = 4'096;
  /// Versions kept for deltas. At 3,400 changes a day this covers more than a day.
  size_t MaxHistoryVersions = 4'096;
  /// Total size of the encoded edits kept for deltas, in bytes.
  size_t MaxHistoryBytes = 8 * 1024 * 1024;
  /// Finished moves to keep, and finished shifts to keep; the oldest record is removed first.
  size_t MaxFinishedMoves = 256;
};

/// The configuration as a deterministic state machine: the same sequence of commands produces the
/// same records, version, digest and outcomes on every voter. Not thread-safe.
class ConfigStore {
public:
  explicit ConfigStore(const ConfigStoreSettings &settings = {});

  /// Applies one command. For a known command id, returns the first outcome and changes nothing.
  /// Every accepted command increments the version and stamps the record that it refers to, so at
  /// most one of two commands that expect the same version of a record is accepted.
  Outcome apply(const Command &command);

  core::ConfigVersion version() const { return Version; }

  /// Returns the sum of the hashes of all records modulo 2^64. Updating it costs only the hashes of
  /// the changed records.
  uint64_t digest() const { return Digest; }

  /// Returns the edits after `from`, or nullopt if the history does not reach back that far and the
  /// full state is needed. If `from` is at or above the current version, the delta is empty.
  std::optional<Delta> deltaSince(core::ConfigVersion from) const;

  /// Applies a delta. Returns FailedPrecondition if the delta starts above the current version, and
  /// DataLoss if the resulting digest differs from that of the delta; the records are unchanged in
  /// both cases. A delta that ends at or below the current version changes nothing.
  absl::Status applyDelta(const Delta &delta);

  const Records &records() const { return Current; }

  /// Returns the whole state for a voter: records, command outcomes and removals.
  std::string snapshot() const;

  /// Returns only the records, version and digest, for a VM that applies deltas.
  std::string fullState() const;

  /// Replaces the state with a snapshot or a full state and clears the delta history. Returns an
  /// error and keeps the old state if the bytes are malformed or the digest does not match the
  /// records.
  absl::Status restore(std::string_view bytes);

private:
  friend class ChangeEvaluator;

  struct AppliedCommand {
    uint64_t Fingerprint = 0; ///< Hash of the change, to detect an id of another command.
    Outcome Result;
  };
  struct HistoryEntry {
    core::ConfigVersion Version;
    std::vector<RecordEdit> Edits;
    size_t Bytes = 0;
  };
  using RecordKey = std::pair<RecordKind, std::string>;

  void commit(std::vector<RecordEdit> edits, const std::string &commandId);
  void rememberCommand(const Command &command, uint64_t fingerprint, const Outcome &outcome);
  void rememberRemoval(const RecordKey &key, const Stamp &stamp);
  void recordHistory(std::vector<RecordEdit> edits);
  absl::Status restoreCommands(const core::Json &j);
  absl::Status restoreRemovals(const core::Json &j);

  ConfigStoreSettings Settings;
  Records Current;
  core::ConfigVersion Version;
  uint64_t Digest = 0;
  std::map<std::string, AppliedCommand> Commands;
  std::deque<std::string> CommandOrder;
  std::map<RecordKey, Stamp> Removals;
  std::set<std::pair<core::ConfigVersion, RecordKey>> RemovalOrder; ///< One entry per removal.
  std::deque<HistoryEntry> History;
  size_t HistorySize = 0;          ///< Size of all entries, in bytes.
  core::ConfigVersion HistoryBase; ///< Oldest version that a delta can start from.
};

} // namespace briarspar::config
