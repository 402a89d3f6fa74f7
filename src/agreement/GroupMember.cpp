#include "agreement/GroupMember.h"

#include "agreement/Admission.h"

#include <iterator>
#include <utility>

namespace briarspar::agreement {

namespace {

template <class Item> void appendTo(std::vector<Item> &out, std::vector<Item> items) {
  out.insert(out.end(), std::make_move_iterator(items.begin()),
             std::make_move_iterator(items.end()));
}

/// A voter is removed only while the group has an even number of voters, that is, after its
/// replacement has joined.
bool isEven(size_t n) { return n % 2 == 0; }

} // namespace

GroupMember::GroupMember(const GroupMemberSettings &settings, LogStorage &storage,
                         StateMachine &machine, RandomSource &random)
    : Settings(settings), Storage(storage), Machine(machine), Random(random),
      EmptyState(machine.snapshot()) {}

absl::Status GroupMember::open(core::Time now) {
  absl::StatusOr<std::unique_ptr<Replica>> opened =
      Replica::open(Settings.Replica, Storage, Machine, Random, now);
  if (!opened.ok())
    return opened.status();
  Instance = *std::move(opened);
  return absl::OkStatus();
}

void GroupMember::tick(core::Time now) {
  if (!Instance->health().ok())
    reopen(now);
  Instance->tick(now);
  if (isLeading(now))
    removeSilentMember(now);
  requestMembership(now);
}

/// Replaces a replica that has stopped by one that starts from the stored state, as a restart of
/// the process does.
void GroupMember::reopen(core::Time now) {
  if (now - LastReopen < Settings.ReopenInterval)
    return;
  LastReopen = now;
  // The results of pending proposals must not be lost with the replica.
  takeLogActions();
  const std::string cause(Instance->health().message());
  if (!Machine.restore(EmptyState).ok() || !open(now).ok())
    return;
  Outputs.Log.Events.push_back(
      {core::EventId::StorageReopened,
       {{"cause", cause}, {"last", Instance->lastIndex()}, {"term", Instance->term()}}});
}

void GroupMember::receive(const Envelope &envelope, core::Time now) {
  Instance->receive(envelope, now);
}

void GroupMember::onJoin(const core::VmId &from, const VoterId &subject, core::Time now) {
  if (!isLeading(now)) {
    if (std::optional<core::VmId> to =
            joinForwardTarget(Instance->leaderHint(), Settings.Vm, from, subject.Vm))
      Outputs.Membership.push_back({*to, subject});
    return;
  }
  if (Instance->configuration().contains(subject))
    return;
  absl::Status status = admitVoter(*Instance, subject, now);
  Outputs.Log.Events.push_back(
      {core::EventId::VoterAdmitted,
       {{"vm", subject.Vm}, {"data", subject.DataIncarnation}, {"outcome", status.ToString()}}});
}

MemberActions GroupMember::takeActions() {
  takeLogActions();
  return std::exchange(Outputs, {});
}

void GroupMember::takeLogActions() {
  Actions log = Instance->takeActions();
  appendTo(Outputs.Log.Messages, std::move(log.Messages));
  appendTo(Outputs.Log.Results, std::move(log.Results));
  appendTo(Outputs.Log.RoleChanges, std::move(log.RoleChanges));
  appendTo(Outputs.Log.Events, std::move(log.Events));
}

bool GroupMember::isLeading(core::Time now) const {
  return Instance->isLeader() && Instance->canRead(now).ok();
}

std::set<core::VmId> GroupMember::members() const {
  std::set<core::VmId> out;
  for (const VoterId &it : Instance->configuration().Voters)
    out.insert(it.Vm);
  for (const VoterId &it : Instance->configuration().Learners)
    out.insert(it.Vm);
  return out;
}

void GroupMember::requestMembership(core::Time now) {
  const VoterId self = Instance->self();
  if (Instance->configuration().isVoter(self) || now - LastJoin < Settings.JoinInterval)
    return;
  LastJoin = now;
  std::set<core::VmId> to = members();
  to.insert(Seeds.begin(), Seeds.end());
  to.erase(Settings.Vm);
  for (const core::VmId &vm : to)
    Outputs.Membership.push_back({vm, self});
}

void GroupMember::removeSilentMember(core::Time now) {
  const Configuration &group = Instance->configuration();
  if (!isEven(group.Voters.size()))
    return;
  for (const VoterId &it : group.Voters) {
    core::Duration silence = now - Instance->lastAcknowledged(it);
    if (it == Instance->self() || silence < Settings.MemberTimeout)
      continue;
    // Copied because the removal invalidates `it`.
    const VoterId voter = it;
    absl::Status status = Instance->removeVoter(voter, now);
    Outputs.Log.Events.push_back(
        {core::EventId::VoterRemoved,
         {{"vm", voter.Vm}, {"silent_ms", silence}, {"outcome", status.ToString()}}});
    return;
  }
}

} // namespace briarspar::agreement
