#pragma once

#include "config/ConfigStore.h"

namespace briarspar::config {

/// The configuration on a VM. Applies deltas and reports when it needs the full state. Its version
/// never decreases. Not thread-safe.
class ConfigReplica {
public:
  enum class DeltaResult : uint8_t {
    Applied,       ///< The version increased.
    Unchanged,     ///< The delta ends at or below the current version.
    Gap,           ///< The delta starts above the current version; request a delta since version().
    NeedFullState, ///< The digests differ; request the full state.
  };

  /// Applies a delta. Deltas may be lost, duplicated and reordered.
  DeltaResult receive(const Delta &delta);

  /// Replaces the records with a full state. Returns FailedPrecondition for a version below the
  /// current one, or an error of ConfigStore::restore(); the records are unchanged in both cases.
  absl::Status receiveFullState(std::string_view bytes);

  /// Returns true after a digest mismatch until a full state has been received.
  bool needsFullState() const { return DigestMismatch; }

  core::ConfigVersion version() const { return Store.version(); }
  uint64_t digest() const { return Store.digest(); }
  const Records &records() const { return Store.records(); }

private:
  ConfigStore Store;
  bool DigestMismatch = false;
};

} // namespace briarspar::config
