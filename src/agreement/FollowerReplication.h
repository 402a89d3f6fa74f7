#pragma once

#include "agreement/Applier.h"
#include "agreement/ReplicaState.h"

#include <optional>

namespace briarspar::agreement {

/// Takes entries and snapshots from the leader.
class FollowerReplication {
public:
  FollowerReplication(ReplicaState &state, Applier &applier)
      : State(state), EntryApplier(applier) {}

  void onAppend(const VoterId &from, const Append &m);
  void onInstallSnapshot(const VoterId &from, const InstallSnapshot &m);

private:
  /// A snapshot that is arriving in chunks.
  struct IncomingSnapshot {
    core::LogIndex Index;
    uint64_t Digest = 0;
    std::string Data;
  };

  bool acceptLeader(const VoterId &from, core::Term term);
  core::LogIndex lastPossibleMatch(const Append &m) const;
  void store(const Append &m);
  void receiveChunk(const InstallSnapshot &m);
  bool finishSnapshot(const InstallSnapshot &m);

  ReplicaState &State;
  Applier &EntryApplier;
  std::optional<IncomingSnapshot> PartialSnapshot;
};

} // namespace briarspar::agreement
