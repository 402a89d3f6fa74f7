#include "agreement/testing/MemberFleet.h"
#include "core/testing/Property.h"

#include <algorithm>

using namespace briarspar::core;
using namespace briarspar::agreement;
using briarspar::agreement::testing::InvariantViolation;
using briarspar::agreement::testing::MemberFleet;
using briarspar::core::testing::checkProperty;

namespace {

constexpr uint32_t VmCount = 5;
constexpr size_t BorneLosses = 2;       ///< Machines that may be lost at once.
constexpr int64_t RecoveryMs = 4000;    ///< A machine stays lost this long after it is back.
constexpr Duration ServiceTime{15'000}; ///< Service is back this long after all VMs are back.
constexpr int64_t StartMs = 6000;       ///< All VMs have joined the group by then.
constexpr int64_t ScheduleMs = 24'000;

struct Fault {
  enum Kind { Replace, ReplacePlanned, Wipe, Cut, Freeze, Kill, DiskFull, DiskStall, KindCount };
  Kind What = Replace;
  uint32_t Pick = 0;    ///< Selects a running VM; 0 selects the leader.
  int64_t Start = 0;    ///< Ms after the start of the schedule.
  int64_t Length = 0;   ///< Time until the VM or its successor is back.
  bool Exceeds = false; ///< May start while as many machines are lost as must be borne.
};

std::ostream &operator<<(std::ostream &os, const Fault &f) {
  const char *names[] = {"replace", "replacePlanned", "wipe",     "cut",
                         "freeze",  "kill",           "diskFull", "diskStall"};
  return os << names[f.What] << '(' << f.Pick << ")@" << f.Start << '+' << f.Length
            << (f.Exceeds ? "!" : "");
}

rc::Gen<Fault> genFault() {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange<int>(0, Fault::KindCount),
                                     rc::gen::inRange(0u, 12u),
                                     rc::gen::inRange<int64_t>(0, ScheduleMs / 500),
                                     rc::gen::element<int64_t>(300, 1000, 2000, 5000, 7000, 12'000),
                                     rc::gen::inRange(0, 6)),
                      [](const auto &t) {
                        return Fault{static_cast<Fault::Kind>(std::get<0>(t)), std::get<1>(t),
                                     std::get<2>(t) * 500, std::get<3>(t), std::get<4>(t) == 0};
                      });
}

/// Plays faults on a fleet. A fault is left out where it would lose more machines or disks than
/// must be borne; one that exceeds the machines may still start if it loses no disk.
class Schedule {
public:
  Schedule(MemberFleet &fleet, std::vector<Fault> faults)
      : Fleet(fleet), Faults(std::move(faults)) {}

  void run() {
    for (int64_t at = 0; at < ScheduleMs + 12'000; at += 50) {
      for (size_t k = 0; k < Active.size(); ++k)
        if (!Active[k].Ended && at >= Active[k].EndAt)
          end(Active[k], at);
      for (const Fault &fault : Faults)
        if (fault.Start == at)
          begin(fault, at);
      updateLosses(at);
      checkMargin();
      Fleet.propose();
      Fleet.run({50});
    }
  }

private:
  /// A fault that began.
  struct Loss {
    Fault What;
    uint32_t Vm = 0;
    int64_t EndAt = 0;
    bool Ended = false;
    bool Counts = true;   ///< Counts as a lost machine, until the recovery time after its end.
    bool DiskLost = true; ///< Counts as a lost disk: while the old identity is a voter, too.
    VoterId Old = {};     ///< Identity that has lost its disk.

    bool losesDisk() const { return What.What <= Fault::Wipe; }
  };

  size_t lostMachines() const {
    return static_cast<size_t>(
        std::count_if(Active.begin(), Active.end(), [](const Loss &it) { return it.Counts; }));
  }

  size_t lostDisks() const {
    return static_cast<size_t>(std::count_if(Active.begin(), Active.end(), [](const Loss &it) {
      return it.losesDisk() && it.DiskLost;
    }));
  }

  std::optional<uint32_t> pick(uint32_t value) {
    if (value == 0)
      return Fleet.leader();
    std::vector<uint32_t> candidates;
    for (uint32_t n = 0; n < Fleet.Vms.size(); ++n)
      if (!Fleet.Vms[n].Gone)
        candidates.push_back(n);
    return candidates[value % candidates.size()];
  }

  void begin(const Fault &fault, int64_t at) {
    std::optional<uint32_t> vm = pick(fault.Pick);
    if (!vm || isAffected(*vm))
      return;
    Loss loss{fault, *vm, at + fault.Length};
    if (loss.losesDisk() && lostDisks() >= BorneLosses)
      return;
    const bool exceeds = lostMachines() >= BorneLosses;
    if (exceeds && !fault.Exceeds)
      return;
    HasExceeded = HasExceeded || exceeds;
    if (Fleet.Vms[*vm].Process != nullptr)
      loss.Old = Fleet.Vms[*vm].Process->replica().self();
    switch (fault.What) {
    case Fault::Replace:
      Fleet.remove(*vm);
      break;
    case Fault::ReplacePlanned:
      loss.Vm = Fleet.add();
      Leaving.emplace_back(loss.Vm, *vm);
      break;
    case Fault::Wipe:
      Fleet.wipe(*vm);
      break;
    case Fault::Cut:
      Fleet.isolate(*vm);
      break;
    case Fault::Freeze:
    case Fault::DiskStall: // The only thread waits for the disk.
      Fleet.setPaused(*vm, true);
      break;
    case Fault::Kill:
      Fleet.kill(*vm);
      break;
    case Fault::DiskFull:
      Fleet.setDiskFull(*vm, true);
      break;
    case Fault::KindCount:
      break;
    }
    Active.push_back(loss);
  }

  void end(Loss &loss, int64_t at) {
    loss.Ended = true;
    loss.EndAt = at;
    switch (loss.What.What) {
    case Fault::Replace:
      loss.Vm = Fleet.add();
      break;
    case Fault::ReplacePlanned:
      for (const auto &[successor, old] : Leaving)
        if (successor == loss.Vm)
          Fleet.remove(old);
      break;
    case Fault::Wipe:
    case Fault::Kill:
      Fleet.start(loss.Vm);
      break;
    case Fault::Cut:
      Fleet.reconnect(loss.Vm);
      break;
    case Fault::Freeze:
    case Fault::DiskStall:
      Fleet.setPaused(loss.Vm, false);
      break;
    case Fault::DiskFull:
      Fleet.setDiskFull(loss.Vm, false);
      break;
    case Fault::KindCount:
      break;
    }
  }

  void updateLosses(int64_t at) {
    for (Loss &it : Active) {
      it.Counts = it.Counts && !(it.Ended && at - it.EndAt >= RecoveryMs);
      // Without a leader nobody knows the voters.
      it.DiskLost = it.DiskLost &&
                    (it.Counts || !Fleet.leader() || hasNoVoter(it.Vm) || Fleet.isVoterId(it.Old));
    }
  }

  /// Returns whether a VM that has not been replaced itself is no voter yet.
  bool hasNoVoter(uint32_t vm) { return !Fleet.Vms[vm].Gone && !Fleet.isVoter(vm); }

  /// Checks that the group bears the loss of as many further machines as the platform may take.
  void checkMargin() {
    std::optional<uint32_t> at = Fleet.leader();
    if (HasExceeded || !at)
      return;
    auto isDisturbed = [&](uint32_t vm) {
      return std::any_of(Active.begin(), Active.end(), [&](const Loss &it) {
        return it.Vm == vm && !it.Ended && it.What.What != Fault::ReplacePlanned;
      });
    };
    size_t sound = 0;
    for (uint32_t n = 0; n < Fleet.Vms.size(); ++n)
      if (!isDisturbed(n) && Fleet.isVoter(n))
        ++sound;
    const Replica &leader = Fleet.Vms[*at].Process->replica();
    size_t margin = BorneLosses - std::min(BorneLosses, lostMachines());
    RC_ASSERT(sound >= leader.committedConfiguration().quorumSize() + margin);
  }

  /// Returns whether a fault of the VM goes on, or it is about to be removed.
  bool isAffected(uint32_t vm) const {
    return std::any_of(Active.begin(), Active.end(),
                       [&](const Loss &it) { return it.Vm == vm && !it.Ended; }) ||
           std::any_of(Leaving.begin(), Leaving.end(),
                       [&](const auto &it) { return it.second == vm; });
  }

  MemberFleet &Fleet;
  std::vector<Fault> Faults;
  std::vector<Loss> Active;
  bool HasExceeded = false;
  std::vector<std::pair<uint32_t, uint32_t>> Leaving; ///< Successor and the VM that it replaces.
};

void checkFleet() {
  auto seed = *rc::gen::arbitrary<uint64_t>().as("seed");
  auto faults = *rc::gen::container<std::vector<Fault>>(genFault()).as("faults");
  for (int k = 0; k < 4; ++k)
    faults.push_back(*genFault().as("further fault"));
  MemberFleet fleet(VmCount, seed);
  fleet.Net.settings().LossPermille = *rc::gen::inRange(0u, 30u).as("loss");
  try {
    fleet.run({StartMs});
    Schedule(fleet, faults).run();
    fleet.Net.settings().LossPermille = 0;
    RC_ASSERT(fleet.runUntil(ServiceTime, [&] { return fleet.readsBackAll(); }));
    RC_ASSERT(fleet.runUntil(ServiceTime, [&] { return fleet.votersAreTheRunning(); }));
    RC_ASSERT(fleet.acknowledgesWithin({2000}));
  } catch (const InvariantViolation &violation) {
    RC_FAIL(violation.what());
  }
}

} // namespace

/// Guards against a group that loses acknowledged commands, that keeps voters which no longer run
/// with the state they voted with, or that leaves a VM out for good, after replacements, lost, full
/// and stalled disks, cuts, freezes and kills in any order.
Test(GroupMemberSchedule, votersAreTheRunningProcessesAfterAnyOrderOfFaults) {
  checkProperty("membership", checkFleet);
}
