#include "daemon/ControlNode.h"

namespace briarspar::daemon {

namespace {

/// Interval at which a voter that is no member of the group asks to be admitted.
constexpr core::Duration JoinInterval{1000};

/// Messages of one round that a node may send to itself. More would be a loop between two duties.
constexpr size_t MaxLocalMessages = 100'000;

} // namespace

absl::StatusOr<std::unique_ptr<ControlNode>>
ControlNode::create(const VmIdentity &identity, const VoterDependencies *voter,
                    const core::Clock &clock, core::EventSink &events, Sender sender,
                    lease::LeaseHolder::Random random, VmAgentListener &listener) {
  std::unique_ptr<ControlNode> node(new ControlNode(identity, clock, std::move(sender)));
  Sender loop = [self = node.get()](const core::VmId &to, std::string_view kind,
                                    std::string bytes) { self->send(to, kind, std::move(bytes)); };
  if (voter != nullptr) {
    absl::StatusOr<std::unique_ptr<GroupVoter>> side = GroupVoter::open(
        voter->Settings, *voter->Storage, *voter->Random, events, loop, clock.now());
    if (!side.ok())
      return side.status();
    node->Voter = *std::move(side);
    node->Leader = std::make_unique<GroupLeader>(voter->Leader, *node->Voter, events, loop);
  }
  node->Vm = std::make_unique<VmAgent>(identity, clock, events, loop, std::move(random), listener);
  return node;
}

void ControlNode::send(const core::VmId &to, std::string_view kind, std::string bytes) {
  if (to != Identity.Vm)
    Remote.send(to, kind, std::move(bytes));
  else if (Local.size() < MaxLocalMessages)
    Local.push_back({std::string(kind), std::move(bytes)});
}

void ControlNode::receive(const core::VmId &from, std::string_view kind, std::string_view bytes) {
  Remote.beginBatch();
  if (kind != kind::Batch)
    dispatch(from, kind, bytes);
  else if (absl::StatusOr<std::vector<MessagePart>> parts = decodeBatch(bytes); parts.ok())
    for (const MessagePart &part : *parts)
      dispatch(from, part.Kind, part.Bytes);
  deliverLocal();
  Remote.endBatch();
}

void ControlNode::dispatch(const core::VmId &from, std::string_view kind, std::string_view bytes) {
  core::Time now = Clock.now();
  if (Vm->receive(from, kind, bytes, now) || !Voter)
    return;
  if (kind == kind::Raft)
    Voter->receive(bytes, now);
  else if (Leader->receive(from, kind, bytes, now))
    Voter->flush();
}

void ControlNode::deliverLocal() {
  if (Delivering)
    return;
  Delivering = true;
  while (!Local.empty()) {
    LocalMessage message = std::move(Local.front());
    Local.pop_front();
    dispatch(Identity.Vm, message.Kind, message.Bytes);
  }
  Delivering = false;
}

void ControlNode::tick() {
  core::Time now = Clock.now();
  Remote.beginBatch();
  if (Voter) {
    Voter->tick(now);
    joinGroup(now);
    Leader->tick(now);
    Voter->flush();
  }
  Vm->tick(now);
  deliverLocal();
  Remote.endBatch();
}

void ControlNode::joinGroup(core::Time now) {
  const agreement::VoterId &self = Voter->replica().self();
  if (now < NextJoin || Voter->replica().configuration().contains(self))
    return;
  NextJoin = now + JoinInterval;
  std::string body = core::encodeCbor({{"data", self.DataIncarnation.Value}});
  for (const core::VmId &vm : Identity.Voters)
    if (vm != Identity.Vm)
      send(vm, kind::Join, body);
}

} // namespace briarspar::daemon
