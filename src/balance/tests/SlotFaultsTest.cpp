#include "balance/SlotHolder.h"
#include "balance/SlotLedger.h"
#include "core/testing/FaultNetwork.h"
#include "core/testing/Property.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace briarspar::balance;
using namespace briarspar::core;

namespace {

constexpr uint32_t LeaderCount = 2; ///< Nodes 0 and 1 lead in turn.
constexpr uint32_t VmCount = 4;     ///< Nodes 2 to 5.
constexpr uint32_t TargetCount = 4;
constexpr uint32_t SlotsPerTarget = 5;
constexpr uint32_t RegionCapacity = 8; ///< Less than the slots of a region's two targets.
constexpr uint32_t LinkLimit = 3;
constexpr int64_t StepMs = 10;
constexpr int64_t FaultsEndMs = 30'000;
constexpr int64_t EndMs = 50'000;
constexpr Duration LongestDeadline{2000};
constexpr Duration LeaseDuration{3000};

const PoolId TestPool("pool");

RegionId regionOf(uint32_t n) { return RegionId(n % 2 == 0 ? "east" : "west"); }
VmId vmId(uint32_t n) { return VmId("vm" + std::to_string(n)); }
TargetId targetId(uint32_t n) { return TargetId("t" + std::to_string(n)); }

struct Lease final : ServingPermission {
  Time Until{0};
  bool IgnoreLease = false;
  bool valid(Time now) const override { return IgnoreLease || now < Until; }
};

/// A request at a target. The target ends it at its deadline even if its VM has crashed.
struct Request {
  uint32_t Vm = 0;
  Incarnation Run;
  uint32_t Target = 0;
  Time EndAt;
  bool AtTarget = true;
};

struct Vm {
  Incarnation Run{1};
  int64_t RatePermille = 1000; ///< Speed of its clock.
  ManualClock Clock;
  Lease Permission;
  Time RenewedAt;
  std::unique_ptr<SlotHolder> Holder;
};

class Simulation {
public:
  explicit Simulation(uint64_t seed) : Network(seed, faults()), Vms(LeaderCount + VmCount) {
    SlotLedgerSettings settings;
    settings.LongestDeadline = LongestDeadline;
    std::vector<VmInfo> infos;
    for (uint32_t n = LeaderCount; n < Vms.size(); ++n) {
      infos.push_back({vmId(n), {regionOf(n), DomainId("d")}});
      Vms[n].RatePermille = randomBetween(995, 1005);
      Vms[n].Permission.IgnoreLease = seed % 2 == 0;
    }
    for (uint32_t n = 0; n < TargetCount; ++n)
      Targets.push_back({targetId(n), TestPool, VersionId("v1"),
                         Locality{regionOf(n), DomainId("d")}, SlotsPerTarget});
    for (uint32_t n = 0; n < LeaderCount; ++n) {
      Ledgers.push_back(std::make_unique<SlotLedger>(settings));
      Ledgers[n]->setVms(infos);
      Ledgers[n]->setTargets(Targets);
      for (uint32_t r = 0; r < 2; ++r) {
        Ledgers[n]->regions().setCapacity(regionOf(r), RegionCapacity);
        Ledgers[n]->regions().setLink(regionOf(r), regionOf(r + 1), LinkLimit);
      }
    }
    for (uint32_t n = LeaderCount; n < Vms.size(); ++n)
      restart(n);
    Ledgers[0]->becomeLeader(CurrentTerm, Now);
  }

  void run() {
    for (; Now.Ms < EndMs; Now = Now + Duration{StepMs})
      step();
    checkShares();
  }

  size_t completed() const { return Completed; }

private:
  static testing::FaultSettings faults() {
    testing::FaultSettings settings;
    settings.MaxDelay = Duration{600};
    settings.LossPermille = 100;
    settings.DuplicatePermille = 200;
    return settings;
  }

  int64_t randomBetween(int64_t from, int64_t to) {
    return std::uniform_int_distribution<int64_t>(from, to)(Network.rng());
  }
  bool chance(int64_t permille) { return randomBetween(0, 999) < permille; }
  SlotLedger &ledger() { return *Ledgers[LeaderNode]; }

  void step() {
    if (Now.Ms < FaultsEndMs)
      injectFaults();
    else
      heal();
    deliver();
    for (uint32_t n = LeaderCount; n < Vms.size(); ++n)
      stepVm(n);
    ledger().tick(Now);
    endRequests();
    checkLimits();
  }

  void injectFaults() {
    const auto n = static_cast<uint32_t>(randomBetween(LeaderCount, LeaderCount + VmCount - 1));
    const auto leader = static_cast<uint32_t>(randomBetween(0, LeaderCount - 1));
    if (chance(2))
      changeLeader();
    if (chance(3))
      restart(n);
    if (chance(4))
      Network.setPaused(n, !Network.isPaused(n));
    if (chance(5))
      Network.cut(n, leader);
    if (chance(5))
      Network.cut(leader, n);
    if (chance(5))
      Network.healAll();
  }

  void heal() {
    Network.settings().LossPermille = 0;
    Network.settings().MaxDelay = Duration{20};
    Network.healAll();
    for (uint32_t n = LeaderCount; n < Vms.size(); ++n)
      Network.setPaused(n, false);
  }

  void changeLeader() {
    ledger().stepDown();
    CurrentTerm = CurrentTerm.next();
    LeaderNode = 1 - LeaderNode;
    ledger().becomeLeader(CurrentTerm, Now);
  }

  void restart(uint32_t n) {
    Vm &vm = Vms[n];
    if (vm.Holder)
      vm.Run = vm.Run.next();
    SlotHolderSettings settings;
    vm.Holder = std::make_unique<SlotHolder>(vmId(n), vm.Run, vm.Clock, vm.Permission, settings);
    vm.Holder->setTargets(Targets, VmCount);
    vm.Permission.Until = Time{0};
    Network.setPaused(n, false);
  }

  void stepVm(uint32_t n) {
    Vm &vm = Vms[n];
    vm.Clock.set(Time{Now.Ms * vm.RatePermille / 1000});
    if (Network.isPaused(n))
      return;
    if (!Network.isCut(n, LeaderNode) && !Network.isCut(LeaderNode, n)) {
      vm.RenewedAt = Now;
      vm.Permission.Until = vm.Clock.now() + shortenForClockDrift(LeaseDuration);
    } else if (Now - vm.RenewedAt > LeaseDuration) {
      ledger().vmExpired(vmId(n), vm.Run, Now);
    }
    // Demand moves between VMs. After the faults all of them want more slots than available.
    const bool isBusy = Now.Ms >= FaultsEndMs || (Now.Ms / 4000 + n) % 3 != 0;
    vm.Holder->setWaiting(TestPool, isBusy ? 30 : 0);
    for (uint32_t t = 0; isBusy && t < TargetCount; ++t)
      if (vm.Holder->acquire(targetId(t)))
        Requests.push_back({n, vm.Run, t, Now + Duration{randomBetween(1, LongestDeadline.Ms)}});
    if (auto report = vm.Holder->tick(CurrentTerm, vm.Clock.now()))
      Network.send(n, LeaderNode, encode(*report), Now);
  }

  void deliver() {
    while (auto delivery = Network.receive(Now)) {
      if (delivery->To >= LeaderCount) {
        auto answer = decodeSlotAnswer(delivery->Body);
        RC_ASSERT(answer.ok());
        Vms[delivery->To].Holder->receive(*answer, Vms[delivery->To].Clock.now());
        continue;
      }
      auto report = decodeSlotReport(delivery->Body);
      RC_ASSERT(report.ok());
      if (auto answer = Ledgers[delivery->To]->report(*report, Now))
        Network.send(delivery->To, delivery->From, encode(*answer), Now);
    }
  }

  void endRequests() {
    for (size_t n = 0; n < Requests.size();) {
      Request &r = Requests[n];
      r.AtTarget = r.AtTarget && Now < r.EndAt;
      const bool processRuns = Vms[r.Vm].Run == r.Run;
      const bool isOver = !r.AtTarget && (!processRuns || !Network.isPaused(r.Vm));
      if (!isOver) {
        ++n;
        continue;
      }
      if (processRuns)
        Vms[r.Vm].Holder->release(targetId(r.Target));
      ++Completed;
      Requests[n] = Requests.back();
      Requests.pop_back();
    }
  }

  void checkLimits() const {
    std::vector<uint32_t> onTarget(TargetCount);
    std::vector<uint32_t> inRegion(2);
    std::vector<uint32_t> onLink(2);
    for (const Request &r : Requests) {
      onTarget[r.Target] += r.AtTarget;
      inRegion[r.Target % 2] += r.AtTarget;
      onLink[r.Target % 2] += r.AtTarget && r.Target % 2 != r.Vm % 2;
    }
    for (uint32_t n : onTarget)
      RC_ASSERT(n <= SlotsPerTarget);
    for (uint32_t n : inRegion)
      RC_ASSERT(n <= RegionCapacity);
    for (uint32_t n : onLink)
      RC_ASSERT(n <= LinkLimit);
    // Connections that all VMs together may have open to a target, including idle ones.
    for (uint32_t t = 0; t < TargetCount; ++t) {
      uint32_t connections = 0;
      for (uint32_t n = LeaderCount; n < Vms.size(); ++n)
        connections += Vms[n].Holder->connectionLimit(targetId(t));
      RC_ASSERT(connections <= 400U);
    }
  }

  /// After the faults every VM must hold a fair share of the region capacities, and few slots may
  /// be unused.
  void checkShares() {
    std::vector<uint32_t> held(Vms.size());
    uint32_t all = 0;
    for (uint32_t n = LeaderCount; n < Vms.size(); ++n)
      for (uint32_t t = 0; t < TargetCount; ++t) {
        const uint32_t slots =
            Vms[n].Holder->inUse(targetId(t)) + Vms[n].Holder->available(targetId(t));
        held[n] += slots;
        all += slots;
      }
    // The regions together allow 16 of 20 slots; one slot is the reserve.
    RC_ASSERT(all + 2 >= 2 * RegionCapacity);
    for (uint32_t n = LeaderCount; n < Vms.size(); ++n)
      RC_ASSERT(held[n] >= 2U);
  }

  Time Now;
  testing::FaultNetwork<std::string> Network;
  std::vector<TargetInfo> Targets;
  std::vector<std::unique_ptr<SlotLedger>> Ledgers;
  uint32_t LeaderNode = 0;
  Term CurrentTerm{1};
  std::vector<Vm> Vms;
  std::vector<Request> Requests;
  size_t Completed = 0;
};

} // namespace

/// Guards against more requests in flight than the limits of a target, region or link allow, under
/// lost, duplicated and reordered reports, pauses, restarts, one-way partitions, clock drift and
/// leader changes at the same time, and against slots that are not reclaimed afterwards.
Test(SlotFaults, limitsHoldAndSlotsAreReclaimed) {
  size_t simulations = 0;
  size_t completed = 0;
  testing::checkProperty("slots, regions and links within their limits", [&](uint64_t seed) {
    Simulation simulation(seed);
    simulation.run();
    completed += simulation.completed();
    ++simulations;
  });
  // A simulation in which nothing is granted would satisfy every limit.
  cr_assert_gt(completed, 200 * simulations);
}
