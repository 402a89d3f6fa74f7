#pragma once

#include "absl/status/status.h"
#include "agreement/Actions.h"
#include "agreement/LogBuffer.h"
#include "agreement/LogStorage.h"
#include "agreement/RandomSource.h"
#include "agreement/ReplicaSettings.h"
#include "agreement/StateMachine.h"
#include "core/Clock.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace briarspar::agreement {

/// The state shared by election, replication and membership change, with the operations that
/// several of them use. The term, the vote and the log are changed only through these functions,
/// which also write the changes to the storage.
struct ReplicaState {
  ReplicaState(const ReplicaSettings &settings, LogStorage &storage, StateMachine &machine,
               RandomSource &random)
      : Settings(settings), Storage(storage), Machine(machine), Random(random) {}

  const ReplicaSettings Settings;
  LogStorage &Storage;
  StateMachine &Machine;
  RandomSource &Random;

  Identity Owner;
  HardState Hard;
  LogBuffer Log;
  std::shared_ptr<const Snapshot> LatestSnapshot; ///< Null if there is none.

  core::Time Now;
  Role CurrentRole = Role::Follower;
  std::optional<VoterId> Leader;
  core::LogIndex Commit;
  core::LogIndex Applied;
  core::Time ElectionDeadline;  ///< When to campaign unless a leader sends a message before.
  core::Time VotesBlockedUntil; ///< A leader lease may depend on granting no vote before.
  absl::Status Health;

  bool SyncNeeded = false;
  std::set<core::LogIndex> PendingProposals;
  Actions Outputs; ///< Released by `takeActions`, after a sync.

  const VoterId &self() const { return Owner.Self; }
  core::Term term() const { return Hard.CurrentTerm; }
  bool isLeader() const { return CurrentRole == Role::Leader; }

  /// Advances `Now`. Never moves it back.
  void advance(core::Time now);

  /// Queues a message; it is sent after the next sync.
  void send(const VoterId &to, Message body);

  /// Records a new term or vote.
  void saveHardState(const HardState &hard);

  /// Appends entries to the log and the storage. Their indexes follow the last one.
  void append(std::vector<Entry> entries);

  /// Appends one entry of the current term and returns its index.
  core::LogIndex appendInCurrentTerm(EntryKind kind, std::string data);

  void setRole(Role role);

  /// Becomes a follower, and adopts `term` if it is newer. Pending proposals end with Unknown.
  void becomeFollower(core::Term term);

  /// Sets the election deadline to a random time between `shortest` and `longest` from now.
  void resetElectionDeadline(core::Duration shortest, core::Duration longest);

  /// Stops the replica: it sends no further messages. Only a new replica on the reopened storage
  /// continues.
  void fail(absl::Status status);

  /// Ends all pending proposals with an Unknown status.
  void abandonProposals(std::string_view why);
};

/// Returns the largest value that a quorum of the voters has reached. `valueOf` returns the value
/// of one voter.
template <class Value, class ValueOf>
Value quorumValue(const Configuration &configuration, const ValueOf &valueOf) {
  std::vector<Value> values;
  for (const VoterId &id : configuration.Voters)
    values.push_back(valueOf(id));
  std::sort(values.begin(), values.end());
  return values.empty() ? Value() : values[values.size() - configuration.quorumSize()];
}

} // namespace briarspar::agreement
