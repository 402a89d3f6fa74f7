#include "agreement/ReplicaState.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace briarspar::agreement {

void ReplicaState::advance(core::Time now) { Now = std::max(Now, now); }

void ReplicaState::send(const VoterId &to, Message body) {
  Outputs.Messages.push_back({Owner.Group, self(), to, std::move(body)});
}

void ReplicaState::saveHardState(const HardState &hard) {
  if (hard == Hard)
    return;
  Hard = hard;
  SyncNeeded = true;
  if (absl::Status status = Storage.saveHardState(Hard); !status.ok())
    fail(status);
}

void ReplicaState::append(std::vector<Entry> entries) {
  if (entries.empty())
    return;
  SyncNeeded = true;
  absl::Status status = Storage.append(entries);
  for (Entry &entry : entries)
    Log.append(std::move(entry));
  if (!status.ok())
    fail(status);
}

core::LogIndex ReplicaState::appendInCurrentTerm(EntryKind kind, std::string data) {
  core::LogIndex index = Log.lastIndex().next();
  std::vector<Entry> entries;
  entries.push_back({index, term(), kind, std::move(data)});
  append(std::move(entries));
  return index;
}

void ReplicaState::setRole(Role role) {
  if (role == CurrentRole)
    return;
  if (role == Role::Leader)
    Outputs.Events.push_back({core::EventId::BecameLeader, {{"term", term().Value}}});
  if (CurrentRole == Role::Leader)
    Outputs.Events.push_back({core::EventId::LostLeadership, {{"term", term().Value}}});
  CurrentRole = role;
  Outputs.RoleChanges.push_back({role, term()});
}

void ReplicaState::becomeFollower(core::Term newTerm) {
  setRole(Role::Follower);
  abandonProposals("leadership lost; the outcome is unknown");
  if (newTerm > term())
    saveHardState({newTerm, std::nullopt});
  Leader.reset();
  resetElectionDeadline(Settings.MinElectionTimeout, Settings.MaxElectionTimeout);
}

void ReplicaState::resetElectionDeadline(core::Duration shortest, core::Duration longest) {
  auto range = static_cast<uint64_t>(longest.Ms - shortest.Ms + 1);
  auto extra = static_cast<int64_t>(Random.next() % range);
  ElectionDeadline = Now + shortest + core::Duration{extra};
}

void ReplicaState::fail(absl::Status status) {
  if (!Health.ok())
    return;
  Health = std::move(status);
  Outputs.Events.push_back(
      {core::EventId::StorageFailed, {{"reason", std::string(Health.message())}}});
  setRole(Role::Follower);
  Leader.reset();
  abandonProposals("the replica stopped; the outcome is unknown");
  Outputs.Messages.clear();
}

void ReplicaState::abandonProposals(std::string_view why) {
  for (core::LogIndex index : PendingProposals)
    Outputs.Results.push_back({index, absl::UnknownError(std::string(why))});
  PendingProposals.clear();
}

} // namespace briarspar::agreement
