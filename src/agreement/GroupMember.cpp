#include "agreement/GroupMember.h"

#include "agreement/Admission.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarspar::agreement {

namespace {

template <class Item> void appendTo(std::vector<Item> &out, std::vector<Item> items) {
  out.insert(out.end(), std::make_move_iterator(items.begin()),
             std::make_move_iterator(items.end()));
}

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
  LastLeader = now;
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
  if (!restart(now).ok())
    return;
  Outputs.Log.Events.push_back(
      {core::EventId::StorageReopened,
       {{"cause", cause}, {"last", Instance->lastIndex()}, {"term", Instance->term()}}});
}

absl::Status GroupMember::restart(core::Time now) {
  absl::Status status = Machine.restore(EmptyState);
  return status.ok() ? open(now) : status;
}

void GroupMember::receive(const Envelope &envelope, core::Time now) {
  // A removed voter that is back asks for votes before it asks to be added.
  if (answerRetired(envelope.From))
    return;
  // A VM that lost its disk learns the members from messages to its earlier identity, since its
  // seeds may all be without state.
  if (envelope.To != Instance->self())
    LastMembers.insert(envelope.From.Vm);
  Instance->receive(envelope, now);
}

void GroupMember::onJoin(const core::VmId &from, const VoterId &subject, core::Time now) {
  if (answerRetired(subject))
    return;
  if (!isLeading(now)) {
    if (std::optional<core::VmId> to =
            joinForwardTarget(Instance->leaderHint(), Settings.Vm, from, subject.Vm))
      Outputs.Membership.push_back({MembershipMessage::Kind::Join, *to, subject, {}});
    return;
  }
  if (Instance->configuration().contains(subject))
    return;
  absl::Status status = admitVoter(*Instance, subject, now);
  Outputs.Log.Events.push_back(
      {core::EventId::VoterAdmitted,
       {{"vm", subject.Vm}, {"data", subject.DataIncarnation}, {"outcome", status.ToString()}}});
}

/// Notifies an identity that has left the group. Returns false for any other.
bool GroupMember::answerRetired(const VoterId &id) {
  // An uncommitted removal may still be undone.
  const Configuration &settled = Instance->committedConfiguration();
  if (!settled.isRetired(id))
    return false;
  Outputs.Membership.push_back(
      {MembershipMessage::Kind::Retired, id.Vm, id, settled.NewestIncarnations.at(id.Vm)});
  return true;
}

void GroupMember::onRetired(const core::VmId &from, const VoterId &subject,
                            core::Incarnation newest, core::Incarnation fresh, core::Time now) {
  if (subject != Instance->self())
    return;
  LastMembers.merge(members());
  LastMembers.insert(from);
  const VoterId next{Settings.Vm, std::max(fresh, core::Incarnation(newest.Value + 1))};
  takeLogActions();
  absl::Status status = Storage.renew(next);
  if (status.ok())
    status = restart(now);
  Outputs.Log.Events.push_back({core::EventId::IdentityRenewed,
                                {{"old", subject.DataIncarnation},
                                 {"new", next.DataIncarnation},
                                 {"outcome", status.ToString()}}});
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

/// Returns whether a voter has known no leader for so long that the group may go on without it. The
/// own log of a removed voter lists it for good, because nobody sends it the entry that removes it.
bool GroupMember::mayHaveBeenRemoved(core::Time now) {
  if (Instance->isLeader() || Instance->leaderHint())
    LastLeader = now;
  return now - LastLeader >= Settings.LeaderTimeout;
}

void GroupMember::requestMembership(core::Time now) {
  const VoterId self = Instance->self();
  if (!mayHaveBeenRemoved(now) && Instance->configuration().isVoter(self))
    return;
  if (!Instance->health().ok() || now - LastJoin < Settings.JoinInterval)
    return;
  LastJoin = now;
  std::set<core::VmId> to = members();
  to.insert(LastMembers.begin(), LastMembers.end());
  to.insert(Seeds.begin(), Seeds.end());
  to.erase(Settings.Vm);
  for (const core::VmId &vm : to)
    Outputs.Membership.push_back({MembershipMessage::Kind::Join, vm, self, {}});
}

void GroupMember::removeSilentMember(core::Time now) {
  const Configuration &group = Instance->configuration();
  std::vector<MemberContact> contacts;
  for (const VoterId &it : group.Voters)
    contacts.push_back({it, true, now - Instance->lastAcknowledged(it)});
  for (const VoterId &it : group.Learners)
    contacts.push_back({it, false, now - Instance->lastAcknowledged(it)});
  std::optional<VoterId> gone = selectRemoval(contacts, Settings.Removal);
  // Refused while the previous change is not committed yet; tried again with the next tick.
  if (!gone || !Instance->removeVoter(*gone, now).ok())
    return;
  Outputs.Log.Events.push_back({core::EventId::VoterRemoved,
                                {{"vm", gone->Vm},
                                 {"data", gone->DataIncarnation},
                                 {"voters", Instance->configuration().Voters.size()}}});
}

} // namespace briarspar::agreement
