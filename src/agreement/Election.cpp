#include "agreement/Election.h"

namespace briarspar::agreement {

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
  // A failed attempt is repeated sooner than a lost leader is noticed, so that a split vote adds
  // little to the time without a leader.
  State.resetElectionDeadline(State.Settings.MinElectionTimeout / 2,
                              State.Settings.MinElectionTimeout);
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

void Election::onPreVote(const VoterId &from, const PreVote &m) {
  // A replica without a configuration knows nothing of the group's past and supports nobody.
  if (State.Log.configuration().empty())
    return;
  bool granted =
      m.InTerm > State.term() && !mayHaveLeader() && logIsCurrent(m.LastIndex, m.LastTerm);
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
  // Ignored without adopting the term, else a returning voter could end a working leader's term.
  if (State.Log.configuration().empty() || mayHaveLeader())
    return;
  if (m.InTerm > State.term())
    State.becomeFollower(m.InTerm);
  bool unused = !State.Hard.Vote || *State.Hard.Vote == from;
  bool granted = m.InTerm == State.term() && unused && logIsCurrent(m.LastIndex, m.LastTerm);
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
