#include "entry/RegionWeights.h"
#include "core/Hash.h"

#include <criterion/criterion.h>

#include <cmath>
#include <map>
#include <set>
#include <string>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;

namespace {

const RegionId Own("own");
const RegionId Far("far");
const RegionId Further("further");
const std::set<RegionId> All{Own, Far, Further};

/// Returns the regions of 4,000 objects.
std::map<uint64_t, RegionId> regions(const RegionWeights &weights) {
  std::map<uint64_t, RegionId> out;
  for (uint64_t i = 0; i < 4000; ++i)
    out[i] = weights.regionOf(hash64(std::to_string(i)), All).value();
  return out;
}

double fractionIn(const std::map<uint64_t, RegionId> &of, const RegionId &region) {
  double n = 0;
  for (const auto &[object, it] : of)
    n += it == region ? 1 : 0;
  return n / static_cast<double>(of.size());
}

} // namespace

/// Guards against moving objects of regions whose weight has not changed, and against regions whose
/// part of the objects does not match their weight.
Test(RegionWeights, weightChangeMovesMinimalObjects) {
  RegionWeights weights;
  weights.update({{Own, 0.5}, {Far, 0.5}, {Further, 0}}, false, Time{0});
  auto before = regions(weights);
  cr_assert_float_eq(fractionIn(before, Own), 0.5, 0.03);
  cr_assert_eq(fractionIn(before, Further), 0);
  weights.update({{Own, 0.4}, {Far, 0.5}, {Further, 0.1}}, true, Time{100});
  auto after = regions(weights);
  double moved = 0;
  for (const auto &[object, region] : before) {
    moved += after[object] == region ? 0 : 1;
    cr_assert(after[object] == region || region == Own || after[object] == Further);
  }
  cr_assert_float_eq(moved / 4000, 0.1, 0.05);
}

/// Guards against abrupt shifts when the demand becomes known or a region fills up. All VMs move
/// towards the same weights, so that the rate limit of each also holds in total. The platform
/// allows a change of 0.15 between consecutive 2 s windows, of which 0.09 is reserved for
/// spillover.
Test(RegionWeights, weightsShiftGradually) {
  RegionWeights weights;
  weights.update({{Own, 1}, {Far, 0}}, false, Time{0});
  double last = 1;
  for (int64_t ms = 100; ms <= 20'000; ms += 100) {
    weights.update({{Own, 0.3}, {Far, 0.7}}, false, Time{ms});
    if (ms % 2000 != 0)
      continue;
    double own = fractionIn(regions(weights), Own);
    cr_assert_leq(last - own, 0.15 - 0.09 + 0.01, "%.3f after %.3f", own, last);
    last = own;
  }
  cr_assert_leq(last, 0.45);
}

/// Guards against abrupt shifts by VMs that get a request for a service only every few seconds, as
/// most VMs of a large fleet do: together they would move all objects at once.
Test(RegionWeights, infrequentRequestsMoveNoFaster) {
  RegionWeights weights;
  weights.update({{Own, 1}, {Far, 0}}, false, Time{0});
  double last = 1;
  for (int64_t ms = 2500; ms <= 10'000; ms += 2500) {
    weights.update({{Own, 0}, {Far, 1}}, false, Time{ms});
    double own = fractionIn(regions(weights), Own);
    cr_assert_leq(last - own, 0.15 * 2.5 / 2, "%.3f after %.3f", own, last);
    last = own;
  }
}

/// Guards against objects that stay assigned to a failed region because of the rate limit.
Test(RegionWeights, failuresMoveImmediately) {
  RegionWeights weights;
  weights.update({{Own, 1}, {Far, 0}}, false, Time{0});
  weights.update({{Own, 0}, {Far, 1}}, true, Time{100});
  cr_assert_eq(fractionIn(regions(weights), Far), 1);
  // An object has no region when none of those allowed has a weight.
  cr_assert_not(weights.regionOf(1, {Own}).has_value());
}
