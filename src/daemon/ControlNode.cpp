#include "daemon/ControlNode.h"

namespace briarspar::daemon {

namespace {

/// Interval at which a voter that is not a member of the group requests admission.
constexpr core::Duration JoinInterval{1000};

/// Maximum length of the queue of messages from a node to itself. Bounds a message loop between two
/// components.
constexpr size_t MaxLocalMessages = 100'000;

} // namespace

absl::StatusOr<std::unique_ptr<ControlNode>>
ControlNode::create(const VmIdentity &identity, const VoterDependencies *voter,
                    const core::Clock &clock, core::EventSink &events, Sender sender,
                    lease::LeaseHolder::Random random, VmAgentListener &listener) {
  std::unique_ptr<ControlNode> node(new ControlNode(identity, clock, std::move(sender)));
  Sender route = [self = node.get()](const core::VmId &to, std::string_view kind,
                                     std::string bytes) { self->send(to, kind, std::move(bytes)); };
  if (voter != nullptr) {
    absl::StatusOr<std::unique_ptr<GroupVoter>> opened = GroupVoter::open(
        voter->Settings, *voter->Storage, *voter->Random, events, route, clock.now());
    if (!opened.ok())
      return opened.status();
    node->Voter = *std::move(opened);
    node->Leader = std::make_unique<GroupLeader>(voter->Leader, *node->Voter, events, route);
  }
  node->Vm = std::make_unique<VmAgent>(identity, clock, events, route, std::move(random), listener);
  return node;
}

void ControlNode::send(const core::VmId &to, std::string_view kind, std::string bytes) {
  if (to != Identity.Vm)
    Batcher.send(to, kind, std::move(bytes));
  else if (LocalMessages.size() < MaxLocalMessages)
    LocalMessages.push_back({std::string(kind), std::move(bytes)});
}

void ControlNode::receive(const core::VmId &from, std::string_view kind, std::string_view bytes) {
  Batcher.beginBatch();
  if (kind != kind::Batch)
    dispatch(from, kind, bytes);
  else if (absl::StatusOr<std::vector<MessagePart>> parts = decodeBatch(bytes); parts.ok())
    for (const MessagePart &part : *parts)
      dispatch(from, part.Kind, part.Bytes);
  deliverLocal();
  Batcher.endBatch();
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
  while (!LocalMessages.empty()) {
    LocalMessage message = std::move(LocalMessages.front());
    LocalMessages.pop_front();
    dispatch(Identity.Vm, message.Kind, message.Bytes);
  }
  Delivering = false;
}

void ControlNode::tick() {
  core::Time now = Clock.now();
  Batcher.beginBatch();
  if (Voter) {
    Voter->tick(now);
    joinGroup(now);
    Leader->tick(now);
    Voter->flush();
  }
  Vm->tick(now);
  deliverLocal();
  Batcher.endBatch();
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
