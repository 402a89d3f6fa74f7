#include "agreement/testing/MemberFleet.h"
#include "core/testing/Property.h"

#include <algorithm>
#include <numeric>

using namespace briarspar::core;
using namespace briarspar::agreement;
using briarspar::agreement::testing::InvariantViolation;
using briarspar::agreement::testing::MemberFleet;
using briarspar::core::testing::checkProperty;

namespace {

constexpr Duration JoinTime{6000};      ///< All VMs have joined the group by then.
constexpr Duration RecoveryTime{4000};  ///< A VM that is back this long no longer counts as lost.
constexpr Duration ServiceTime{15'000}; ///< Service is back this long after all VMs are back.
constexpr uint32_t MostVms = 5;

/// All VMs lose power at the same moment, and some of them their disks.
struct Outage {
  std::vector<uint32_t> Order;  ///< All numbers of VMs; the first ones lose their disks.
  uint32_t LostDisks = 0;       ///< Reduced to what must be borne.
  std::vector<size_t> Changes;  ///< Changes of files that each VM still makes.
  std::vector<int64_t> StartAt; ///< Ms after the outage at which each VM is back.
  int64_t After = 0;            ///< Ms from the proposal of the last command to the outage.
  int64_t Again = 0;            ///< Ms until all lose power once more, if not 0.
  int64_t ClockStep = 0;        ///< Ms by which the wall clocks are off after the outage.
  bool Replaces = false;        ///< A VM is replaced by a new one some time before.
};

std::ostream &operator<<(std::ostream &os, const Outage &it) {
  os << "disks " << it.LostDisks << " of";
  for (uint32_t n : it.Order)
    os << ' ' << n;
  os << ", changes";
  for (size_t n : it.Changes)
    os << ' ' << n;
  os << ", start";
  for (int64_t ms : it.StartAt)
    os << ' ' << ms;
  return os << ", after " << it.After << ", again " << it.Again << ", clock " << it.ClockStep
            << (it.Replaces ? ", replaces" : "");
}

rc::Gen<Outage> genOutage() {
  return rc::gen::exec([] {
    Outage out;
    out.Order.resize(MostVms);
    std::iota(out.Order.begin(), out.Order.end(), 0);
    for (uint32_t n = MostVms - 1; n > 0; --n)
      std::swap(out.Order[n], out.Order[*rc::gen::inRange(0u, n + 1)]);
    out.LostDisks = *rc::gen::inRange(0u, 4u);
    const bool startAtOnce = *rc::gen::arbitrary<bool>();
    for (uint32_t n = 0; n < MostVms; ++n) {
      out.Changes.push_back(*rc::gen::inRange<size_t>(0, 14));
      out.StartAt.push_back(startAtOnce ? 50 : *rc::gen::inRange<int64_t>(0, 1500));
    }
    out.After = *rc::gen::inRange<int64_t>(0, 120);
    out.Again = *rc::gen::arbitrary<bool>() ? 0 : *rc::gen::inRange<int64_t>(1, 2500);
    out.ClockStep = *rc::gen::element<int64_t>(0, 0, -30'000, 30'000);
    out.Replaces = *rc::gen::inRange(0, 3) == 0;
    return out;
  });
}

class OutageRun {
public:
  OutageRun(MemberFleet &fleet, size_t borneLosses) : Fleet(fleet), BorneLosses(borneLosses) {}

  /// Plays an outage after a command was acknowledged, until all VMs have recovered from it.
  void run(const Outage &outage) {
    if (outage.Replaces)
      replace(outage.Order.back());
    RC_ASSERT(Fleet.acknowledgesWithin({2000}));
    const std::vector<uint32_t> vms = running();
    cutPower(vms, outage.Changes);
    Fleet.propose();
    Fleet.run({outage.After});
    losePower(vms);
    Fleet.WallClockStep = {outage.ClockStep};
    size_t lost = 0;
    for (uint32_t k : outage.Order)
      if (k < vms.size() && lost < std::min<size_t>(outage.LostDisks, BorneLosses)) {
        Fleet.wipe(vms[k]);
        ++lost;
      }
    if (outage.Again != 0) {
      startAll(vms, outage.StartAt, outage.Again);
      cutPower(vms, outage.Changes);
      startAll(vms, outage.StartAt, outage.After);
      losePower(vms);
    }
    startAll(vms, outage.StartAt, 1500);
    RC_ASSERT(Fleet.runUntil(ServiceTime, [&] { return Fleet.readsBackAll(); }));
    RC_ASSERT(Fleet.runUntil(ServiceTime, [&] { return Fleet.votersAreTheRunning(); }));
    RC_ASSERT(Fleet.acknowledgesWithin({2000}));
    Fleet.run(RecoveryTime);
  }

private:
  std::vector<uint32_t> running() const {
    std::vector<uint32_t> out;
    for (uint32_t n = 0; n < Fleet.Vms.size(); ++n)
      if (Fleet.Vms[n].Process != nullptr)
        out.push_back(n);
    return out;
  }

  void cutPower(const std::vector<uint32_t> &vms, const std::vector<size_t> &changes) {
    for (size_t k = 0; k < vms.size(); ++k)
      Fleet.Vms[vms[k]].Disk->cutPowerAfter(changes[k]);
  }

  void losePower(const std::vector<uint32_t> &vms) {
    for (uint32_t vm : vms)
      Fleet.losePower(vm);
  }

  /// Starts the VMs that are down, each at its time, and lets them run for `limit` ms.
  void startAll(const std::vector<uint32_t> &vms, const std::vector<int64_t> &at, int64_t limit) {
    for (int64_t ms = 0; ms <= limit; ms += 5) {
      for (size_t k = 0; k < vms.size(); ++k)
        if (at[k] <= ms)
          Fleet.start(vms[k]);
      Fleet.propose();
      Fleet.run({5});
    }
  }

  void replace(uint32_t pick) {
    std::vector<uint32_t> vms = running();
    Fleet.remove(vms[pick % vms.size()]);
    Fleet.run({1000});
    Fleet.add();
    Fleet.runUntil(RecoveryTime, [] { return false; });
  }

  MemberFleet &Fleet;
  const size_t BorneLosses;
};

void checkOutages() {
  auto seed = *rc::gen::arbitrary<uint64_t>().as("seed");
  auto vms = *rc::gen::element(3u, 5u, 5u).as("VMs");
  GroupMemberSettings settings;
  settings.Removal.BorneLosses = vms / 2;
  settings.Replica.SnapshotInterval =
      *rc::gen::element<size_t>(1, 3, 10, 1000).as("snapshot interval");
  settings.Replica.RetainedEntries = *rc::gen::element<size_t>(0, 5, 1000).as("retained entries");
  auto outages = *rc::gen::container<std::vector<Outage>>(2, genOutage()).as("outages");
  MemberFleet fleet(vms, seed, settings);
  fleet.Net.settings().LossPermille = *rc::gen::inRange(0u, 30u).as("loss");
  fleet.Net.settings().MaxDelay = {*rc::gen::element<int64_t>(2, 20, 100).as("delay")};
  try {
    fleet.run(JoinTime);
    OutageRun run(fleet, vms / 2);
    for (const Outage &it : outages)
      run.run(it);
  } catch (const InvariantViolation &violation) {
    RC_FAIL(violation.what());
  }
}

/// Ends all VMs of a group of five by a loss of power after a command was acknowledged.
void losePowerEverywhere(MemberFleet &fleet) {
  fleet.run(JoinTime);
  cr_assert(fleet.acknowledgesWithin({2000}));
  for (uint32_t n = 0; n < fleet.Vms.size(); ++n)
    fleet.losePower(n);
}

void checkService(MemberFleet &fleet) {
  cr_assert(fleet.runUntil(ServiceTime, [&] { return fleet.readsBackAll(); }));
  cr_assert(fleet.runUntil(ServiceTime, [&] { return fleet.votersAreTheRunning(); }));
  cr_assert(fleet.acknowledgesWithin({2000}));
}

} // namespace

/// Guards against acknowledged commands that are not on enough disks, and against a second group of
/// VMs without state, when all VMs lose power at the same moment and some of them their disks.
Test(PowerLoss, acknowledgedCommandsAreReadBackFromTheDisksThatAreLeft) {
  checkProperty("outages", checkOutages);
}

/// Guards against VMs that found a group of their own because those with state start later.
Test(PowerLoss, vmsWithoutStateFoundNoGroup) {
  for (const std::vector<uint32_t> &wiped :
       std::vector<std::vector<uint32_t>>{{0, 1}, {0, 2}, {1, 2}, {0, 3}, {3, 4}}) {
    MemberFleet fleet(5, 1 + wiped.front());
    losePowerEverywhere(fleet);
    for (uint32_t n : wiped) {
      fleet.wipe(n);
      fleet.start(n);
    }
    cr_assert_not(fleet.acknowledgesWithin({20'000}));
    for (uint32_t n = 0; n < 5; ++n)
      fleet.start(n);
    checkService(fleet);
  }
}

/// Guards against a new group, or one that lacks acknowledged commands, after more disks were lost
/// than must be borne.
Test(PowerLoss, groupStaysDownAfterTheLossOfMostDisks) {
  for (const std::vector<uint32_t> &wiped :
       std::vector<std::vector<uint32_t>>{{0, 1, 2}, {0, 1, 3}, {2, 3, 4}, {0, 1, 2, 3, 4}}) {
    MemberFleet fleet(5, 1 + wiped.back());
    losePowerEverywhere(fleet);
    for (uint32_t n : wiped)
      fleet.wipe(n);
    for (uint32_t n = 0; n < 5; ++n)
      fleet.start(n);
    cr_assert_not(fleet.acknowledgesWithin({20'000}));
  }
}

/// Guards against VMs that stay out of the group after they lost their disks, because no seed of
/// theirs is a member.
Test(PowerLoss, vmsWhoseSeedsHaveNoStateRejoin) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    MemberFleet fleet(5, seed);
    fleet.run(JoinTime);
    fleet.remove(0);
    fleet.run({1000});
    fleet.add();
    fleet.Seeds = {0, 1, 2};
    losePowerEverywhere(fleet);
    fleet.wipe(1);
    fleet.wipe(2);
    for (uint32_t n = 1; n < fleet.Vms.size(); ++n)
      fleet.start(n);
    checkService(fleet);
  }
}
