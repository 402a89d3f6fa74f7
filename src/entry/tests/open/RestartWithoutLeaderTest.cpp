#include "entry/testing/RestartFleet.h"

#include <criterion/criterion.h>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry::testing;

/// Guards against a flood of a target that starts again while no leader passes notices on, and
/// before the VMs know that.
Test(RestartWithoutLeader, coldProcessIsNotFlooded) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    RestartPlan plan;
    plan.Vms = 100;
    plan.Targets = 1;
    plan.RequestsPerS = 120;
    plan.KeepAlive = Duration{500};
    plan.LeaderGone = Duration{1000};
    plan.Seed = seed;
    RestartFleet fleet(plan);
    fleet.play();
    cr_expect_leq(static_cast<double>(fleet.worstSecond()), RestartFleet::AllowedRatePerS,
                  "%zu requests in one second with seed %lu", fleet.worstSecond(), seed);
  }
}
