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
