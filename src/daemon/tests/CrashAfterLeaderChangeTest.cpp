#include "core/Codec.h"
#include "core/testing/Property.h"
#include "daemon/testing/InMemoryFleet.h"

#include <string>

using namespace briarspar;
using namespace briarspar::daemon;
using daemon::testing::InMemoryFleet;
using daemon::testing::InMemoryFleetSettings;

namespace {

/// A fleet with a leader and valid leases on all VMs.
struct Fixture {
  explicit Fixture(uint64_t seed) : Fleet(settings(seed)) {
    cr_assert(Fleet.advanceUntil([&] { return Fleet.leader().has_value(); }, {10'000}));
    for (uint32_t n = 0; n < Fleet.size(); ++n) {
      balance::Locality locality = Fleet.localityOf(n);
      Fleet.propose(config::PutVm{InMemoryFleet::idOf(n), "127.0.0.1:" + std::to_string(1000 + n),
                                  "127.0.0.1:" + std::to_string(2000 + n), locality.Region,
                                  locality.Domain});
    }
    cr_assert(Fleet.advanceUntil([&] { return Fleet.servingNodes() == Fleet.size(); }, {30'000}));
  }

  static InMemoryFleetSettings settings(uint64_t seed) {
    InMemoryFleetSettings settings;
    settings.Seed = seed;
    return settings;
  }

  InMemoryFleet Fleet;
};

} // namespace

/// Guards against a crashing request that other VMs execute because the leader that acknowledged
/// its crashes has been replaced by one that does not know them. Messages are lost and take up to
/// 400 ms, so that leaders change.
Test(CrashNotices, acknowledgedCrashIsKnownAfterLeaderChange) {
  core::testing::checkProperty("an acknowledged crash is known to all serving VMs", [] {
    Fixture f(*rc::gen::inRange<uint64_t>(1, 1000));
    f.Fleet.network().settings().MaxDelay = {400};
    f.Fleet.network().settings().LossPermille = *rc::gen::inRange<uint32_t>(0, 200);
    constexpr uint32_t Reporter = 3;
    constexpr uint64_t Fingerprint = 42;
    const core::Duration resend{200};
    for (uint64_t crash = 1; crash <= 2; ++crash) {
      VmAgent &vm = f.Fleet.node(Reporter).vm();
      core::TargetId target("t" + std::to_string(crash));
      vm.crashes().recordCrash(Fingerprint, target, core::VersionId("v1"), f.Fleet.clock().now());
      const core::Time end = f.Fleet.clock().now() + core::Duration{30'000};
      while (f.Fleet.acknowledgedCrash(Reporter) < crash && f.Fleet.clock().now() < end) {
        vm.sendCrashReport(f.Fleet.clock().now());
        f.Fleet.advanceUntil([&] { return f.Fleet.acknowledgedCrash(Reporter) >= crash; }, resend);
      }
      RC_ASSERT(f.Fleet.acknowledgedCrash(Reporter) == crash);
      for (uint32_t n = 0; n < f.Fleet.size(); ++n) {
        VmAgent &other = f.Fleet.node(n).vm();
        if (other.mayServe(f.Fleet.clock().now()))
          RC_ASSERT(other.crashes().count(Fingerprint) == crash);
      }
    }
  });
}

/// Guards against a VM that was cut off while a crash was acknowledged, gets its next lease from a
/// new leader and does not know the crash.
Test(CrashNotices, newLeaderKnowsAcknowledgedCrash) {
  Fixture f(1);
  constexpr uint32_t Reporter = 3;
  constexpr uint32_t CutOff = 5;
  constexpr uint64_t Fingerprint = 42;
  InMemoryFleet &fleet = f.Fleet;
  fleet.network().isolate(CutOff, fleet.size());
  auto mayServe = [&] { return fleet.node(CutOff).vm().mayServe(fleet.clock().now()); };
  cr_assert(fleet.advanceUntil([&] { return !mayServe(); }, {10'000}));
  VmAgent &vm = fleet.node(Reporter).vm();
  vm.crashes().recordCrash(Fingerprint, core::TargetId("t1"), core::VersionId("v1"),
                           fleet.clock().now());
  vm.sendCrashReport(fleet.clock().now());
  cr_assert(fleet.advanceUntil([&] { return fleet.acknowledgedCrash(Reporter) == 1; }, {10'000}));
  fleet.crash(*fleet.leader());
  cr_assert(fleet.advanceUntil([&] { return fleet.leader().has_value(); }, {10'000}));
  fleet.network().healAll();
  cr_assert(fleet.advanceUntil(mayServe, {30'000}));
  cr_assert_eq(fleet.node(CutOff).vm().crashes().count(Fingerprint), 1);
}

/// Guards against committed crashes that a snapshot loses, against a snapshot of an earlier version
/// that is refused, and against claims that expire at different log times on voters that do not
/// know crash reports.
Test(GroupStateMachine, snapshotContainsCrashes) {
  GroupStateMachine machine;
  const std::string before = machine.snapshot();
  balance::CrashReport report;
  report.Entries.push_back({42, {{7, core::TargetId("t1"), core::Duration{100}, false}}});
  machine.apply(core::LogIndex(1), encode(LogCommand{core::Time{1000}, report}));
  machine.apply(core::LogIndex(2), encode(LogCommand{core::Time{6000}, balance::CrashReport()}));
  GroupStateMachine restored;
  cr_assert(restored.restore(machine.snapshot()).ok());
  balance::CrashReport crashes = restored.crashes();
  cr_assert_eq(crashes.Entries.size(), 1);
  cr_assert_eq(crashes.Entries[0].Crashes[0].Id, 7);
  cr_assert_eq(crashes.Entries[0].Crashes[0].Age.Ms, 5100);
  core::Json older = *core::decodeCbor(before);
  older.erase("crashes");
  older.erase("crash_time");
  cr_assert(restored.restore(core::encodeCbor(older)).ok());
  core::Json state = *core::decodeCbor(machine.snapshot());
  cr_assert_eq(state["log_time"].get<int64_t>(), 0);
}
