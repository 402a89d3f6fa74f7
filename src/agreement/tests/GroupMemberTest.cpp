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

/// Checks that the group has a leader again that holds what was acknowledged and takes commands.
void checkService(MemberFleet &fleet) {
  cr_assert(fleet.runUntil(ServiceTime, [&] { return fleet.readsBackAll(); }));
  cr_assert(fleet.acknowledgesWithin({2000}));
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

} // namespace
