#include "agreement/Replica.h"

#include "agreement/Applier.h"
#include "agreement/Election.h"
#include "agreement/FollowerReplication.h"
#include "agreement/LeaderReplication.h"
#include "agreement/MembershipChange.h"
#include "agreement/ReplicaState.h"

#include <utility>
#include <variant>

namespace briarspar::agreement {

struct ReplicaImpl {
  ReplicaImpl(const ReplicaSettings &settings, LogStorage &storage, StateMachine &machine,
              RandomSource &random)
      : State(settings, storage, machine, random) {}

  ReplicaState State;
  Applier EntryApplier{State};
  Election Elections{State};
  FollowerReplication Follower{State, EntryApplier};
  LeaderReplication Leader{State, EntryApplier};
  MembershipChange Membership{State, Leader};

  bool begin(core::Time now);
  void afterElection(bool won);
  void dispatch(const VoterId &from, const Message &body);
  void flush();
};

namespace {

template <class... Handlers> struct Overloaded : Handlers... { using Handlers::operator()...; };
template <class... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

/// Advances the time, then steps down if the leader lease has expired, so that a replica that was
/// paused does not act as leader. Returns false if the replica has stopped.
bool ReplicaImpl::begin(core::Time now) {
  State.advance(now);
  if (State.isLeader())
    Leader.checkQuorum();
  return State.Health.ok();
}

void ReplicaImpl::afterElection(bool won) {
  if (!won || !State.Health.ok())
    return;
  State.setRole(Role::Leader);
  Leader.start();
}

void ReplicaImpl::dispatch(const VoterId &from, const Message &body) {
  Overloaded handlers{
      [&](const PreVote &m) { Elections.onPreVote(from, m); },
      [&](const PreVoteResponse &m) { afterElection(Elections.onPreVoteResponse(from, m)); },
      [&](const Vote &m) { Elections.onVote(from, m); },
      [&](const VoteResponse &m) { afterElection(Elections.onVoteResponse(from, m)); },
      [&](const Append &m) { Follower.onAppend(from, m); },
      [&](const AppendResponse &m) { Leader.onAppendResponse(from, m); },
      [&](const InstallSnapshot &m) { Follower.onInstallSnapshot(from, m); },
      [&](const InstallSnapshotResponse &m) { Leader.onInstallSnapshotResponse(from, m); },
  };
  std::visit(handlers, body);
}

void ReplicaImpl::flush() {
  if (State.isLeader()) {
    Membership.promoteLearner();
    Leader.sendNewEntries();
  }
  if (State.SyncNeeded && State.Health.ok()) {
    State.SyncNeeded = false;
    if (absl::Status status = State.Storage.sync(); !status.ok())
      State.fail(status);
  }
  if (State.isLeader())
    Leader.onSynced();
  if (!State.Health.ok())
    State.Outputs.Messages.clear();
}

Replica::Replica(std::unique_ptr<ReplicaImpl> impl) : Impl(std::move(impl)) {}

Replica::~Replica() = default;

absl::StatusOr<std::unique_ptr<Replica>> Replica::open(const ReplicaSettings &settings,
                                                       LogStorage &storage, StateMachine &machine,
                                                       RandomSource &random, core::Time now) {
  absl::StatusOr<StoredState> stored = storage.load();
  if (!stored.ok())
    return stored.status();
  absl::StatusOr<LogBuffer> log = LogBuffer::fromStored(*stored);
  if (!log.ok())
    return log.status();
  auto impl = std::make_unique<ReplicaImpl>(settings, storage, machine, random);
  ReplicaState &state = impl->State;
  state.Owner = std::move(stored->Owner);
  state.Hard = stored->Election;
  state.Log = *std::move(log);
  if (stored->LatestSnapshot)
    state.LatestSnapshot = std::make_shared<Snapshot>(*std::move(stored->LatestSnapshot));
  state.Now = now;
  if (absl::Status status = impl->EntryApplier.restore(); !status.ok())
    return status;
  // Before the restart this voter may have acknowledged an append on which a leader's lease
  // depends.
  state.VotesBlockedUntil = now + settings.MinElectionTimeout;
  state.resetElectionDeadline(settings.MinElectionTimeout, settings.MaxElectionTimeout);
  return std::unique_ptr<Replica>(new Replica(std::move(impl)));
}

void Replica::receive(const Envelope &envelope, core::Time now) {
  const Identity &owner = Impl->State.Owner;
  bool addressedToSelf =
      envelope.Group == owner.Group && envelope.To == owner.Self && envelope.From != owner.Self;
  if (addressedToSelf && Impl->begin(now))
    Impl->dispatch(envelope.From, envelope.Body);
}

void Replica::tick(core::Time now) {
  if (!Impl->begin(now))
    return;
  if (Impl->State.isLeader())
    Impl->Leader.tick();
  else
    Impl->afterElection(Impl->Elections.tick());
}

absl::StatusOr<core::LogIndex> Replica::propose(std::string_view command, core::Time now) {
  ReplicaState &state = Impl->State;
  if (!Impl->begin(now))
    return absl::UnavailableError("the replica has stopped");
  if (!state.isLeader())
    return absl::UnavailableError("not the leader");
  if (command.size() > state.Settings.MaxCommandBytes)
    return absl::InvalidArgumentError("the command exceeds the size limit");
  if (state.PendingProposals.size() >= state.Settings.MaxPendingProposals)
    return absl::ResourceExhaustedError("too many proposals are pending");
  core::LogIndex index = state.appendInCurrentTerm(EntryKind::Command, std::string(command));
  if (!state.Health.ok())
    return absl::UnavailableError("the replica has stopped");
  state.PendingProposals.insert(index);
  return index;
}

absl::Status Replica::addVoter(const VoterId &id, core::Time now) {
  if (!Impl->begin(now))
    return absl::UnavailableError("the replica has stopped");
  return Impl->Membership.addVoter(id);
}

absl::Status Replica::removeVoter(const VoterId &id, core::Time now) {
  if (!Impl->begin(now))
    return absl::UnavailableError("the replica has stopped");
  return Impl->Membership.removeVoter(id);
}

bool Replica::isLeader() const { return Impl->State.isLeader(); }

bool Replica::holdsLeaderLease(core::Time now) const { return Impl->Leader.holdsLease(now); }

absl::Status Replica::canRead(core::Time now) const {
  if (!Impl->Leader.holdsLease(now))
    return absl::UnavailableError("no leader lease");
  if (!Impl->Leader.hasCommittedInCurrentTerm())
    return absl::UnavailableError("no entry of the current term is committed yet");
  return absl::OkStatus();
}

std::optional<VoterId> Replica::leaderHint() const { return Impl->State.Leader; }

Actions Replica::takeActions() {
  Impl->flush();
  return std::exchange(Impl->State.Outputs, {});
}

const VoterId &Replica::self() const { return Impl->State.self(); }
Role Replica::role() const { return Impl->State.CurrentRole; }
core::Term Replica::term() const { return Impl->State.term(); }
core::LogIndex Replica::commitIndex() const { return Impl->State.Commit; }
core::LogIndex Replica::lastIndex() const { return Impl->State.Log.lastIndex(); }

const Configuration &Replica::configuration() const { return Impl->State.Log.configuration(); }

const Configuration &Replica::committedConfiguration() const {
  return Impl->State.Log.configurationAt(Impl->State.Commit);
}

core::Time Replica::lastAcknowledged(const VoterId &id) const {
  return Impl->Leader.lastAcknowledged(id);
}

absl::Status Replica::health() const { return Impl->State.Health; }

} // namespace briarspar::agreement
