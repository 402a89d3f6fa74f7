#pragma once

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "discovery/Target.h"

#include <map>
#include <utility>

namespace briarspar::discovery {

/// Position in the change sequence of a list. Sequences of different epochs are not comparable.
struct ListVersion {
  uint64_t Epoch = 0; ///< Term of the leader that reads the list; 0 before the first snapshot.
  uint64_t Sequence = 0;
};

/// All targets, with the changes since earlier versions. The leader of the control group updates it
/// from the platform list; every entry VM holds a copy that it updates by deltas.
class TargetList {
public:
  /// Starts a new epoch of versions and keeps the targets. Repeating the current epoch has no
  /// effect.
  void startEpoch(uint64_t epoch);

  /// Applies a complete snapshot and removes targets that are not in it. Of several entries with
  /// the same id, the one of the latest process counts. Returns whether anything changed.
  bool update(const std::vector<Target> &snapshot, core::Time now);

  /// Applies the draining flags of part of a snapshot, before the rest has arrived. Targets that
  /// are not known yet are ignored until the snapshot is complete. Returns whether anything
  /// changed.
  bool updateDraining(absl::Span<const Target> page);

  /// Returns the changes since a version, or the complete list when the epoch differs.
  core::Json deltaSince(const ListVersion &version, core::Time now) const;

  /// Applies a delta. Returns InvalidArgument for malformed content and FailedPrecondition when it
  /// does not follow the current version.
  absl::Status applyDelta(const core::Json &delta, core::Time now);

  const ListVersion &version() const { return Version; }
  const std::map<core::TargetId, Target> &targets() const { return Targets; }

private:
  ListVersion Version;
  std::map<core::TargetId, Target> Targets;
  /// Sequence of the last change, also for removed targets.
  std::map<core::TargetId, uint64_t> ChangedAt;
};

} // namespace briarspar::discovery
