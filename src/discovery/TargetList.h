#pragma once

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "discovery/Target.h"

#include <map>
#include <utility>

namespace briarspar::discovery {

/// Position in the changes of a list. Sequences of different epochs are not comparable.
struct ListVersion {
  uint64_t Epoch = 0; ///< Term of the leader that reads the list; 0 before the first reading.
  uint64_t Sequence = 0;
};

/// All targets, with the changes since earlier versions. The leader of the control group fills it
/// from the platform's list; every entry VM holds a copy that it updates by deltas.
class TargetList {
public:
  /// Starts an epoch of this process's own; an epoch that has been started goes on. The targets
  /// stay.
  void startEpoch(uint64_t epoch);

  /// Takes a complete reading. Targets that it does not name are gone. Returns whether anything
  /// changed.
  bool update(const std::vector<Target> &reading, core::Time now);

  /// Takes those of a part of a reading that have begun to leave, so that nobody waits for the
  /// rest. Targets that are not known yet wait for it. Returns whether anything changed.
  bool updateDraining(absl::Span<const Target> part);

  /// Returns the changes after a version, or everything when the epoch differs.
  core::Json deltaSince(const ListVersion &version, core::Time now) const;

  /// Takes a delta. Returns InvalidArgument for malformed content and FailedPrecondition when it
  /// does not follow the held version.
  absl::Status applyDelta(const core::Json &delta, core::Time now);

  const ListVersion &version() const { return Version; }
  const std::map<core::TargetId, Target> &targets() const { return Targets; }

private:
  ListVersion Version;
  std::map<core::TargetId, Target> Targets;
  std::map<core::TargetId, uint64_t> ChangedAt; ///< Also of targets that have gone.
};

} // namespace briarspar::discovery
