#pragma once

#include "agreement/ReplicaState.h"

#include <optional>
#include <set>

namespace briarspar::agreement {

/// Pre-vote and vote, both as candidate and as voter. A voter that received an append or a snapshot
/// from a leader within the minimum election timeout grants no votes; the leader lease relies on
/// this.
///
/// Campaigns that start at about the same time could split the votes any number of times in a row.
/// So campaigns have an order that is the same at all voters, and a voter that supports a campaign,
/// its own included, refuses the pre-votes of later ones in the order for a while.
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
  /// A campaign as compared by voters.
  struct Campaign {
    core::Term LastTerm;
    core::LogIndex LastIndex;
    VoterId Candidate;
    /// Returns true for the campaign with the newer log or else the lower candidate.
    bool precedes(const Campaign &other) const;
  };

  bool startPreVote();
  bool startVote();
  bool countVote(const VoterId &from);
  bool logIsCurrent(core::LogIndex lastIndex, core::Term lastTerm) const;
  bool mayHaveLeader() const;
  bool refusesFor(const Campaign &campaign) const;
  void support(const Campaign &campaign);
  core::Duration supportTime() const;
  void sendToVoters(const Message &body);

  ReplicaState &State;
  std::set<VoterId> Granted;         ///< Voters that granted their vote in the current campaign.
  std::optional<Campaign> Supported; ///< Last campaign whose pre-vote was granted or sent.
  core::Time SupportedUntil;
};

} // namespace briarspar::agreement
