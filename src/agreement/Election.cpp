#include "agreement/Election.h"

#include <algorithm>

namespace briarspar::agreement {

bool Election::Campaign::precedes(const Campaign &other) const {
  if (LastTerm != other.LastTerm)
    return LastTerm > other.LastTerm;
  if (LastIndex != other.LastIndex)
    return LastIndex > other.LastIndex;
  return Candidate < other.Candidate;
}

bool Election::tick() {
  if (State.isLeader() || State.Now < State.ElectionDeadline)
    return false;
  if (!State.Log.configuration().isVoter(State.self()))
    return false;
  return startPreVote();
}

bool Election::startPreVote() {
  State.setRole(Role::PreCandidate);
  State.Leader.reset();
  // Retry a failed campaign after a shorter timeout than the one that detects a lost leader, so
  // that a split vote adds little to the time without a leader.
  State.resetElectionDeadline(State.Settings.MinElectionTimeout / 2,
                              State.Settings.MinElectionTimeout);
  support({State.Log.lastTerm(), State.Log.lastIndex(), State.self()});
  Granted.clear();
  sendToVoters(PreVote{State.term().next(), State.Log.lastIndex(), State.Log.lastTerm()});
  return countVote(State.self()) && startVote();
}

bool Election::startVote() {
  State.saveHardState({State.term().next(), State.self()});
  State.setRole(Role::Candidate);
  Granted.clear();
  sendToVoters(Vote{State.term(), State.Log.lastIndex(), State.Log.lastTerm()});
  return countVote(State.self());
}

bool Election::countVote(const VoterId &from) {
  const Configuration &configuration = State.Log.configuration();
  if (configuration.isVoter(from))
    Granted.insert(from);
  return Granted.size() >= configuration.quorumSize();
}

void Election::sendToVoters(const Message &body) {
  for (const VoterId &id : State.Log.configuration().Voters)
    if (id != State.self())
      State.send(id, body);
}

bool Election::logIsCurrent(core::LogIndex lastIndex, core::Term lastTerm) const {
  if (lastTerm != State.Log.lastTerm())
    return lastTerm > State.Log.lastTerm();
  return lastIndex >= State.Log.lastIndex();
}

bool Election::mayHaveLeader() const {
  return State.isLeader() || State.Now < State.VotesBlockedUntil;
}

/// The shortest time between two campaigns of a candidate, so that one without success cannot keep
/// the other voters from electing a leader.
core::Duration Election::supportTime() const { return State.Settings.MinElectionTimeout / 2; }

bool Election::refusesFor(const Campaign &campaign) const {
  return Supported && State.Now < SupportedUntil && Supported->precedes(campaign);
}

void Election::support(const Campaign &campaign) {
  Supported = campaign;
  SupportedUntil = State.Now + supportTime();
}

void Election::onPreVote(const VoterId &from, const PreVote &m) {
  // A replica without a configuration does not know the history of the group, since its VM may
  // have lost its data. It grants no votes.
  if (State.Log.configuration().empty())
    return;
  const Campaign campaign{m.LastTerm, m.LastIndex, from};
  bool granted = m.InTerm > State.term() && !mayHaveLeader() &&
                 logIsCurrent(m.LastIndex, m.LastTerm) && !refusesFor(campaign);
  if (granted) {
    support(campaign);
    // The vote of this campaign would otherwise arrive after this voter's own pre-vote.
    State.ElectionDeadline = std::max(State.ElectionDeadline, SupportedUntil);
  }
  State.send(from, PreVoteResponse{m.InTerm, State.term(), granted});
}

bool Election::onPreVoteResponse(const VoterId &from, const PreVoteResponse &m) {
  if (m.CurrentTerm > State.term()) {
    State.becomeFollower(m.CurrentTerm);
    return false;
  }
  bool counts =
      State.CurrentRole == Role::PreCandidate && m.Granted && m.InTerm == State.term().next();
  return counts && countVote(from) && startVote();
}

void Election::onVote(const VoterId &from, const Vote &m) {
  // Do not adopt the term of an ignored request, or a rejoining voter could depose a working
  // leader.
  if (State.Log.configuration().empty() || mayHaveLeader())
    return;
  if (m.InTerm > State.term())
    State.becomeFollower(m.InTerm);
  bool voteAvailable = !State.Hard.Vote || *State.Hard.Vote == from;
  bool granted = m.InTerm == State.term() && voteAvailable && logIsCurrent(m.LastIndex, m.LastTerm);
  if (granted) {
    State.saveHardState({State.term(), from});
    State.resetElectionDeadline(State.Settings.MinElectionTimeout,
                                State.Settings.MaxElectionTimeout);
  }
  State.send(from, VoteResponse{State.term(), granted});
}

bool Election::onVoteResponse(const VoterId &from, const VoteResponse &m) {
  if (m.InTerm > State.term()) {
    State.becomeFollower(m.InTerm);
    return false;
  }
  bool counts = State.CurrentRole == Role::Candidate && m.Granted && m.InTerm == State.term();
  return counts && countVote(from);
}

} // namespace briarspar::agreement
