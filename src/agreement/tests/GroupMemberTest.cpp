#include "agreement/testing/MemberFleet.h"

#include <criterion/criterion.h>

using namespace briarspar;
using namespace briarspar::agreement;
using namespace briarspar::core;
using briarspar::agreement::testing::MemberFleet;

namespace {

constexpr Duration JoinTime{6000};      ///< All VMs have joined the group by then.
constexpr Duration RecoveryTime{4000};  ///< A VM that is back this long no longer counts as lost.
constexpr Duration ServiceTime{15'000}; ///< Service is back this long after all VMs are back.

/// Two VMs lose their disks right after a command was acknowledged, and are back within a second.
void loseTwoDisks(MemberFleet &fleet, uint32_t first, uint32_t second) {
  cr_assert(fleet.acknowledgesWithin({2000}));
  fleet.wipe(first);
  fleet.wipe(second);
  fleet.run({1100});
  fleet.start(first);
  fleet.start(second);
}

/// Checks that the group has a leader again that holds what was acknowledged and takes commands.
void checkService(MemberFleet &fleet) {
  cr_assert(fleet.runUntil(ServiceTime, [&] { return fleet.readsBackAll(); }));
  cr_assert(fleet.acknowledgesWithin({2000}));
  cr_assert(fleet.runUntil(ServiceTime, [&] { return fleet.votersAreTheRunning(); }));
}

/// Guards against a VM that stays out of the group after its disk was full for some seconds: after
/// three such VMs the group had no quorum.
Test(GroupMember, vmTakesPartAgainAfterItsDiskWasFull) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    MemberFleet fleet(5, seed);
    fleet.run(JoinTime);
    for (uint32_t n = 0; n < 5; ++n) {
      fleet.setDiskFull(n, true);
      fleet.runUntil({5000}, [] { return false; });
      fleet.setDiskFull(n, false);
      fleet.runUntil({7000}, [] { return false; });
      cr_assert(fleet.isVoter(n));
    }
    checkService(fleet);
  }
}

/// Guards against replaced VMs that stay voters: when two were replaced within seconds, the loss of
/// two disks later left the group without a quorum.
Test(GroupMember, twoReplacedVmsLeaveTheGroup) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    MemberFleet fleet(5, seed);
    fleet.run(JoinTime);
    fleet.remove(0);
    fleet.run({1000});
    fleet.add();
    fleet.run({1000});
    fleet.remove(1);
    fleet.run({1000});
    fleet.add();
    fleet.run(RecoveryTime);
    cr_assert(fleet.votersAreTheRunning());
    loseTwoDisks(fleet, 2, 3);
    checkService(fleet);
  }
}

/// Guards against a VM that was removed while it was cut off and never rejoins, since its own log
/// still lists it as a voter.
Test(GroupMember, vmThatWasRemovedWhileCutOffRejoins) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    MemberFleet fleet(5, seed);
    fleet.run(JoinTime);
    fleet.isolate(3);
    fleet.run({1000});
    fleet.remove(4);
    fleet.run({1000});
    fleet.add();
    fleet.runUntil({10'000}, [] { return false; });
    fleet.reconnect(3);
    fleet.run(RecoveryTime);
    cr_assert(fleet.votersAreTheRunning());
    loseTwoDisks(fleet, 1, 2);
    checkService(fleet);
  }
}

/// Guards against a VM that is never admitted again because its wall clock was set back before it
/// lost its disk, so that its new identity is older than the one that the group knows.
Test(GroupMember, vmWithoutDiskRejoinsAfterItsClockWasSetBack) {
  MemberFleet fleet(5, 1);
  fleet.run(JoinTime);
  fleet.wipe(4);
  fleet.start(4);
  fleet.run(RecoveryTime);
  fleet.WallClockStep = {-30'000};
  loseTwoDisks(fleet, 4, 3);
  fleet.run(RecoveryTime);
  cr_assert(fleet.votersAreTheRunning());
}

} // namespace
