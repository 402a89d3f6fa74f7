#include "Fixture.h"
#include "core/testing/FaultNetwork.h"

using namespace briarspar;
using namespace briarspar::config;
using namespace briarspar::config::testing;
using core::testing::checkProperty;
using core::testing::FaultNetwork;
using core::testing::FaultSettings;

namespace {

ConfigReplica copyOf(const ConfigStore &store) {
  ConfigReplica replica;
  cr_assert(replica.receiveFullState(store.fullState()).ok());
  return replica;
}

} // namespace

/// Guards against a replica whose version decreases or that diverges from the leader when deltas
/// are lost, duplicated or reordered.
Test(ConfigReplica, convergesDespiteLossAndReordering) {
  checkProperty("the replica converges and its version never decreases", [] {
    FaultSettings settings;
    settings.LossPermille = 300;
    settings.DuplicatePermille = 300;
    FaultNetwork<std::string> network(*rc::gen::arbitrary<uint64_t>(), settings);
    ConfigStoreSettings bounds;
    bounds.MaxHistoryVersions = 8;
    ConfigStore leader = populatedStore(bounds);
    ConfigReplica replica = copyOf(leader);
    std::vector<Command> commands = arbitraryCommands(60);
    core::Time now{};
    auto deliver = [&] {
      while (auto message = network.receive(now)) {
        core::ConfigVersion before = replica.version();
        absl::StatusOr<Delta> delta = decodeDelta(message->Body);
        if (delta.ok())
          RC_ASSERT(replica.receive(*delta) != ConfigReplica::DeltaResult::NeedFullState);
        else
          RC_ASSERT(replica.receiveFullState(message->Body).ok() || replica.version() == before);
        RC_ASSERT(replica.version() >= before);
        RC_ASSERT(replica.version() <= leader.version());
      }
    };
    auto answer = [&] {
      std::optional<Delta> delta = leader.deltaSince(replica.version());
      network.send(0, 1, delta ? encode(*delta) : leader.fullState(), now);
    };
    for (const Command &it : commands) {
      leader.apply(it);
      if (*rc::gen::inRange(0, 3) > 0)
        answer();
      now = now + core::Duration{4};
      deliver();
    }
    network.settings() = {};
    answer();
    now = now + core::Duration{100};
    deliver();
    RC_ASSERT(replica.version() == leader.version());
    RC_ASSERT(replica.digest() == leader.digest());
    ConfigStore check;
    RC_ASSERT(check.restore(leader.fullState()).ok());
  });
}

/// Guards against a replica that keeps records that differ from those of the leader.
Test(ConfigReplica, digestMismatchRequestsFullState) {
  ConfigStore leader = populatedStore();
  ConfigReplica replica = copyOf(leader);
  std::string old = leader.fullState();
  core::ConfigVersion start = replica.version();
  for (int n = 0; n < 5; ++n)
    leader.apply(command(std::to_string(n),
                         UpdateCustomer{core::CustomerId("c0"), uint64_t(n + 1), {}, {}}));
  Delta delta = *leader.deltaSince(start);
  cr_assert_eq(delta.Edits.size(), 1, "edits of one record are merged");
  Delta bad = delta;
  std::get<CustomerRecord>(*bad.Edits[0].Value).Rate = 77;
  cr_assert_eq(replica.receive(bad), ConfigReplica::DeltaResult::NeedFullState);
  cr_assert(replica.needsFullState());
  cr_assert(replica.version() == start);
  cr_assert_eq(replica.records().Customers.begin()->second.Rate, 100);
  cr_assert_eq(replica.receive(delta), ConfigReplica::DeltaResult::NeedFullState);
  cr_assert(replica.receiveFullState(leader.fullState()).ok());
  cr_assert_not(replica.needsFullState());
  cr_assert(replica.version() == leader.version());
  cr_assert(absl::IsFailedPrecondition(replica.receiveFullState(old)));
  cr_assert_eq(replica.receive(delta), ConfigReplica::DeltaResult::Unchanged);
}

/// Guards against undetected divergence when the replica has the same version as the leader.
Test(ConfigReplica, emptyDeltaComparesDigests) {
  ConfigStore leader = populatedStore();
  ConfigStore other = populatedStore();
  leader.apply(command("a", UpdateCustomer{core::CustomerId("c0"), 1, {}, {}}));
  other.apply(command("b", UpdateCustomer{core::CustomerId("c0"), 2, {}, {}}));
  ConfigReplica replica = copyOf(other);
  cr_assert_eq(replica.receive(*leader.deltaSince(replica.version())),
               ConfigReplica::DeltaResult::NeedFullState);
}

/// Guards against an applied delta with a gap, and against a history that grows without bound.
Test(ConfigReplica, gapAndOldVersionsAreDetected) {
  ConfigStoreSettings settings;
  settings.MaxHistoryVersions = 4;
  ConfigStore leader = populatedStore(settings);
  ConfigReplica replica = copyOf(leader);
  for (int n = 0; n < 5; ++n)
    leader.apply(command(std::to_string(n),
                         UpdateCustomer{core::CustomerId("c0"), uint64_t(n + 1), {}, {}}));
  cr_assert_not(leader.deltaSince(replica.version()).has_value());
  Delta late = *leader.deltaSince(core::ConfigVersion(leader.version().Value - 1));
  cr_assert_eq(replica.receive(late), ConfigReplica::DeltaResult::Gap);
  cr_assert_not(replica.needsFullState());
  settings.MaxHistoryVersions = 4096;
  settings.MaxHistoryBytes = 1;
  cr_assert_not(populatedStore(settings).deltaSince(core::ConfigVersion(1)).has_value());
}
