#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "agreement/Actions.h"
#include "agreement/LogStorage.h"
#include "agreement/RandomSource.h"
#include "agreement/ReplicaSettings.h"
#include "agreement/StateMachine.h"
#include "core/Clock.h"

#include <memory>
#include <optional>
#include <string_view>

namespace briarspar::agreement {

struct ReplicaImpl;

/// One voter or learner of an agreement group, as a deterministic state machine. It owns no thread,
/// socket or clock. Not thread-safe: one thread makes all calls, with times that never decrease.
/// After every call that takes a time the embedder calls `takeActions` and carries out the actions.
class Replica {
public:
  /// Loads the stored state. The state machine must be empty; it is restored from the snapshot.
  /// The references must outlive the replica. Returns the storage's error, or DataLoss when the
  /// stored state is inconsistent.
  static absl::StatusOr<std::unique_ptr<Replica>> open(const ReplicaSettings &settings,
                                                       LogStorage &storage, StateMachine &machine,
                                                       RandomSource &random, core::Time now);

  ~Replica();
  Replica(const Replica &) = delete;
  Replica &operator=(const Replica &) = delete;

  /// Processes a message from another replica. Messages for another group or identity are ignored.
  void receive(const Envelope &envelope, core::Time now);

  /// Advances timers. To be called at least every 50 ms.
  void tick(core::Time now);

  /// Appends a command and returns its index; the result follows in `takeActions`. Returns
  /// Unavailable when this replica is not the leader or its storage failed, InvalidArgument for a
  /// command that is too long, and ResourceExhausted when too many proposals are pending.
  absl::StatusOr<core::LogIndex> propose(std::string_view command, core::Time now);

  /// Adds a voter, first as a learner; the leader makes it a voter when it has caught up. Returns
  /// Unavailable when not the leader, FailedPrecondition while another change is in progress or an
  /// older identity of the VM is still a member, and InvalidArgument for an identity that was used
  /// before.
  absl::Status addVoter(const VoterId &id, core::Time now);

  /// Removes a voter or learner. Returns Unavailable when not the leader, FailedPrecondition while
  /// another change is in progress or when it is the last voter, and NotFound for a non-member.
  absl::Status removeVoter(const VoterId &id, core::Time now);

  /// Returns whether this replica has the leader role. Another replica may already lead a newer
  /// term; only the leader lease excludes that.
  bool isLeader() const;

  /// Returns whether no other replica can be leader at `now`.
  bool holdsLeaderLease(core::Time now) const;

  /// Returns OK when a read of the local state machine is linearizable, that is, when it holds
  /// every command acknowledged by any replica before `now`: this replica holds the leader lease
  /// and has committed an entry of the current term. Returns Unavailable otherwise.
  absl::Status canRead(core::Time now) const;

  /// Returns the leader from which this replica last received a message in the current term.
  std::optional<VoterId> leaderHint() const;

  /// Writes and syncs the entries appended since the last call, then returns the messages and
  /// results that depend on them. Proposals made before one call share one sync.
  Actions takeActions();

  const VoterId &self() const;
  Role role() const;
  core::Term term() const;
  core::LogIndex commitIndex() const;
  core::LogIndex lastIndex() const;

  /// Returns the newest configuration in the log, committed or not.
  const Configuration &configuration() const;

  /// Returns the newest committed configuration.
  const Configuration &committedConfiguration() const;

  /// Returns the time of the newest message that a member acknowledged to this leader, or when the
  /// leader began to send to it.
  core::Time lastAcknowledged(const VoterId &id) const;

  /// Returns OK, or the error that stopped this replica.
  absl::Status health() const;

private:
  explicit Replica(std::unique_ptr<ReplicaImpl> impl);

  std::unique_ptr<ReplicaImpl> Impl;
};

} // namespace briarspar::agreement
