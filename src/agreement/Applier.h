#pragma once

#include "agreement/ReplicaState.h"

namespace briarspar::agreement {

/// Applies committed entries to the state machine and takes snapshots.
class Applier {
public:
  explicit Applier(ReplicaState &state) : State(state) {}

  /// Restores the state machine from the stored snapshot.
  absl::Status restore();

  /// Applies all entries up to `commit`, if it is newer, and takes a snapshot when one is due.
  void advance(core::LogIndex commit);

  /// Replaces state and log by a snapshot from the leader, durably.
  void install(Snapshot snapshot);

private:
  void applyNext();
  void takeSnapshot();

  ReplicaState &State;
};

} // namespace briarspar::agreement
