#include "Fixture.h"

#include <algorithm>
#include <numeric>

using namespace briarspar;
using namespace briarspar::config;
using namespace briarspar::config::testing;
using core::testing::checkProperty;

namespace {

Outcome applyChange(ConfigStore &store, Change what, uint64_t expected = 0) {
  static int id = 0;
  return store.apply(command("change" + std::to_string(++id), std::move(what), expected));
}

void assertInvalid(ConfigStore &store, Change what, const std::string &reason) {
  Outcome outcome = applyChange(store, std::move(what));
  cr_assert_eq(outcome.Status, Outcome::Invalid);
  cr_assert(outcome.Reason.find(reason) != std::string::npos, "%s", outcome.Reason.c_str());
}

} // namespace

/// Guards against a command for several blocks that takes effect in part, and against two accepted
/// notations of one block.
Test(ConfigStore, blocksChangeAtomically) {
  ConfigStore store = populatedStore();
  auto set = [&store](std::string id, std::vector<BlockId> blocks, uint64_t expected = 0) {
    return store
        .apply(command(std::move(id), SetBlocks{std::move(blocks), core::RegionId("eu")}, expected))
        .Status;
  };
  BlockId a("10.1.0.0/16");
  BlockId b("10.2.0.0/16");
  cr_assert_eq(set("a", {a, b}), Outcome::Accepted);
  cr_assert_eq(set("b", {a, b}, store.version().Value), Outcome::Invalid);
  cr_assert_eq(set("c", {a}, store.version().Value), Outcome::Accepted);
  for (const char *wrong : {"10.1.0.0/08", "10.1.0.0/8", "10.01.0.0/16", "10.1.0.0/33", "10.1.0.0"})
    cr_assert_eq(set(std::string("wrong-") + std::to_string(wrong[3]) +
                         std::to_string(std::string(wrong).size()),
                     {b, BlockId(wrong)}),
                 Outcome::Invalid, "%s", wrong);
  DeleteBlocks both{{b, BlockId("10.3.0.0/16")}};
  cr_assert_eq(store.apply(command("d", both)).Status, Outcome::Invalid);
  cr_assert_eq(store.records().Blocks.size(), 2);
  cr_assert_eq(store.apply(command("e", DeleteBlocks{{a, b}})).Status, Outcome::Accepted);
  cr_assert(store.records().Blocks.empty());

  // A larger table would exceed the size of the frame that carries a full state.
  for (int n = 0; n < 79; ++n) {
    std::vector<BlockId> blocks;
    for (int k = 0; k < 256; ++k)
      blocks.emplace_back("10." + std::to_string(n) + "." + std::to_string(k) + ".0/24");
    Outcome::Kind wanted = n < 78 ? Outcome::Accepted : Outcome::Invalid;
    cr_assert_eq(set("many-" + std::to_string(n), blocks), wanted);
  }
}

/// Guards against a delayed proposal of an earlier leader that moves the callers of a region away
/// again after its successor returned them, and against a snapshot that loses the shares.
Test(ConfigStore, staleRegionFailureProposalConflicts) {
  ConfigStore store;
  SetRegionFailure down{
      core::RegionId("eu"), true, RegionFailureCause::Targets, 70, {{core::RegionId("us"), 9'000}}};
  cr_assert_eq(store.apply(command("a", down)).Status, Outcome::Accepted);
  uint64_t first = store.version().Value;
  SetRegionFailure returning = down;
  returning.Down = false;
  returning.ForcedShares[0].BasisPoints = 8'000;
  cr_assert_eq(store.apply(command("b", returning, first)).Status, Outcome::Accepted);
  cr_assert_eq(store.apply(command("late", down, first)).Status, Outcome::Conflict);
  cr_assert_eq(store.apply(command("new", down)).Status, Outcome::Conflict);

  ConfigStore copy;
  cr_assert(copy.restore(store.fullState()).ok());
  cr_assert_eq(copy.digest(), store.digest());
  cr_assert_eq(copy.records().RegionFailures.at(down.Id).ForcedShares[0].BasisPoints, 8'000);

  returning.ForcedShares[0].BasisPoints = 10'001;
  cr_assert_eq(store.apply(command("c", returning, first + 1)).Status, Outcome::Invalid);
  returning.ForcedShares.clear();
  cr_assert_eq(store.apply(command("d", returning, first + 1)).Status, Outcome::Accepted);
  cr_assert(store.records().RegionFailures.empty());
}

/// Guards against a resend that takes effect twice or returns a different outcome.
Test(ConfigStore, resendGetsTheFirstOutcome) {
  checkProperty("resends change nothing", [] {
    std::vector<Command> commands = arbitraryCommands(40);
    ConfigStore once = populatedStore();
    ConfigStore resent = populatedStore();
    std::vector<std::string> first;
    for (size_t n = 0; n < commands.size(); ++n) {
      Outcome outcome = once.apply(commands[n]);
      RC_ASSERT(encode(resent.apply(commands[n])) == encode(outcome));
      first.push_back(encode(outcome));
      size_t earlier = *rc::gen::inRange<size_t>(0, n + 1);
      Outcome again = resent.apply(commands[earlier]);
      RC_ASSERT(again.Replayed);
      again.Replayed = false;
      RC_ASSERT(encode(again) == first[earlier]);
    }
    RC_ASSERT(once.snapshot() == resent.snapshot());
  });
}

/// Guards against two accepted commands that expect the same version of a record.
Test(ConfigStore, onlyOneOfEqualExpectedVersionsIsAccepted) {
  checkProperty("one is accepted, the others conflict and name it", [] {
    const ConfigStore start = populatedStore();
    auto versionOf = [](const auto &table, const char *id) {
      return table.at(decltype(table.begin()->second.Id)(id)).Changed.Version.Value;
    };
    const Records &records = start.records();
    core::CustomerId customer("c0");
    core::RouteId route("r0");
    uint64_t customerVersion = versionOf(records.Customers, "c0");
    uint64_t routeVersion = versionOf(records.Routes, "r0");
    uint64_t targetVersion = versionOf(records.Targets, "t1");
    uint64_t vmVersion = versionOf(records.Vms, "vm1");
    uint64_t keyVersion = records.Keys.begin()->second.Changed.Version.Value;
    uint64_t capVersion = versionOf(records.Caps, "all");
    core::VersionId next("v2");
    core::KeyId key = records.Keys.begin()->first;
    std::vector<std::vector<Command>> races{
        {command("a", UpdateCustomer{customer, 7, {}, {}}, customerVersion),
         command("b", UpdateCustomer{customer, 8, {}, {}}, customerVersion),
         command("c", CreateKey{customer, digestOf(1)}, customerVersion),
         command("d", CreateKey{customer, digestOf(2)}, customerVersion)},
        {command("a", StartMove{route, next, core::Duration{900}}, routeVersion),
         command("b", StartMove{route, next, core::Duration{800}}, routeVersion)},
        {command("a", StartDrain{DrainKind::Target, "t1", {}}, targetVersion),
         command("b", StartDrain{DrainKind::Target, "t1", core::Duration{5}}, targetVersion)},
        {command("a", StartDrain{DrainKind::Vm, "vm1", {}}, vmVersion),
         command("b", RemoveVm{core::VmId("vm1")}, vmVersion)},
        {command("a", WithdrawKey{key}, keyVersion), command("b", WithdrawKey{key}, keyVersion)},
        {command("a", SetCap{CapId("all"), 10, core::Duration{1}}, capVersion),
         command("b", SetCap{CapId("all"), 20, core::Duration{1}}, capVersion)},
        {command("a", StartShift{"eu", "us", 100, core::Duration{9000}}),
         command("b", StartShift{"eu", "us", 200, core::Duration{9000}})},
        {command("a", CreateCustomer{core::CustomerId("c9"), 1, 1, 1}),
         command("b", CreateCustomer{core::CustomerId("c9"), 2, 2, 1})},
        {command("a", StartDrain{DrainKind::Region, "eu", {}}),
         command("b", StartDrain{DrainKind::Region, "eu", core::Duration{5}})}};
    std::vector<Command> race = *rc::gen::elementOf(races);
    std::vector<size_t> order(race.size());
    std::iota(order.begin(), order.end(), 0);
    for (size_t n = order.size(); n > 1; --n)
      std::swap(order[n - 1], order[*rc::gen::inRange<size_t>(0, n)]);
    ConfigStore store = start;
    for (size_t n = 0; n < order.size(); ++n) {
      Outcome outcome = store.apply(race[order[n]]);
      RC_ASSERT(outcome.Status == (n == 0 ? Outcome::Accepted : Outcome::Conflict));
      if (n > 0)
        RC_ASSERT(outcome.WinningCommand == race[order[0]].Id);
    }
    RC_ASSERT(store.version() == start.version().next());
  });
}

/// Guards against a second accepted command for an expected version after the first one is
/// cancelled.
Test(ConfigStore, expectedVersionStaysUsedAfterCancel) {
  ConfigStore store = populatedStore();
  core::RouteId route("r0");
  uint64_t version = store.records().Routes.at(route).Changed.Version.Value;
  StartMove move{route, core::VersionId("v2"), core::Duration{900}};
  Outcome started = applyChange(store, move, version);
  core::MoveId id(started.Subject);
  applyChange(store, CancelMove{id});
  applyChange(store, UpdateMove{id, MoveState::RolledBack, "cancelled", 0, ""});
  cr_assert_eq(applyChange(store, move, version).Status, Outcome::Conflict);
  cr_assert_eq(applyChange(store, move).Status, Outcome::Accepted);
}

/// Guards against a second command with the same id that is mistaken for a resend.
Test(ConfigStore, reusedCommandIdIsInvalid) {
  ConfigStore store = populatedStore();
  store.apply(command("x", CreateCustomer{core::CustomerId("c1"), 1, 1, 1}));
  Outcome outcome = store.apply(command("x", CreateCustomer{core::CustomerId("c2"), 1, 1, 1}));
  cr_assert_eq(outcome.Status, Outcome::Invalid);
  cr_assert_eq(store.records().Customers.count(core::CustomerId("c2")), 0);
  // A sender that lost the answer may have generated another key.
  CreateKey key{core::CustomerId("c1"), digestOf(1)};
  Outcome first = store.apply(command("y", key));
  key.Digest = digestOf(2);
  Outcome again = store.apply(command("y", key));
  cr_assert_eq(again.Subject, first.Subject);
  cr_assert(again.Replayed);
}

/// Guards against a table of command ids that grows without bound or drops ids too early.
Test(ConfigStore, commandIdsAreBounded) {
  ConfigStoreSettings settings;
  settings.MaxCommandIds = 10;
  ConfigStore store = populatedStore(settings);
  auto update = [&](int n) {
    return store.apply(
        command(std::to_string(n), UpdateCustomer{core::CustomerId("c0"), 5, {}, {}}));
  };
  for (int n = 0; n < 11; ++n)
    update(n);
  cr_assert(update(1).Replayed);
  cr_assert_not(update(0).Replayed);
}

/// Guards against an accepted command that would break an invariant of another component.
Test(ConfigStore, invalidCommandsAreRejectedWithReason) {
  ConfigStore store = populatedStore();
  core::ConfigVersion before = store.version();
  core::RouteId route("r0");
  core::Duration deadline{500};
  assertInvalid(store, CreateCustomer{core::CustomerId("a b"), 1, 1, 1}, "customer name must");
  assertInvalid(store, CreateCustomer{core::CustomerId("a"), 0, 1, 1}, "rate must be from 1");
  assertInvalid(store, UpdateCustomer{core::CustomerId("c0"), {}, {}, {}}, "sets none");
  assertInvalid(store, UpdateCustomer{core::CustomerId("c8"), 1, {}, {}}, "does not exist");
  assertInvalid(store, CreateKey{core::CustomerId("c0"), digestOf(200)}, "same digest");
  assertInvalid(store, CreateRoute{core::RouteId("r1"), "r1", {}, {}, deadline}, "start with '/'");
  assertInvalid(store, CreateRoute{core::RouteId("r1"), "/r0", {}, {}, deadline}, "same path");
  assertInvalid(store, DeleteRoute{route}, "delete it first");
  assertInvalid(store, target("t9", "v1", 9000), "same address");
  assertInvalid(store, target("t9", "v1", 0), "IP:PORT");
  assertInvalid(store, DeleteTarget{core::TargetId("t0")}, "drain it first");
  assertInvalid(store, StartDrain{DrainKind::Region, "mars", {}}, "holds no target");
  assertInvalid(store, StartDrain{DrainKind::Domain, "eu", {}}, "holds no target");
  assertInvalid(store, CancelDrain{DrainKind::Target, "t0"}, "not draining");
  assertInvalid(store, StartShift{"eu", "mars", 10, deadline}, "named mars");
  assertInvalid(store, StartShift{"eu", "us", 1000, core::Duration{1999}}, "needs 2000 ms");
  assertInvalid(store, StartMove{route, core::VersionId("v1"), deadline}, "already");
  assertInvalid(store, StartMove{route, core::VersionId("v9"), deadline}, "no active target");
  PutVm vm{core::VmId("vm2"), "127.0.0.1:1", "127.0.0.1:2", core::RegionId("us"),
           core::DomainId("eu-1")};
  assertInvalid(store, vm, "domain eu-1 is in region eu");
  vm.Domain = core::DomainId("eu");
  assertInvalid(store, vm, "both be named eu");
  cr_assert(store.version() == before);
}

/// Guards against a version move whose end is lost, and against one that leaves a final state.
Test(ConfigStore, moveEndsOnceAndSetsTheVersion) {
  ConfigStore store = populatedStore();
  core::RouteId route("r0");
  core::MoveId id(
      applyChange(store, StartMove{route, core::VersionId("v2"), core::Duration{900}}).Subject);
  cr_assert_eq(store.records().Moves.at(id).StartedAt.Ms, 1000);
  applyChange(store, UpdateMove{id, MoveState::Running, "step 1", 20, "\xa0"});
  cr_assert_eq(store.records().Moves.at(id).SharePermille, 20);
  cr_assert_eq(store.records().Routes.at(route).Current.Value, "v1");
  applyChange(store, UpdateMove{id, MoveState::Done, "done", 1000, "\xa0"});
  cr_assert_eq(store.records().Routes.at(route).Current.Value, "v2");
  assertInvalid(store, UpdateMove{id, MoveState::RolledBack, "late", 0, ""}, "has ended");
  assertInvalid(store, CancelMove{id}, "cannot be cancelled");
}

/// Guards against records of finished moves that accumulate.
Test(ConfigStore, finishedMovesAreBounded) {
  ConfigStoreSettings settings;
  settings.MaxFinishedMoves = 3;
  ConfigStore store = populatedStore(settings);
  for (int n = 0; n < 10; ++n) {
    StartMove start{core::RouteId("r0"), core::VersionId("v2"), core::Duration{900}};
    core::MoveId id(applyChange(store, start).Subject);
    applyChange(store, UpdateMove{id, MoveState::RolledBack, "errors", 0, ""});
    cr_assert(store.records().Moves.count(id) == 1);
  }
  cr_assert_eq(store.records().Moves.size(), 3);
}

/// Guards against a drained target that counts as active, and against a drain record that outlives
/// its target.
Test(ConfigStore, drainsCoverTargetsAndLocations) {
  ConfigStore store = populatedStore();
  auto drains = [&](const char *id) {
    return isDraining(store.records(), store.records().Targets.at(core::TargetId(id)));
  };
  applyChange(store, StartDrain{DrainKind::Target, "t0", {}});
  cr_assert(drains("t0") && !drains("t1"));
  applyChange(store, StartDrain{DrainKind::Region, "eu", {}});
  cr_assert(drains("t1"));
  applyChange(store, CancelDrain{DrainKind::Region, "eu"});
  cr_assert(drains("t0") && !drains("t1"));
  applyChange(store, DeleteTarget{core::TargetId("t0")});
  cr_assert(store.records().Drains.empty());
}

/// A snapshot that loses records, command ids or removals would make a restarted voter decide
/// differently from the others.
Test(ConfigStore, restoredStoreDecidesIdentically) {
  checkProperty("a snapshot round trip at any point changes nothing", [] {
    std::vector<Command> commands = arbitraryCommands(40);
    size_t restart = *rc::gen::inRange<size_t>(0, commands.size());
    ConfigStoreSettings settings;
    settings.MaxCommandIds = 20;
    settings.MaxRemovals = 3;
    settings.MaxFinishedMoves = 2;
    ConfigStore continuous = populatedStore(settings);
    ConfigStore restarted = populatedStore(settings);
    for (size_t n = 0; n < commands.size(); ++n) {
      if (n == restart) {
        ConfigStore next(settings);
        RC_ASSERT(next.restore(restarted.snapshot()).ok());
        restarted = next;
      }
      const Command &next = commands[*rc::gen::inRange<size_t>(n > 8 ? n - 8 : 0, n + 1)];
      RC_ASSERT(encode(continuous.apply(next)) == encode(restarted.apply(next)));
    }
    RC_ASSERT(continuous.snapshot() == restarted.snapshot());
  });
}

/// Guards against repeated removals of one record that evict those of other records, and against
/// voters that drop different removals after a restart.
Test(ConfigStore, repeatedRemovalsTakeOneEntry) {
  ConfigStoreSettings settings;
  settings.MaxRemovals = 2;
  ConfigStore store = populatedStore(settings);
  core::KeyId key = store.records().Keys.begin()->first;
  store.apply(command("withdraw", WithdrawKey{key}));
  for (int n = 0; n < 3; ++n) {
    applyChange(store, StartDrain{DrainKind::Region, "eu", {}});
    applyChange(store, CancelDrain{DrainKind::Region, "eu"});
  }
  cr_assert_eq(applyChange(store, WithdrawKey{key}, 2).WinningCommand, "withdraw");
  applyChange(store, StartDrain{DrainKind::Region, "us", {}});
  applyChange(store, CancelDrain{DrainKind::Region, "us"});
  cr_assert_eq(applyChange(store, WithdrawKey{key}, 2).WinningCommand, "");
}

/// Guards against corrupt snapshots that crash the process or replace only part of the state.
Test(ConfigStore, corruptSnapshotIsRejected) {
  const ConfigStore source = populatedStore();
  const std::string good = source.snapshot();
  std::string altered = good;
  altered.replace(altered.find("/r0"), 3, "/r9");
  cr_assert(absl::IsDataLoss(ConfigStore().restore(altered)),
            "records that do not match the digest");
  checkProperty("arbitrary bytes are rejected", [](const std::vector<uint8_t> &bytes) {
    std::string text(bytes.begin(), bytes.end());
    RC_ASSERT_FALSE(ConfigStore().restore(text).ok());
    (void)decodeCommand(text);
    (void)decodeOutcome(text);
    (void)decodeDelta(text);
  });
  checkProperty("a changed byte gives an error or a consistent state", [&] {
    std::string bad = good;
    size_t at = *rc::gen::inRange<size_t>(0, bad.size());
    bad[at] = static_cast<char>(bad[at] ^ *rc::gen::inRange(1, 256));
    if (*rc::gen::inRange(0, 2) == 0)
      bad.resize(at);
    ConfigStore store = populatedStore();
    store.apply(command("more", CreateCustomer{core::CustomerId("c7"), 1, 1, 1}));
    std::string before = store.snapshot();
    if (store.restore(bad).ok())
      RC_ASSERT(ConfigStore().restore(store.snapshot()).ok());
    else
      RC_ASSERT(store.snapshot() == before);
  });
  checkProperty("a command survives encoding", [] {
    Command sent = command("id", *arbitraryChange(), 7);
    absl::StatusOr<Command> received = decodeCommand(encode(sent));
    RC_ASSERT(received.ok());
    RC_ASSERT(encode(*received) == encode(sent));
  });
}
