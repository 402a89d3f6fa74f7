#pragma once

#include "agreement/ReplicaState.h"

namespace briarspar::agreement {

/// Applies committed entries to the state machine and takes snapshots.
class Applier {
public:
  explicit Applier(ReplicaState &state) : State(state) {}

  /// Restores the state machine from the stored snapshot.
  absl::Status restore();

  /// Raises the commit index to `commit`, if that is higher, applies the entries up to it, and
  /// takes a snapshot when one is due.
  void advance(core::LogIndex commit);

  /// Durably replaces the state and the log with a snapshot from the leader.
  void install(Snapshot snapshot);

private:
  void applyNext();
  void takeSnapshot();

  ReplicaState &State;
};

} // namespace briarspar::agreement
