#include "core/testing/Property.h"
#include "entry/testing/RestartFleet.h"

#include <cmath>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry::testing;

namespace {

RestartPlan anyPlan() {
  RestartPlan plan;
  // From 50 ms to 5 s, short falls as often as long ones.
  plan.Fall = Duration{static_cast<int64_t>(50 * std::pow(100, *rc::gen::inRange(0, 100) / 100.0))};
  plan.Falls = *rc::gen::inRange<size_t>(1, 4);
  plan.RequestsPerS = 120;
  plan.Vms = *rc::gen::element<size_t>(24, 100);
  plan.Targets = *rc::gen::element<size_t>(1, 4);
  plan.KeepAlive = *rc::gen::element(Duration{500}, Duration{7000});
  plan.LossPermille = *rc::gen::inRange<uint64_t>(0, 200);
  plan.ListLag = Duration{*rc::gen::inRange<int64_t>(300, 2000)};
  plan.Seed = *rc::gen::arbitrary<uint32_t>();
  return plan;
}

} // namespace

/// Guards against a flood of a target that starts again under its id within less time than the
/// target list takes to show it.
Test(Restart, coldProcessIsNotFloodedAfterAShortFall) {
  testing::checkProperty("requests to a cold process", [] {
    RestartFleet fleet(anyPlan());
    fleet.play();
    const size_t worst = fleet.worstSecond();
    RC_LOG() << worst << " requests in one second, allowed " << RestartFleet::AllowedRatePerS
             << std::endl;
    RC_ASSERT(static_cast<double>(worst) <= RestartFleet::AllowedRatePerS);
  });
}

/// Guards against a warm target that gets no requests because its connections were reset: a doubt
/// must end as soon as its process has answered.
Test(Restart, resetConnectionsDoNotLeaveAWarmTargetIdle) {
  testing::checkProperty("time without requests", [] {
    constexpr Duration allowed{1000};
    RestartPlan plan = anyPlan();
    plan.Restarts = false;
    RestartFleet fleet(plan);
    fleet.play();
    RC_LOG() << "idle for " << fleet.longestIdle().Ms << " ms, allowed " << allowed.Ms << std::endl;
    RC_ASSERT(fleet.longestIdle().Ms > 0);
    RC_ASSERT(fleet.longestIdle() <= allowed);
  });
}
