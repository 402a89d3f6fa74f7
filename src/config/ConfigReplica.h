#pragma once

#include "config/ConfigStore.h"

namespace briarspar::config {

/// The configuration at a VM. It follows deltas and reports when it needs the full state. Its
/// version never decreases. Not safe to share between threads.
class ConfigReplica {
public:
  enum class DeltaResult : uint8_t {
    Applied,       ///< The version rose.
    Unchanged,     ///< The delta ends at or below the current version.
    Gap,           ///< The delta starts above the current version; ask for a delta since version().
    NeedFullState, ///< The digests differ; ask for the full state.
  };

  /// Takes a delta in any order, lost ones and duplicates included.
  DeltaResult receive(const Delta &delta);

  /// Takes the full state. Returns FailedPrecondition for a version below the current one and the
  /// errors of ConfigStore::restore; the records are then unchanged.
  absl::Status receiveFullState(std::string_view bytes);

  /// True from a digest mismatch until a full state has been taken.
  bool needsFullState() const { return Mismatch; }

  core::ConfigVersion version() const { return Store.version(); }
  uint64_t digest() const { return Store.digest(); }
  const Records &records() const { return Store.records(); }

private:
  ConfigStore Store;
  bool Mismatch = false;
};

} // namespace briarspar::config
