#pragma once

#include "agreement/ProposalCallbacks.h"
#include "agreement/Replica.h"
#include "core/Event.h"
#include "daemon/GroupStateMachine.h"
#include "daemon/Messages.h"

#include <memory>

namespace briarspar::daemon {

/// The replica of the agreement group at a voter, with the replicated state and the log time. Not
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
  /// flush(), or at once when this replica does not lead.
  void propose(decltype(LogCommand::Payload) what, core::Time now, Done done);

  /// Carries out the replica's pending actions: one sync for all commands proposed before.
  void flush();

  /// True while this replica may act as the leader: it holds the leader lease and its state holds
  /// every acknowledged command.
  bool isLeader(core::Time now) const { return Log->canRead(now).ok(); }

  /// Admits the new identity of a voter whose old data is lost. Each call takes one step at most:
  /// it removes the older identity of the VM or adds the new one.
  absl::Status admit(const agreement::VoterId &id, core::Time now);

  /// Returns the VM of the leader that this replica knows.
  std::optional<core::VmId> leaderHint() const;

  GroupStateMachine &stateMachine() { return Machine; }
  const agreement::Replica &replica() const { return *Log; }

private:
  GroupVoter(core::EventSink &events, Sender sender) : Events(events), Send(std::move(sender)) {}

  core::Time nextLogTime(core::Time now);

  core::EventSink &Events;
  Sender Send;
  GroupStateMachine Machine;
  std::unique_ptr<agreement::Replica> Log;
  agreement::ProposalCallbacks Proposals;
  core::Time LeadingSince;          ///< This clock, when the replica last became leader.
  core::Time LogTimeAtLeadingStart; ///< Log time at LeadingSince.
  core::Term LeadingTerm;
};

} // namespace briarspar::daemon
