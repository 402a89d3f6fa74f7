#include "agreement/testing/Cluster.h"
#include "core/testing/Property.h"

using namespace briarspar::core;
using namespace briarspar::agreement;
using briarspar::agreement::testing::Cluster;
using briarspar::agreement::testing::ListStateMachine;
using briarspar::agreement::testing::SeededRandomSource;
using briarspar::core::testing::checkProperty;

namespace {

/// Runs voter 0 of a group. The test acts as the other voters.
class ReplicaHarness {
public:
  explicit ReplicaHarness(uint32_t voters, bool first = true)
      : Members(makeMembers(voters)),
        Storage(Identity{GroupId("g"), id(0)}, first ? &Members : nullptr) {
    restart();
  }

  static VoterId id(uint32_t n) { return Cluster::idOf(n, 1); }

  void restart() {
    Storage.crash();
    Machine = {};
    Instance = *Replica::open(Settings, Storage, Machine, Random, Now);
  }

  /// Delivers a message from voter `from` and returns the resulting messages.
  std::vector<Envelope> receive(uint32_t from, const Message &body) {
    Instance->receive({GroupId("g"), id(from), id(0), body}, Now);
    return takeActions().Messages;
  }

  Actions takeActions() { return Instance->takeActions(); }

  /// Makes this replica the leader of the next term with the votes of voters 1 and 2.
  void winElection() {
    Now = Now + Settings.MaxElectionTimeout;
    Instance->tick(Now);
    Term next = Instance->term().next();
    for (uint32_t n : {1U, 2U})
      (void)receive(n, PreVoteResponse{next, Instance->term(), true});
    for (uint32_t n : {1U, 2U})
      (void)receive(n, VoteResponse{next, true});
    cr_assert(Instance->isLeader());
  }

  void acknowledge(uint32_t from, LogIndex match) {
    (void)receive(from, AppendResponse{Instance->term(), true, match, match, Now});
  }

  /// Returns an append without entries that matches the log of a new group.
  static Append heartbeat(uint64_t term, Time now) {
    return {Term(term), LogIndex(1), Term(0), LogIndex(1), now, {}};
  }

  static Configuration makeMembers(uint32_t voters) {
    std::set<VoterId> ids;
    for (uint32_t n = 0; n < voters; ++n)
      ids.insert(id(n));
    return makeConfiguration(ids);
  }

  ReplicaSettings Settings;
  Configuration Members;
  MemoryLogStorage Storage;
  ListStateMachine Machine;
  SeededRandomSource Random{1};
  std::unique_ptr<Replica> Instance;
  Time Now{10'000};
};

template <class T> const T *find(const std::vector<Envelope> &messages) {
  for (const Envelope &envelope : messages)
    if (const T *m = std::get_if<T>(&envelope.Body))
      return m;
  return nullptr;
}

bool hasReadableLeader(Cluster &cluster) {
  Cluster::Node *node = cluster.leader();
  return node && node->Instance->canRead(cluster.localTime(cluster.nodeIndex(node->Id))).ok();
}

bool grantsVote(ReplicaHarness &s, uint64_t term) {
  std::vector<Envelope> out = s.receive(2, Vote{Term(term), LogIndex(100), Term(term - 1)});
  const VoteResponse *answer = find<VoteResponse>(out);
  return answer != nullptr && answer->Granted;
}

} // namespace

/// Guards against committing an entry of an earlier term by counting replicas: a voter without the
/// entry could still be elected and overwrite it.
Test(Replica, earlierTermIsCommittedOnlyWithOwnEntry) {
  ReplicaHarness s(5);
  Append append = ReplicaHarness::heartbeat(1, s.Now);
  append.Entries = {{LogIndex(2), Term(1), EntryKind::Command, "old"}};
  (void)s.receive(1, append);
  s.winElection();
  for (uint32_t n : {1U, 2U})
    s.acknowledge(n, LogIndex(2));
  cr_assert_eq(s.Instance->commitIndex(), LogIndex(1));
  cr_assert_not(s.Instance->canRead(s.Now).ok());
  for (uint32_t n : {1U, 2U})
    s.acknowledge(n, LogIndex(3));
  cr_assert_eq(s.Instance->commitIndex(), LogIndex(3));
  cr_assert(s.Instance->canRead(s.Now).ok());
}

/// Guards against a granted vote while the current leader may hold its lease, also when the voter
/// restarted and lost the time of its last acknowledgement.
Test(Replica, noVoteWhileLeaderMayHoldLease) {
  ReplicaHarness s(3);
  s.Now = s.Now + Duration::seconds(1);
  (void)s.receive(1, ReplicaHarness::heartbeat(1, s.Now));
  s.Now = s.Now + Duration{599};
  cr_assert_not(grantsVote(s, 2));
  s.Now = s.Now + Duration{1};
  cr_assert(grantsVote(s, 2));
  s.restart();
  cr_assert_not(grantsVote(s, 3));
  s.Now = s.Now + s.Settings.MinElectionTimeout;
  cr_assert(grantsVote(s, 3));
}

/// Guards against a second vote in one term after a restart.
Test(Replica, voteSurvivesRestart) {
  ReplicaHarness s(3);
  s.Now = s.Now + s.Settings.MinElectionTimeout;
  cr_assert(grantsVote(s, 2));
  s.restart();
  s.Now = s.Now + s.Settings.MinElectionTimeout;
  cr_assert_not(find<VoteResponse>(s.receive(1, Vote{Term(2), LogIndex(9), Term(1)}))->Granted);
}

/// Guards against a second vote by a voter that lost its data. It has no configuration, and
/// messages to its old identity are ignored.
Test(Replica, voterWithoutDataGrantsNoVote) {
  ReplicaHarness s(3, /*first=*/false);
  s.Now = s.Now + Duration::seconds(5);
  cr_assert(s.receive(1, PreVote{Term(1), LogIndex(9), Term(1)}).empty());
  cr_assert(s.receive(1, Vote{Term(1), LogIndex(9), Term(1)}).empty());
  s.Instance->tick(s.Now);
  cr_assert(s.takeActions().Messages.empty());
  s.Instance->receive({GroupId("g"), ReplicaHarness::id(1), Cluster::idOf(0, 0),
                       ReplicaHarness::heartbeat(1, s.Now)},
                      s.Now);
  cr_assert(s.takeActions().Messages.empty());
}

/// Guards against acknowledging entries that are not on disk, and against unreported storage
/// errors.
Test(Replica, storageErrorStopsAcknowledging) {
  ReplicaHarness s(3);
  Append append = ReplicaHarness::heartbeat(1, s.Now);
  append.Entries = {{LogIndex(2), Term(1), EntryKind::Command, "x"}};
  s.Storage.setFailure(absl::ResourceExhaustedError("disk full"));
  s.Instance->receive({GroupId("g"), ReplicaHarness::id(1), ReplicaHarness::id(0), append}, s.Now);
  Actions actions = s.takeActions();
  cr_assert(actions.Messages.empty());
  cr_assert_eq(actions.Events.back().Id, EventId::StorageFailed);
  cr_assert(absl::IsResourceExhausted(s.Instance->health()));
  cr_assert(s.receive(1, ReplicaHarness::heartbeat(1, s.Now)).empty());
}

/// Guards against a sync for each proposal, and against results before a quorum has synced.
Test(Replica, proposalsShareOneSync) {
  ReplicaHarness s(3);
  s.winElection();
  size_t before = s.Storage.syncCount();
  for (int n = 0; n < 50; ++n)
    cr_assert(s.Instance->propose("c", s.Now).ok());
  cr_assert(s.takeActions().Results.empty());
  cr_assert_eq(s.Storage.syncCount(), before + 1);
  s.Instance->receive(
      {GroupId("g"), ReplicaHarness::id(1), ReplicaHarness::id(0),
       AppendResponse{s.Instance->term(), true, s.Instance->lastIndex(), LogIndex(2), s.Now}},
      s.Now);
  cr_assert_eq(s.takeActions().Results.size(), 50);
}

/// Guards against a leader that keeps its authority while partitioned or after a pause, and against
/// proposals that never get a result.
Test(Replica, leaderStepsDownWhenQuorumIsSilent) {
  ReplicaHarness s(3);
  s.winElection();
  s.acknowledge(1, s.Instance->lastIndex());
  cr_assert(s.Instance->holdsLeaderLease(s.Now));
  cr_assert(s.Instance->propose("c", s.Now).ok());
  // The lease lasts 600 ms, less 1% for the clock rate and 2 ms for the clock resolution.
  cr_assert(s.Instance->holdsLeaderLease(s.Now + Duration{591}));
  cr_assert_not(s.Instance->holdsLeaderLease(s.Now + Duration{592}));
  s.Now = s.Now + Duration{592};
  cr_assert_not(s.Instance->propose("late", s.Now).ok());
  cr_assert_not(s.Instance->isLeader());
  Actions actions = s.takeActions();
  cr_assert_eq(actions.Results.size(), 1);
  cr_assert(absl::IsUnknown(actions.Results[0].Answer.status()));
}

/// Guards against overlapping configuration changes, reuse of an identity, and promotion of a
/// learner before it has caught up.
Test(Replica, votersChangeOneAtATime) {
  ReplicaHarness s(3);
  s.winElection();
  VoterId newId = Cluster::idOf(2, 2);
  cr_assert(absl::IsFailedPrecondition(s.Instance->removeVoter(ReplicaHarness::id(2), s.Now)));
  s.acknowledge(1, s.Instance->lastIndex());
  cr_assert(absl::IsFailedPrecondition(s.Instance->addVoter(newId, s.Now)));
  cr_assert(s.Instance->removeVoter(ReplicaHarness::id(2), s.Now).ok());
  (void)s.takeActions();
  cr_assert(absl::IsFailedPrecondition(s.Instance->addVoter(newId, s.Now)));
  s.acknowledge(1, s.Instance->lastIndex());
  cr_assert(absl::IsInvalidArgument(s.Instance->addVoter(ReplicaHarness::id(2), s.Now)));
  cr_assert(s.Instance->addVoter(newId, s.Now).ok());
  (void)s.takeActions();
  s.acknowledge(1, s.Instance->lastIndex());
  cr_assert(s.Instance->configuration().isLearner(newId));
  auto answer = [&](LogIndex match) {
    s.Instance->receive({GroupId("g"), newId, ReplicaHarness::id(0),
                         AppendResponse{s.Instance->term(), true, match, match, s.Now}},
                        s.Now);
    (void)s.takeActions();
  };
  answer(LogIndex(s.Instance->commitIndex().Value - 1));
  cr_assert(s.Instance->configuration().isLearner(newId));
  answer(s.Instance->commitIndex());
  cr_assert(s.Instance->configuration().isVoter(newId));
}

/// Guards against a rejoining voter that deposes a working leader.
Test(Replica, rejoiningVoterDoesNotDeposeTheLeader) {
  Cluster cluster(3, 5, {});
  cluster.run({3000});
  Term before = cluster.leader()->Instance->term();
  uint32_t other = (cluster.nodeIndex(cluster.leader()->Id) + 1) % 3;
  cluster.Net.isolate(other, 3);
  cluster.run({10'000});
  cluster.Net.healAll();
  cluster.run({3000});
  cr_assert_eq(cluster.leader()->Instance->term(), before);
}

/// Guards against a time without a leader beyond the 2.5 s that the design page allows, after the
/// leader's process crashes.
Test(Replica, newLeaderWithinTwoAndAHalfSeconds) {
  checkProperty("failover time", [](uint64_t seed) {
    Cluster cluster(*rc::gen::element(3U, 5U), seed, {});
    RC_ASSERT(cluster.runUntil({5000}, [&] { return cluster.allVotersCurrent(); }));
    cluster.crash(cluster.nodeIndex(cluster.leader()->Id));
    RC_ASSERT(cluster.runUntil({2500}, [&] { return hasReadableLeader(cluster); }));
  });
}

/// Guards against votes that split again and again between voters that campaign at about the same
/// time: each grants the other's pre-vote, and each votes for itself.
Test(Replica, campaignRefusesLaterOnesInTheOrder) {
  ReplicaHarness s(3);
  s.Now = s.Now + s.Settings.MaxElectionTimeout;
  s.Instance->tick(s.Now);
  cr_assert(find<PreVote>(s.takeActions().Messages) != nullptr);
  auto grantsPreVote = [&](LogIndex lastIndex) {
    std::vector<Envelope> out = s.receive(1, PreVote{Term(1), lastIndex, Term(0)});
    return find<PreVoteResponse>(out)->Granted;
  };
  const LogIndex last = s.Instance->lastIndex();
  cr_assert_not(grantsPreVote(last));
  cr_assert(grantsPreVote(last.next()), "a candidate with a newer log was refused");
  cr_assert_not(grantsPreVote(last), "the order does not hold for a granted campaign");
  s.Now = s.Now + s.Settings.MinElectionTimeout / 2;
  cr_assert(grantsPreVote(last), "a campaign without success refuses others for ever");
}

/// Guards against a voter that grants a pre-vote, campaigns itself before the vote request arrives,
/// and so splits the votes.
Test(Replica, grantedPreVoteDefersOwnCampaign) {
  auto runUntilCampaign = [](ReplicaHarness &s) {
    for (s.Instance->tick(s.Now); find<PreVote>(s.takeActions().Messages) == nullptr;) {
      s.Now = s.Now + Duration{1};
      s.Instance->tick(s.Now);
    }
  };
  ReplicaHarness undisturbed(3);
  runUntilCampaign(undisturbed);
  ReplicaHarness s(3); // Draws the same timeouts.
  s.Now = undisturbed.Now - Duration{1};
  const PreVote preVote{Term(1), s.Instance->lastIndex(), Term(0)};
  cr_assert(find<PreVoteResponse>(s.receive(1, preVote))->Granted);
  const Time granted = s.Now;
  runUntilCampaign(s);
  cr_assert(s.Now >= granted + s.Settings.MinElectionTimeout / 2);
}

/// Guards against the time without a leader of a case in which the votes split five times.
Test(Replica, splitVotesDoNotRepeat) {
  Cluster cluster(3, 686451875194693, {});
  cr_assert(cluster.runUntil({5000}, [&] { return cluster.allVotersCurrent(); }));
  cluster.crash(cluster.nodeIndex(cluster.leader()->Id));
  cr_assert(cluster.runUntil({2500}, [&] { return hasReadableLeader(cluster); }));
}

/// Guards against unbounded snapshot messages, and against a transfer that does not complete when
/// chunks are lost or the receiver restarts.
Test(Replica, snapshotArrivesInBoundedChunks) {
  ReplicaHarness s(3);
  s.Settings.SnapshotInterval = 100;
  s.Settings.RetainedEntries = 5;
  s.Settings.SnapshotChunkBytes = 64;
  s.restart();
  s.winElection();
  for (int n = 0; n < 150; ++n)
    cr_assert(s.Instance->propose("command", s.Now).ok());
  (void)s.takeActions();
  s.acknowledge(1, s.Instance->lastIndex());
  ReplicaHarness follower(3, /*first=*/false);
  Message next = AppendResponse{s.Instance->term(), false, LogIndex(0), LogIndex(1), s.Now};
  size_t chunks = 0;
  for (int round = 0; round < 200; ++round) {
    std::vector<Envelope> out = s.receive(2, next);
    if (out.empty()) { // Duplicate response: the leader resends the chunk at the next heartbeat.
      s.Now = s.Now + s.Settings.Heartbeat;
      s.acknowledge(1, s.Instance->lastIndex());
      s.Instance->tick(s.Now);
      out = s.takeActions().Messages;
    }
    const InstallSnapshot *chunk = find<InstallSnapshot>(out);
    if (chunk == nullptr)
      break;
    ++chunks;
    cr_assert_leq(chunk->Data.size(), 64);
    if (chunks % 3 == 0)
      continue; // Lost.
    if (chunks == 10)
      follower.restart();
    std::vector<Envelope> answers = follower.receive(1, *chunk);
    next = *find<InstallSnapshotResponse>(answers);
  }
  cr_assert_gt(chunks, 10);
  cr_assert(follower.Machine.Commands == s.Machine.Commands);
}
