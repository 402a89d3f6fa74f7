#include "../RoutingPolicy.h"

#include <criterion/criterion.h>

using namespace briarspar::tools;

namespace {

Scene shortScene(const std::string &name) {
  for (const Scene &scene : scenes())
    if (scene.Name == name) {
      Scene s = scene;
      s.DurationMs = 12'000;
      return s;
    }
  cr_assert_fail("no scene %s", name.c_str());
  return {};
}

} // namespace

// Guards against figures that differ between runs, for example through the order of pointers.
Test(policy, sameSeedGivesSameFigures) {
  const Scene scene = shortScene("region_loss");
  for (bool managed : {true, false}) {
    const nlohmann::json first = runScene(deployments()[0], scene, 7, managed);
    cr_assert_eq(first, runScene(deployments()[0], scene, 7, managed));
    cr_assert_neq(first, runScene(deployments()[0], scene, 8, managed));
  }
}

// Guards against a customer above its rate costing the others theirs. Section 4.5 of the design
// page: at least 99% of the requests within the rate are admitted when load is steady.
Test(policy, customerAboveItsRateCostsOthersNothing) {
  const nlohmann::json row = runScene(deployments()[0], shortScene("five_times"), 1, true);
  cr_assert_geq(row["requests"].get<int>(), 1'000);
  cr_assert_leq(row["refused_within_rate"].get<double>(), 0.01);
}
