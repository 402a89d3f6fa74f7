#pragma once

#include "daemon/GroupLeader.h"
#include "daemon/GroupVoter.h"
#include "daemon/MessageBatcher.h"
#include "daemon/VmAgent.h"

#include <deque>
#include <memory>
#include <string>

namespace briarspar::daemon {

/// What a node needs to take part in the agreement group.
struct VoterDependencies {
  agreement::ReplicaSettings Settings;
  LeaderSettings Leader;
  agreement::LogStorage *Storage = nullptr;
  agreement::RandomSource *Random = nullptr;
};

/// All control state of one VM as one deterministic object: the voter and leader duties where the
/// VM has a disk, and the VM's own duties. It owns no thread, socket, clock or random source. Not
/// thread-safe; VmAgent marks what traffic threads may call.
class ControlNode {
public:
  /// `voter` is null for a VM without a disk. All references must outlive the node.
  static absl::StatusOr<std::unique_ptr<ControlNode>>
  create(const VmIdentity &identity, const VoterDependencies *voter, const core::Clock &clock,
         core::EventSink &events, Sender sender, lease::LeaseHolder::Random random,
         VmAgentListener &listener);

  /// Takes a message from another process.
  void receive(const core::VmId &from, std::string_view kind, std::string_view bytes);

  /// Runs all periodic duties. Call it every 5 to 10 ms.
  void tick();

  VmAgent &vm() { return *Vm; }
  /// Null at a VM without a disk.
  GroupVoter *voter() { return Voter.get(); }
  GroupLeader *leader() { return Leader.get(); }

  /// True while this node acts as the group's leader.
  bool isLeader() const { return Voter && Voter->isLeader(Clock.now()); }

private:
  struct LocalMessage {
    std::string Kind;
    std::string Bytes;
  };

  ControlNode(const VmIdentity &identity, const core::Clock &clock, Sender sender)
      : Identity(identity), Clock(clock), Remote(std::move(sender)) {}

  void send(const core::VmId &to, std::string_view kind, std::string bytes);
  void dispatch(const core::VmId &from, std::string_view kind, std::string_view bytes);
  void deliverLocal();
  void joinGroup(core::Time now);

  VmIdentity Identity;
  const core::Clock &Clock;
  MessageBatcher Remote;
  std::deque<LocalMessage> Local;
  bool Delivering = false;
  core::Time NextJoin;
  std::unique_ptr<GroupVoter> Voter;
  std::unique_ptr<GroupLeader> Leader;
  std::unique_ptr<VmAgent> Vm;
};

} // namespace briarspar::daemon
