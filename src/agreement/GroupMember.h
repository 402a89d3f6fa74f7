#pragma once

#include "absl/status/status.h"
#include "agreement/LogStorage.h"
#include "agreement/MemberRemoval.h"
#include "agreement/Replica.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarspar::agreement {

struct GroupMemberSettings {
  core::VmId Vm;
  ReplicaSettings Replica;
  core::Duration JoinInterval{500}; ///< Interval between two requests to be added to the group.
  MemberRemovalSettings Removal;
  /// A voter that knows no leader for this long asks whether it is still a member. Most elections
  /// are shorter.
  core::Duration LeaderTimeout{1500};
  core::Duration ReopenInterval{500}; ///< Interval between attempts to reopen a failed storage.
};

/// Message about the membership of one identity.
struct MembershipMessage {
  enum class Kind : uint8_t {
    Join,   ///< The subject asks to be added to the group.
    Retired ///< The subject has left the group and will never be a member again.
  };
  Kind What = Kind::Join;
  core::VmId To;
  VoterId Subject;
  core::Incarnation Newest; ///< Retired: newest incarnation that the group knows of this VM.
};

/// Work that the embedder carries out after calls to a group member.
struct MemberActions {
  Actions Log;
  std::vector<MembershipMessage> Membership; ///< To be sent; may be lost, delayed or duplicated.
};

/// One process of an agreement group whose members come and go: a replica that asks to be added to
/// the group, and that admits and removes voters while it leads. A process that the group has
/// removed learns so from any member and continues under a new identity without its old state.
/// After an error of the storage it continues with what the storage holds as soon as that can be
/// written again. Deterministic; it owns no thread, socket or clock. Not thread-safe. After every
/// call that takes a time the embedder calls `takeActions` and carries out the actions.
class GroupMember {
public:
  /// The references must outlive the object; the state machine must be empty.
  GroupMember(const GroupMemberSettings &settings, LogStorage &storage, StateMachine &machine,
              RandomSource &random);

  /// Loads the stored state. Returns the error of the storage, or DataLoss.
  absl::Status open(core::Time now);

  /// Advances timers. To be called at least every 50 ms.
  void tick(core::Time now);

  /// Processes a message from another replica.
  void receive(const Envelope &envelope, core::Time now);

  /// Processes the request of `subject` to be added to the group, which arrived from the VM `from`.
  /// A member that does not lead forwards it to the leader. Any member answers an identity that has
  /// left the group.
  void onJoin(const core::VmId &from, const VoterId &subject, core::Time now);

  /// Processes the notice of the member `from` that `subject` has left the group. If that is the
  /// own identity, the member takes a new one with the incarnation `fresh`, or a later one where
  /// `newest` requires it. `fresh` is the time of the wall clock in ms.
  void onRetired(const core::VmId &from, const VoterId &subject, core::Incarnation newest,
                 core::Incarnation fresh, core::Time now);

  /// Sets the VMs that are asked besides the known members.
  void setSeeds(const std::vector<core::VmId> &seeds) { Seeds = seeds; }

  MemberActions takeActions();

  /// Returns OK, or the error because of which the member takes no part in the group at present.
  absl::Status health() const { return Instance->health(); }

  /// Returns the replica. The reference is valid until the next call that takes a time.
  Replica &replica() { return *Instance; }
  const Replica &replica() const { return *Instance; }

  /// Returns whether this member leads and its state machine holds every acknowledged command.
  bool isLeading(core::Time now) const;

  /// Returns the VMs of all voters and learners.
  std::set<core::VmId> members() const;

private:
  void reopen(core::Time now);
  absl::Status restart(core::Time now);
  void takeLogActions();
  bool answerRetired(const VoterId &id);
  bool mayHaveBeenRemoved(core::Time now);
  void requestMembership(core::Time now);
  void removeSilentMember(core::Time now);

  const GroupMemberSettings Settings;
  LogStorage &Storage;
  StateMachine &Machine;
  RandomSource &Random;
  const std::string EmptyState; ///< Snapshot of the state machine without any command.
  std::unique_ptr<Replica> Instance;
  std::vector<core::VmId> Seeds;
  /// Members that know an earlier identity of this VM, or were known to it.
  std::set<core::VmId> LastMembers;
  core::Time LastReopen;
  core::Time LastJoin;
  core::Time LastLeader; ///< When a leader was last known, or this member led.
  MemberActions Outputs;
};

} // namespace briarspar::agreement
