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

// Fails if runs with the same seed differ, for example because decisions depend on the order of
// pointers.
Test(policy, sameSeedGivesSameFigures) {
  const Scene scene = shortScene("region_loss");
  for (bool managed : {true, false}) {
    const nlohmann::json first = runScene(deployments()[0], scene, 7, managed);
    cr_assert_eq(first, runScene(deployments()[0], scene, 7, managed));
    cr_assert_neq(first, runScene(deployments()[0], scene, 8, managed));
  }
}

// Fails if a customer that sends five times its rate takes capacity from the others. The design
// requires that at least 99% of the requests within the rate are admitted under steady load.
Test(policy, customerAboveItsRateTakesNothingFromOthers) {
  const nlohmann::json row = runScene(deployments()[0], shortScene("five_times"), 1, true);
  cr_assert_geq(row["requests"].get<int>(), 1'000);
  cr_assert_leq(row["refused_within_rate"].get<double>(), 0.01);
}
