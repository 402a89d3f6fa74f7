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

struct ReplicaParts {
  ReplicaParts(const ReplicaSettings &settings, LogStorage &storage, StateMachine &machine,
               RandomSource &random)
      : State(settings, storage, machine, random) {}

  ReplicaState State;
  Applier Apply{State};
  Election Elect{State};
  FollowerReplication Follow{State, Apply};
  LeaderReplication Lead{State, Apply};
  MembershipChange Change{State, Lead};

  bool begin(core::Time now);
  void afterElection(bool won);
  void dispatch(const VoterId &from, const Message &body);
  void flush();
};

namespace {

template <class... Handlers> struct Overloaded : Handlers... { using Handlers::operator()...; };
template <class... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

/// Moves the time and ends a lapsed leadership first, so that nothing is done on the strength of
/// it after a pause. Returns false when the replica has stopped.
bool ReplicaParts::begin(core::Time now) {
  State.advance(now);
  if (State.isLeader())
    Lead.checkQuorum();
  return State.Health.ok();
}

void ReplicaParts::afterElection(bool won) {
  if (!won || !State.Health.ok())
    return;
  State.setRole(Role::Leader);
  Lead.start();
}

void ReplicaParts::dispatch(const VoterId &from, const Message &body) {
  Overloaded handlers{
      [&](const PreVote &m) { Elect.onPreVote(from, m); },
      [&](const PreVoteAnswer &m) { afterElection(Elect.onPreVoteAnswer(from, m)); },
      [&](const Vote &m) { Elect.onVote(from, m); },
      [&](const VoteAnswer &m) { afterElection(Elect.onVoteAnswer(from, m)); },
      [&](const Append &m) { Follow.onAppend(from, m); },
      [&](const AppendAnswer &m) { Lead.onAppendAnswer(from, m); },
      [&](const InstallSnapshot &m) { Follow.onInstallSnapshot(from, m); },
      [&](const InstallSnapshotAnswer &m) { Lead.onInstallSnapshotAnswer(from, m); },
  };
  std::visit(handlers, body);
}

void ReplicaParts::flush() {
  if (State.isLeader()) {
    Change.promoteLearner();
    Lead.sendNewEntries();
  }
  if (State.SyncNeeded && State.Health.ok()) {
    State.SyncNeeded = false;
    if (absl::Status status = State.Storage.sync(); !status.ok())
      State.fail(status);
  }
  if (State.isLeader())
    Lead.onSynced();
  if (!State.Health.ok())
    State.Out.Messages.clear();
}

Replica::Replica(std::unique_ptr<ReplicaParts> parts) : Parts(std::move(parts)) {}

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
  auto parts = std::make_unique<ReplicaParts>(settings, storage, machine, random);
  ReplicaState &state = parts->State;
  state.Owner = std::move(stored->Owner);
  state.Hard = stored->Election;
  state.Log = *std::move(log);
  if (stored->Base)
    state.Base = std::make_shared<Snapshot>(*std::move(stored->Base));
  state.Now = now;
  if (absl::Status status = parts->Apply.restore(); !status.ok())
    return status;
  // Before the restart this voter may have acknowledged an append that a leader's lease rests on.
  state.VotesBlockedUntil = now + settings.MinElectionTimeout;
  state.resetElectionDeadline(settings.MinElectionTimeout, settings.MaxElectionTimeout);
  return std::unique_ptr<Replica>(new Replica(std::move(parts)));
}

void Replica::receive(const Envelope &envelope, core::Time now) {
  const Identity &owner = Parts->State.Owner;
  bool mine =
      envelope.Group == owner.Group && envelope.To == owner.Self && envelope.From != owner.Self;
  if (mine && Parts->begin(now))
    Parts->dispatch(envelope.From, envelope.Body);
}

void Replica::tick(core::Time now) {
  if (!Parts->begin(now))
    return;
  if (Parts->State.isLeader())
    Parts->Lead.tick();
  else
    Parts->afterElection(Parts->Elect.tick());
}

absl::StatusOr<core::LogIndex> Replica::propose(std::string_view command, core::Time now) {
  ReplicaState &state = Parts->State;
  if (!Parts->begin(now))
    return absl::UnavailableError("the replica stopped");
  if (!state.isLeader())
    return absl::UnavailableError("not the leader");
  if (command.size() > state.Settings.MaxCommandBytes)
    return absl::InvalidArgumentError("the command is too long");
  if (state.PendingProposals.size() >= state.Settings.MaxPendingProposals)
    return absl::ResourceExhaustedError("too many proposals are pending");
  core::LogIndex index = state.appendOwn(EntryKind::Command, std::string(command));
  if (!state.Health.ok())
    return absl::UnavailableError("the replica stopped");
  state.PendingProposals.insert(index);
  return index;
}

absl::Status Replica::addVoter(const VoterId &id, core::Time now) {
  if (!Parts->begin(now))
    return absl::UnavailableError("the replica stopped");
  return Parts->Change.addVoter(id);
}

absl::Status Replica::removeVoter(const VoterId &id, core::Time now) {
  if (!Parts->begin(now))
    return absl::UnavailableError("the replica stopped");
  return Parts->Change.removeVoter(id);
}

bool Replica::isLeader() const { return Parts->State.isLeader(); }

bool Replica::holdsLeaderLease(core::Time now) const { return Parts->Lead.holdsLease(now); }

absl::Status Replica::canRead(core::Time now) const {
  if (!Parts->Lead.holdsLease(now))
    return absl::UnavailableError("no leader lease");
  if (!Parts->Lead.hasCommittedOwnTerm())
    return absl::UnavailableError("no entry of this leader's term is committed yet");
  return absl::OkStatus();
}

std::optional<VoterId> Replica::leaderHint() const { return Parts->State.Leader; }

Actions Replica::take() {
  Parts->flush();
  return std::exchange(Parts->State.Out, {});
}

const VoterId &Replica::self() const { return Parts->State.self(); }
Role Replica::role() const { return Parts->State.Part; }
core::Term Replica::term() const { return Parts->State.term(); }
core::LogIndex Replica::commitIndex() const { return Parts->State.Commit; }
core::LogIndex Replica::lastIndex() const { return Parts->State.Log.lastIndex(); }

const Configuration &Replica::configuration() const { return Parts->State.Log.configuration(); }

absl::Status Replica::health() const { return Parts->State.Health; }

} // namespace briarspar::agreement
