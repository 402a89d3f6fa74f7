#pragma once

#include "agreement/LeaderReplication.h"
#include "agreement/ReplicaState.h"

namespace briarspar::agreement {

/// Changes the configuration by one member at a time, so that quorums of the old and the new
/// configuration always share a voter.
class MembershipChange {
public:
  MembershipChange(ReplicaState &state, LeaderReplication &leader) : State(state), Leader(leader) {}

  absl::Status addVoter(const VoterId &id);
  absl::Status removeVoter(const VoterId &id);

  /// Makes a learner that has caught up a voter.
  void promoteLearner();

private:
  absl::Status readyForChange() const;
  void change(const Configuration &next);

  ReplicaState &State;
  LeaderReplication &Leader;
};

} // namespace briarspar::agreement
