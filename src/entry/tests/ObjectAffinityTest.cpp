#include "entry/ObjectAffinity.h"
#include "core/Hash.h"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;

namespace {

const RegionId Own("own");
const RegionId Far("far");
const RegionId Other("other");

/// A hundred targets of six slots, twenty in each entry of `Regions`.
struct Targets {
  std::vector<const RegionId *> Regions;
  std::vector<TargetId> Ids;

  explicit Targets(std::vector<const RegionId *> regions) : Regions(std::move(regions)) {
    for (int i = 0; i < 100; ++i)
      Ids.emplace_back("t" + std::to_string(i));
  }

  /// Returns how many of `n` objects have their primary target in each region, for callers of Own.
  std::map<RegionId, double> affinity(ObjectAffinity &of, size_t n) const {
    std::map<RegionId, double> count;
    for (size_t k = 0; k < n; ++k) {
      std::vector<AffinityCandidate> candidates;
      for (size_t i = 0; i < Ids.size(); ++i)
        candidates.push_back({&Ids[i], Regions[i / 20], 6});
      of.markPreferred("s", hash64(std::to_string(k)), Own, absl::MakeSpan(candidates), {Time{0}});
      for (const AffinityCandidate &it : candidates)
        count[*it.Region] += it.IsPrimary ? 1 : 0;
    }
    return count;
  }
};

} // namespace

/// Guards against assigning more objects to targets than they can cache, because one VM of many
/// sees only few of the objects. Of 800 objects the VM knows 40; the region has 20 targets with an
/// estimated capacity of 30 objects each, other regions have 80 targets.
Test(ObjectAffinity, countsObjectsRequestedAtOtherVms) {
  ObjectAffinity affinity;
  for (int i = 0; i < 40; ++i)
    affinity.recordRequest("s", hash64(std::to_string(i)), {}, Time{0});
  std::vector<link::ServiceDemand> counts{{Own, "s", 800, 0}};
  affinity.setDemand(counts);
  double local = Targets({&Own, &Far, &Far, &Far, &Far}).affinity(affinity, 800)[Own];
  // The 20 targets can cache 600 objects in total; the rest is variation of the hash.
  cr_assert_leq(local, 650, "%.0f", local);
  cr_assert_geq(local, 550, "%.0f", local);
}

/// Guards against a sample that does not consist of the smallest hashes.
Test(ObjectAffinity, samplesContainSmallestHashes) {
  ObjectAffinity affinity;
  for (uint64_t i = 200; i > 0; --i)
    affinity.recordRequest("s", i << 32, {100, 100}, Time{0});
  std::vector<link::ServiceSample> samples = affinity.samples(Time{0}, /*withObjects=*/true);
  cr_assert_eq(samples.size(), 1);
  cr_assert_eq(samples[0].MinHashes.size(), link::SketchSize);
  for (size_t i = 0; i < link::SketchSize; ++i)
    cr_assert_eq(samples[0].MinHashes[i], i + 1);
  // Demand is averaged over the minimum span of 400 ms; the window gives the last requests more
  // weight.
  cr_assert_float_eq(samples[0].Slots, 200 * 100 / 400.0, 6);
}

/// Guards against underestimating demand in the first seconds, when requests take longer because of
/// cache misses and less than a window has been measured: 50 requests per second for new objects,
/// then for cached ones.
Test(ObjectAffinity, demandFollowsCacheHits) {
  ObjectAffinity affinity;
  const ProcessingTime time{200, 800};
  Time now{0};
  for (; now < Time{1000}; now = now + Duration{20})
    affinity.recordRequest("s", 1, time, now);
  cr_assert_float_eq(affinity.samples(now, false)[0].Slots, 50 * 0.8, 4);
  for (; now < Time{10'000}; now = now + Duration{20}) {
    affinity.recordRequest("s", 1, time, now);
    affinity.recordHit("s", true);
  }
  cr_assert_float_eq(affinity.samples(now, false)[0].Slots, 50 * 0.2, 1);
}

/// Guards against a small region whose few targets cache all objects before the demand is known,
/// most of which then have to move away. Three regions have the same demand, and one has a fifth of
/// the targets.
Test(ObjectAffinity, smallRegionStartsWithProportionalShare) {
  ObjectAffinity affinity;
  double local = Targets({&Own, &Far, &Far, &Other, &Other}).affinity(affinity, 2000)[Own];
  // A fifth of the slots serves a third of the demand.
  cr_assert_float_eq(local / 2000, 0.6, 0.03);
}

/// Guards against a region whose targets are full while those of other regions are idle, and
/// against objects that move to a region that is full itself. The demand is 160 slots where there
/// are 120, of which 72 may be used unless all regions need more. Another region has room for all
/// of the excess, for a part of it, or for none. A third region has room only when total demand
/// exceeds the total slots: then all regions are loaded equally.
Test(ObjectAffinity, fullRegionMovesObjectsToOthers) {
  const Targets targets({&Own, &Far, &Far, &Far, &Other});
  struct Case {
    double Elsewhere; ///< Slots used by callers of the other region.
    double Kept;      ///< Slots used by objects that stay in the region.
    double ToThird;   ///< Slots used by objects that move to the third region.
  };
  // Total demand is 436 and 660 of 600 slots in the second and third case.
  for (auto [elsewhere, kept, toThird] :
       {Case{50, 72, 0}, {176, 120 * 436 / 600.0, 0}, {400, 120 * 660 / 600.0, 28}}) {
    ObjectAffinitySettings settings;
    settings.MaxSlotUse = 0.6;
    ObjectAffinity affinity(settings);
    affinity.recordRequest("s", 1, {}, Time{0});
    std::vector<link::ServiceDemand> demand{
        {Own, "s", 300, 160}, {Far, "s", 300, elsewhere}, {Other, "s", 300, 100}};
    affinity.setDemand(demand);
    std::map<RegionId, double> count = targets.affinity(affinity, 2000);
    // Slots used by objects that stay in the region, within the variation of the hash.
    double taken = 160 * count[Own] / 2000;
    cr_assert_float_eq(taken, kept, 8, "%.0f with %.0f elsewhere", taken, elsewhere);
    double gone = 160 * count[Other] / 2000;
    cr_assert_float_eq(gone, toThird, toThird == 0 ? 0.01 : 8, "%.0f with %.0f elsewhere", gone,
                       elsewhere);
  }
}
