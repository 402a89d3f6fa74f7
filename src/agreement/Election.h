#pragma once

#include "agreement/ReplicaState.h"

#include <set>

namespace briarspar::agreement {

/// Pre-vote and vote, both as candidate and as voter. A voter that received an append or a snapshot
/// from a leader within the minimum election timeout grants no votes; the leader lease relies on
/// this.
class Election {
public:
  explicit Election(ReplicaState &state) : State(state) {}

  /// Starts a campaign when the election deadline has passed. Returns true when this replica won.
  bool tick();

  void onPreVote(const VoterId &from, const PreVote &m);
  void onVote(const VoterId &from, const Vote &m);

  /// These return true when this replica won the election.
  bool onPreVoteResponse(const VoterId &from, const PreVoteResponse &m);
  bool onVoteResponse(const VoterId &from, const VoteResponse &m);

private:
  bool startPreVote();
  bool startVote();
  bool countVote(const VoterId &from);
  bool logIsCurrent(core::LogIndex lastIndex, core::Term lastTerm) const;
  bool mayHaveLeader() const;
  void sendToVoters(const Message &body);

  ReplicaState &State;
  std::set<VoterId> Granted; ///< Voters that granted their vote in the current campaign.
};

} // namespace briarspar::agreement
