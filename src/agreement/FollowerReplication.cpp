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
  AppendResponse response;
  response.PreviousIndex = m.PreviousIndex;
  response.SentAt = m.SentAt;
  bool accepted = acceptLeader(from, m.InTerm);
  response.InTerm = State.term();
  if (accepted) {
    response.Match = lastPossibleMatch(m);
    response.Success = response.Match >= m.PreviousIndex;
  }
  if (response.Success) {
    store(m);
    if (!State.Health.ok())
      return;
    response.Match = core::LogIndex(m.PreviousIndex.Value + m.Entries.size());
    EntryApplier.advance(std::min(m.Commit, response.Match));
  }
  State.send(from, response);
}

/// Returns the previous index if the logs match there, else an earlier index at which to retry.
core::LogIndex FollowerReplication::lastPossibleMatch(const Append &m) const {
  // Every leader's log contains all committed entries.
  if (m.PreviousIndex <= State.Commit)
    return m.PreviousIndex;
  if (m.PreviousIndex > State.Log.lastIndex())
    return State.Log.lastIndex();
  core::Term localTerm = *State.Log.termAt(m.PreviousIndex);
  if (localTerm == m.PreviousTerm)
    return m.PreviousIndex;
  // Skip all entries of the conflicting term, so that finding the match needs one round trip per
  // term instead of one per entry.
  core::LogIndex it = m.PreviousIndex;
  while (it > State.Commit && *State.Log.termAt(it) == localTerm)
    it = core::LogIndex(it.Value - 1);
  return it;
}

void FollowerReplication::store(const Append &m) {
  auto conflicts = [this](const Entry &entry) {
    return entry.Index <= State.Commit && entry.Index >= State.Log.boundary() &&
           State.Log.termAt(entry.Index) != entry.InTerm;
  };
  if (std::any_of(m.Entries.begin(), m.Entries.end(), conflicts)) {
    State.fail(absl::InternalError("the leader's log conflicts with a committed entry"));
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
  InstallSnapshotResponse response;
  response.Index = m.Index;
  response.SentAt = m.SentAt;
  bool accepted = acceptLeader(from, m.InTerm);
  response.InTerm = State.term();
  if (accepted && m.Index <= State.Commit) {
    PartialSnapshot.reset();
    response.Installed = true;
  } else if (accepted && m.TotalBytes <= State.Settings.MaxSnapshotBytes) {
    receiveChunk(m);
    response.Installed = finishSnapshot(m);
    response.NextOffset = PartialSnapshot ? PartialSnapshot->Data.size() : 0;
  }
  State.send(from, response);
}

void FollowerReplication::receiveChunk(const InstallSnapshot &m) {
  bool sameSnapshot =
      PartialSnapshot && PartialSnapshot->Index == m.Index && PartialSnapshot->Digest == m.Digest;
  if (!sameSnapshot)
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
