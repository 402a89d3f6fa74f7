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
  if (term > State.term() || State.CurrentRole != Role::Follower)
    State.becomeFollower(term);
  State.Leader = from;
  State.VotesBlockedUntil = State.Now + State.Settings.MinElectionTimeout;
  State.resetElectionDeadline(State.Settings.MinElectionTimeout, State.Settings.MaxElectionTimeout);
  return State.Health.ok();
}

void FollowerReplication::onAppend(const VoterId &from, const Append &m) {
  AppendResponse answer;
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
    EntryApplier.advance(std::min(m.Commit, answer.Match));
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
  InstallSnapshotResponse answer;
  answer.Index = m.Index;
  answer.SentAt = m.SentAt;
  bool accepted = acceptLeader(from, m.InTerm);
  answer.InTerm = State.term();
  if (accepted && m.Index <= State.Commit) {
    PartialSnapshot.reset();
    answer.Installed = true;
  } else if (accepted && m.TotalBytes <= State.Settings.MaxSnapshotBytes) {
    receiveChunk(m);
    answer.Installed = finishSnapshot(m);
    answer.NextOffset = PartialSnapshot ? PartialSnapshot->Data.size() : 0;
  }
  State.send(from, answer);
}

void FollowerReplication::receiveChunk(const InstallSnapshot &m) {
  bool same =
      PartialSnapshot && PartialSnapshot->Index == m.Index && PartialSnapshot->Digest == m.Digest;
  if (!same)
    PartialSnapshot = IncomingSnapshot{m.Index, m.Digest, {}};
  if (m.Offset == PartialSnapshot->Data.size())
    PartialSnapshot->Data += m.Data;
}

bool FollowerReplication::finishSnapshot(const InstallSnapshot &m) {
  if (PartialSnapshot->Data.size() != m.TotalBytes)
    return false;
  std::string data = std::move(PartialSnapshot->Data);
  PartialSnapshot.reset();
  if (core::hash64(data) != m.Digest)
    return false;
  EntryApplier.install({m.Index, m.IndexTerm, m.Members, std::move(data)});
  return State.Health.ok();
}

} // namespace briarspar::agreement
