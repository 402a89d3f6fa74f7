#pragma once

#include "agreement/ReplicaState.h"

#include <set>

namespace briarspar::agreement {

/// Pre-vote and vote, on both sides. A voter that heard from a leader within the shortest election
/// timeout takes no part in electing another one; the leader lease relies on this.
class Election {
public:
  explicit Election(ReplicaState &state) : State(state) {}

  /// Starts a campaign when the deadline has passed. Returns true when this replica won.
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
  std::set<VoterId> Granted; ///< Who supports the current campaign.
};

} // namespace briarspar::agreement
