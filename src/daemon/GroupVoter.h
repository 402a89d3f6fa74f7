#pragma once

#include "agreement/ProposalCallbacks.h"
#include "agreement/Replica.h"
#include "core/Event.h"
#include "daemon/GroupStateMachine.h"
#include "daemon/Messages.h"

#include <memory>

namespace briarspar::daemon {

/// A voter's replica of the agreement group, with the replicated state and the log time. Not
/// thread-safe; used on the control thread.
class GroupVoter {
public:
  using Done = agreement::ProposalCallbacks::Callback;

  /// The storage, random source, sink and sender must outlive the object.
  static absl::StatusOr<std::unique_ptr<GroupVoter>>
  open(const agreement::ReplicaSettings &settings, agreement::LogStorage &storage,
       agreement::RandomSource &random, core::EventSink &events, Sender sender, core::Time now);

  void receive(std::string_view envelope, core::Time now);
  void tick(core::Time now);

  /// Appends a command at the current log time. `done` is called from a later receive(), tick() or
  /// flush(), or immediately if this replica is not the leader.
  void propose(decltype(LogCommand::Payload) payload, core::Time now, Done done);

  /// Performs the replica's pending actions, with a single sync for all commands proposed so far.
  void flush();

  /// Returns true while this replica may act as the leader: it holds the leader lease and its state
  /// contains every acknowledged command.
  bool isLeader(core::Time now) const { return LocalReplica->canRead(now).ok(); }

  /// Admits the new identity of a voter that lost its data. Each call performs at most one step: it
  /// removes the VM's old identity or adds the new one.
  absl::Status admit(const agreement::VoterId &id, core::Time now);

  /// Returns the VM of the leader known to this replica.
  std::optional<core::VmId> leaderHint() const;

  GroupStateMachine &stateMachine() { return Machine; }
  const agreement::Replica &replica() const { return *LocalReplica; }

private:
  GroupVoter(core::EventSink &events, Sender sender) : Events(events), Send(std::move(sender)) {}

  core::Time nextLogTime(core::Time now);

  core::EventSink &Events;
  Sender Send;
  GroupStateMachine Machine;
  std::unique_ptr<agreement::Replica> LocalReplica;
  agreement::ProposalCallbacks Proposals;
  core::Time LeadingSince;          ///< Local time when the replica last became leader.
  core::Time LogTimeAtLeadingStart; ///< Log time at LeadingSince.
  core::Term LeadingTerm;
};

} // namespace briarspar::daemon
