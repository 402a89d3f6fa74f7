#include "agreement/FollowerReplication.h"

#include "absl/strings/str_cat.h"
#include "core/Hash.h"

#include <algorithm>
#include <utility>

namespace briarspar::agreement {

bool FollowerReplication::acceptLeader(const VoterId &from, core::Term term) {
  if (term < State.term())
    return false;
  bool secondLeader =
      term == State.term() && (State.isLeader() || (State.Leader && *State.Leader != from));
  if (secondLeader) {
    State.fail(absl::InternalError(absl::StrCat("two leaders in term ", term.Value)));
    return false;
  }
  if (term > State.term() || State.Part != Role::Follower)
    State.becomeFollower(term);
  State.Leader = from;
  State.VotesBlockedUntil = State.Now + State.Settings.MinElectionTimeout;
  State.resetElectionDeadline(State.Settings.MinElectionTimeout, State.Settings.MaxElectionTimeout);
  return State.Health.ok();
}

void FollowerReplication::onAppend(const VoterId &from, const Append &m) {
  AppendAnswer answer;
  answer.PreviousIndex = m.PreviousIndex;
  answer.SentAt = m.SentAt;
  bool accepted = acceptLeader(from, m.InTerm);
  answer.InTerm = State.term();
  if (accepted) {
    answer.Match = lastPossibleMatch(m);
    answer.Success = answer.Match >= m.PreviousIndex;
  }
  if (answer.Success) {
    store(m);
    if (!State.Health.ok())
      return;
    answer.Match = core::LogIndex(m.PreviousIndex.Value + m.Entries.size());
    Apply.advance(std::min(m.Commit, answer.Match));
  }
  State.send(from, answer);
}

/// Returns the previous index when the logs agree there, else an earlier index to try.
core::LogIndex FollowerReplication::lastPossibleMatch(const Append &m) const {
  // Committed entries agree with every leader's log.
  if (m.PreviousIndex <= State.Commit)
    return m.PreviousIndex;
  if (m.PreviousIndex > State.Log.lastIndex())
    return State.Log.lastIndex();
  core::Term mine = *State.Log.termAt(m.PreviousIndex);
  if (mine == m.PreviousTerm)
    return m.PreviousIndex;
  // The whole run of entries of the conflicting term is skipped, to need one round trip per term.
  core::LogIndex it = m.PreviousIndex;
  while (it > State.Commit && *State.Log.termAt(it) == mine)
    it = core::LogIndex(it.Value - 1);
  return it;
}

void FollowerReplication::store(const Append &m) {
  auto contradicts = [this](const Entry &entry) {
    return entry.Index <= State.Commit && entry.Index >= State.Log.boundary() &&
           State.Log.termAt(entry.Index) != entry.InTerm;
  };
  if (std::any_of(m.Entries.begin(), m.Entries.end(), contradicts)) {
    State.fail(absl::InternalError("the leader's log contradicts a committed entry"));
    return;
  }
  auto isNew = [this](const Entry &entry) {
    return entry.Index > State.Commit && State.Log.termAt(entry.Index) != entry.InTerm;
  };
  auto first = std::find_if(m.Entries.begin(), m.Entries.end(), isNew);
  if (first == m.Entries.end())
    return;
  if (first->Index <= State.Log.lastIndex())
    State.Log.truncateFrom(first->Index);
  State.append({first, m.Entries.end()});
}

void FollowerReplication::onInstallSnapshot(const VoterId &from, const InstallSnapshot &m) {
  InstallSnapshotAnswer answer;
  answer.Index = m.Index;
  answer.SentAt = m.SentAt;
  bool accepted = acceptLeader(from, m.InTerm);
  answer.InTerm = State.term();
  if (accepted && m.Index <= State.Commit) {
    Arriving.reset();
    answer.Installed = true;
  } else if (accepted && m.TotalBytes <= State.Settings.MaxSnapshotBytes) {
    takeChunk(m);
    answer.Installed = finishSnapshot(m);
    answer.NextOffset = Arriving ? Arriving->Data.size() : 0;
  }
  State.send(from, answer);
}

void FollowerReplication::takeChunk(const InstallSnapshot &m) {
  bool same = Arriving && Arriving->Index == m.Index && Arriving->Digest == m.Digest;
  if (!same)
    Arriving = Incoming{m.Index, m.Digest, {}};
  if (m.Offset == Arriving->Data.size())
    Arriving->Data += m.Data;
}

bool FollowerReplication::finishSnapshot(const InstallSnapshot &m) {
  if (Arriving->Data.size() != m.TotalBytes)
    return false;
  std::string data = std::move(Arriving->Data);
  Arriving.reset();
  if (core::hash64(data) != m.Digest)
    return false;
  Apply.install({m.Index, m.IndexTerm, m.Members, std::move(data)});
  return State.Health.ok();
}

} // namespace briarspar::agreement
