#include "core/testing/Property.h"
#include "daemon/testing/InMemoryFleet.h"
#include "transport/Frame.h"

#include <array>
#include <map>
#include <string>

using namespace briarspar;
using namespace briarspar::daemon;
using daemon::testing::InMemoryFleet;
using daemon::testing::InMemoryFleetSettings;

namespace {

/// A fleet with a leader, valid leases on all VMs and one customer.
struct Fixture {
  explicit Fixture(uint64_t seed = 1, daemon::testing::FleetObserver *observer = nullptr)
      : Fixture(settings(seed), observer) {}

  explicit Fixture(const InMemoryFleetSettings &settings,
                   daemon::testing::FleetObserver *observer = nullptr)
      : Fleet(settings, observer) {
    cr_assert(Fleet.advanceUntil([&] { return Fleet.leader().has_value(); }, {10'000}));
    for (uint32_t n = 0; n < Fleet.size(); ++n) {
      balance::Locality locality = Fleet.localityOf(n);
      Fleet.propose(config::PutVm{InMemoryFleet::idOf(n), "127.0.0.1:" + std::to_string(1000 + n),
                                  "127.0.0.1:" + std::to_string(2000 + n), locality.Region,
                                  locality.Domain});
    }
    Fleet.propose(config::CreateCustomer{Shop, 100, 50, 1});
    cr_assert(Fleet.advanceUntil([&] { return allServe(); }, {30'000}));
  }

  static InMemoryFleetSettings settings(uint64_t seed) {
    InMemoryFleetSettings settings;
    settings.Seed = seed;
    return settings;
  }

  bool allServe() { return Fleet.servingNodes() == Fleet.size(); }

  core::ConfigVersion versionAt(uint32_t n) { return Fleet.node(n).vm().state()->Version; }

  core::CustomerId Shop{"shop"};
  InMemoryFleet Fleet;
};

/// Injects or ends a random fault.
void injectFault(InMemoryFleet &fleet) {
  auto n = *rc::gen::inRange<uint32_t>(0, fleet.size());
  auto other = *rc::gen::inRange<uint32_t>(0, fleet.size());
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    if (fleet.isUp(n))
      fleet.crash(n);
    break;
  case 1:
    if (!fleet.isUp(n))
      fleet.restart(n);
    break;
  case 2:
    fleet.network().cut(n, other);
    break;
  case 3:
    fleet.network().healAll();
    break;
  case 4:
    fleet.network().setPaused(n, !fleet.network().isPaused(n));
    break;
  case 5:
    fleet.network().settings().LossPermille = *rc::gen::inRange<uint32_t>(0, 300);
    break;
  }
}

void endFaults(InMemoryFleet &fleet) {
  fleet.network().healAll();
  fleet.network().settings().LossPermille = 0;
  for (uint32_t n = 0; n < fleet.size(); ++n) {
    fleet.network().setPaused(n, false);
    if (!fleet.isUp(n))
      fleet.restart(n);
  }
}

} // namespace

/// Guards against a crashing request that other VMs execute because they are notified of the crash
/// too late.
Test(ControlNode, crashIsKnownToAllVmsBeforeAcknowledgement) {
  Fixture f;
  constexpr uint64_t Fingerprint = 42;
  for (uint32_t n : {3U, 4U}) {
    VmAgent &vm = f.Fleet.node(n).vm();
    core::TargetId target("t" + std::to_string(n));
    vm.crashes().recordCrash(Fingerprint, target, core::VersionId("v1"), f.Fleet.clock().now());
    vm.sendCrashReport(f.Fleet.clock().now());
    f.Fleet.advance({100});
  }
  for (uint32_t n = 0; n < f.Fleet.size(); ++n)
    cr_expect_not(f.Fleet.node(n).vm().crashes().admits(Fingerprint, f.Fleet.clock().now()));
}

namespace {

/// Generates a value that resembles a message body: known member names with members of any type.
core::Json arbitraryBody(int depth) {
  static const std::array<const char *, 14> names{"id",   "outcome", "answer",  "leader",  "data",
                                                  "term", "at",      "version", "crashes", "kind",
                                                  "vm",   "result",  "attempt", "config"};
  switch (*rc::gen::inRange(0, depth > 0 ? 8 : 6)) {
  case 0:
    return *rc::gen::arbitrary<int64_t>();
  case 1:
    return *rc::gen::arbitrary<bool>();
  case 2:
    return *rc::gen::arbitrary<double>();
  case 3:
    return nullptr;
  case 4:
    return "text";
  case 5:
    return core::Json::binary(
        *rc::gen::container<std::vector<uint8_t>>(rc::gen::arbitrary<uint8_t>()));
  case 6: {
    core::Json list = core::Json::array();
    for (int n = *rc::gen::inRange(0, 5); n > 0; --n)
      list.push_back(arbitraryBody(depth - 1));
    return list;
  }
  default: {
    core::Json object = core::Json::object();
    for (int n = *rc::gen::inRange(0, 8); n > 0; --n)
      object[names[*rc::gen::inRange<size_t>(0, names.size())]] = arbitraryBody(depth - 1);
    return object;
  }
  }
}

} // namespace

/// Guards against one malformed message that ends the process of a VM or of the leader.
Test(ControlNode, malformedMessagesAreIgnored) {
  Fixture f;
  core::testing::checkProperty("no message of any kind ends a process", [&f] {
    const uint32_t to = *rc::gen::inRange<uint32_t>(0, f.Fleet.size());
    const core::VmId from = InMemoryFleet::idOf(*rc::gen::inRange<uint32_t>(0, f.Fleet.size()));
    std::string body = core::encodeCbor(arbitraryBody(3));
    if (*rc::gen::inRange(0, 4) == 0)
      body = *rc::gen::arbitrary<std::string>();
    for (std::string_view kind : kind::All)
      f.Fleet.node(to).receive(from, kind, body);
  });
  cr_assert(f.Fleet.advanceUntil([&] { return f.allServe(); }, {30'000}));
}

/// Guards against a crashing request that other VMs execute because the leader acknowledges a crash
/// while its notice is still on its way to them, or because the acknowledgement of an earlier
/// report is taken for that of a later one. The report is resent before it can be acknowledged.
Test(ControlNode, acknowledgedCrashIsKnownToAllServingVms) {
  core::testing::checkProperty("an acknowledged crash is known to all serving VMs", [] {
    Fixture f(*rc::gen::inRange<uint64_t>(1, 1000));
    f.Fleet.network().settings().MaxDelay = {150};
    f.Fleet.network().settings().DuplicatePermille = *rc::gen::inRange<uint32_t>(0, 300);
    constexpr uint32_t Reporter = 3;
    constexpr uint64_t Fingerprint = 42;
    for (uint64_t crash = 1; crash <= 3; ++crash) {
      VmAgent &vm = f.Fleet.node(Reporter).vm();
      core::TargetId target("t" + std::to_string(crash));
      vm.crashes().recordCrash(Fingerprint, target, core::VersionId("v1"), f.Fleet.clock().now());
      const core::Time end = f.Fleet.clock().now() + core::Duration{10'000};
      while (f.Fleet.acknowledgedCrash(Reporter) < crash && f.Fleet.clock().now() < end) {
        vm.sendCrashReport(f.Fleet.clock().now());
        f.Fleet.advanceUntil([&] { return f.Fleet.acknowledgedCrash(Reporter) >= crash; }, {100});
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

namespace {

/// Counts the messages and bytes of one node, including the frame and up to 8 bytes of WebSocket
/// header.
class NodeTraffic final : public daemon::testing::FleetObserver {
public:
  static constexpr uint32_t Node = 4;

  void onSend(uint32_t node, std::string_view, size_t bytes) override { add(node, bytes, Sent); }
  void onReceive(uint32_t node, std::string_view, size_t bytes) override {
    add(node, bytes, Received);
  }

  uint64_t Sent = 0;
  uint64_t Received = 0;
  uint64_t Bytes = 0;

private:
  void add(uint32_t node, size_t bytes, uint64_t &count) {
    if (node != Node)
      return;
    ++count;
    Bytes += bytes + transport::FrameOverhead + 8;
  }
};

} // namespace

/// Guards against more than 4 KB/s of control traffic at a node with five active customers, and
/// against a delay of the grant request for a waiting caller by batching.
Test(ControlNode, controlTrafficOfNodeStaysWithinLimit) {
  constexpr uint64_t bytesPerSecond = 4096;
  constexpr int seconds = 10;
  NodeTraffic traffic;
  Fixture f(1, &traffic);
  std::vector<core::CustomerId> active;
  for (uint32_t n = 0; n < 5; ++n) {
    active.emplace_back("customer-" + std::to_string(n));
    f.Fleet.propose(config::CreateCustomer{active.back(), 1'000'000, 1'000'000, 1});
  }
  f.Fleet.advance({2000});
  quota::QuotaHolder &quota = f.Fleet.node(NodeTraffic::Node).vm().quota();
  uint64_t before = traffic.Sent;
  cr_assert(quota.tryAdmit(active[0], f.Fleet.clock().now()).Result == quota::Admission::Wait);
  f.Fleet.advance({5});
  cr_assert(traffic.Sent > before);

  traffic.Bytes = 0;
  for (int step = 0; step < seconds * 10; ++step) {
    for (const core::CustomerId &id : active)
      if (quota.tryAdmit(id, f.Fleet.clock().now()).Result == quota::Admission::Wait)
        quota.cancelWait(id);
    f.Fleet.advance({100});
  }
  cr_assert(traffic.Received > 0);
  cr_assert(traffic.Bytes < bytesPerSecond * seconds, "%lu bytes in %d s", traffic.Bytes, seconds);
}

/// Guards against slots beyond the limit of a link between two regions, also after a change of
/// leader.
Test(ControlNode, slotsStayWithinLinkLimit) {
  constexpr uint32_t limit = 4;
  InMemoryFleetSettings settings = Fixture::settings(1);
  settings.Leader.MaxLinkRequests = limit;
  Fixture f(settings);
  const balance::PoolId pool("read");
  const core::TargetId target("far");
  const balance::Locality far = f.Fleet.localityOf(1);
  f.Fleet.propose(config::CreateRoute{core::RouteId("read"),
                                      "/read",
                                      config::RouteAccess::Open,
                                      config::RouteSemantics::Idempotent,
                                      {1000}});
  f.Fleet.propose(config::AddTarget{target, core::RouteId("read"), "127.0.0.1:1",
                                    core::VersionId("v1"), 40, far.Region, far.Domain});
  for (uint32_t n = 0; n < f.Fleet.size(); ++n)
    f.Fleet.node(n).vm().slots().setWaiting(pool, 20);
  auto heldFrom = [&](const core::RegionId &region) {
    uint32_t sum = 0;
    for (uint32_t n = 0; n < f.Fleet.size(); ++n)
      if (f.Fleet.isUp(n) && f.Fleet.localityOf(n).Region == region)
        sum += f.Fleet.node(n).vm().slots().available(target);
    return sum;
  };
  const core::RegionId near = f.Fleet.localityOf(0).Region;
  cr_assert(f.Fleet.advanceUntil([&] { return heldFrom(near) > 0; }, {30'000}));
  f.Fleet.crash(*f.Fleet.leader());
  for (int step = 0; step < 200; ++step) {
    f.Fleet.advance({50});
    for (uint32_t n : {0, 2})
      cr_assert_leq(heldFrom(f.Fleet.localityOf(n).Region), limit);
  }
  cr_assert_gt(heldFrom(far.Region), limit);
}

/// Guards against renewal answers that repeat the list of dead VMs, which is long when a region has
/// failed, and against VMs that never receive the list.
Test(ControlNode, deadVmsAreSentOnce) {
  constexpr uint32_t dead = 24;
  NodeTraffic traffic;
  InMemoryFleetSettings settings;
  settings.Nodes = NodeTraffic::Node + 1 + dead;
  InMemoryFleet fleet(settings, &traffic);
  fleet.advance({5000});
  auto bytesOf = [&](core::Duration span) {
    uint64_t before = traffic.Bytes;
    fleet.advance(span);
    return traffic.Bytes - before;
  };
  uint64_t before = bytesOf({10'000});
  for (uint32_t n = NodeTraffic::Node + 1; n < settings.Nodes; ++n)
    fleet.crash(n);
  uint64_t during = bytesOf({10'000});
  uint64_t after = bytesOf({10'000});
  std::string shortestName = "vm-5";
  cr_expect(during > before + dead * shortestName.size(), "the list was not sent");
  // The interval has at least 20 renewals, each with less than one byte per dead VM.
  cr_expect(after < before + 20 * dead, "%lu bytes before, %lu after", before, after);
}

/// Guards against a VM that reverts to an older configuration, and against a version reported as in
/// force everywhere while a VM serves with an older one, under two or more concurrent faults.
Test(ControlNode, versionsNeverRevertUnderFaults) {
  core::testing::checkProperty("a version never reverts while serving", [] {
    Fixture f(*rc::gen::inRange<uint64_t>(1, 1'000'000));
    std::map<uint32_t, std::pair<uint64_t, core::ConfigVersion>> seen;
    auto faults = *rc::gen::inRange(2, 6);
    for (int round = 0; round < faults; ++round) {
      injectFault(f.Fleet);
      injectFault(f.Fleet);
      f.Fleet.propose(config::UpdateCustomer{f.Shop, 100 + static_cast<uint64_t>(round), {}, {}});
      for (int step = 0; step < 20; ++step) {
        f.Fleet.advance({100});
        core::ConfigVersion inForce;
        std::optional<uint32_t> leader = f.Fleet.leader();
        if (leader) {
          core::ConfigVersion version =
              f.Fleet.node(*leader).voter()->stateMachine().config().version();
          if (f.Fleet.node(*leader).leader()->inForceEverywhere(version, f.Fleet.clock().now()))
            inForce = version;
        }
        for (uint32_t n = 0; n < f.Fleet.size(); ++n) {
          if (!f.Fleet.isUp(n) || !f.Fleet.node(n).vm().mayServe(f.Fleet.clock().now()))
            continue;
          RC_ASSERT(f.versionAt(n) >= inForce);
          RC_ASSERT(f.versionAt(n) >= seen[n].second);
          seen[n].second = f.versionAt(n);
        }
      }
    }
    endFaults(f.Fleet);
    RC_ASSERT(f.Fleet.advanceUntil([&] { return f.allServe(); }, {60'000}));
  });
}

/// Guards against more admissions than the rate and burst allow while quota owners and VMs fail.
Test(ControlNode, rateHoldsOverTheFleetUnderFaults) {
  core::testing::checkProperty("admitted <= burst + rate * length", [] {
    Fixture f(*rc::gen::inRange<uint64_t>(1, 1'000'000));
    std::vector<int64_t> admitted;
    for (int step = 0; step < 600; ++step) {
      if (step % 60 == 0)
        injectFault(f.Fleet);
      f.Fleet.advance({10});
      for (uint32_t n = 0; n < f.Fleet.size(); ++n) {
        if (!f.Fleet.isUp(n) || f.Fleet.network().isPaused(n))
          continue;
        quota::QuotaHolder &quota = f.Fleet.node(n).vm().quota();
        quota::Admission admission = quota.tryAdmit(f.Shop, f.Fleet.clock().now());
        if (admission.Result == quota::Admission::Wait)
          quota.cancelWait(f.Shop);
        if (admission.Result == quota::Admission::Admitted)
          admitted.push_back(f.Fleet.clock().now().Ms);
      }
    }
    // Checks all intervals between admissions against the token bucket's bound.
    constexpr int64_t Rate = 100;
    constexpr int64_t Burst = 50;
    for (size_t from = 0; from < admitted.size(); ++from)
      for (size_t to = from; to < admitted.size(); ++to) {
        int64_t count = static_cast<int64_t>(to - from) + 1;
        int64_t length = admitted[to] - admitted[from];
        if (count * 1000 > Burst * 1000 + Rate * length)
          RC_FAIL("rate exceeded");
      }
  });
}
