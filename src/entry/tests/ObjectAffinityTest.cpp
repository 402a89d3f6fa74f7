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

/// A hundred targets of six slots, twenty in each place of `Regions`.
struct Targets {
  std::vector<const RegionId *> Regions;
  std::vector<TargetId> Ids;

  explicit Targets(std::vector<const RegionId *> regions) : Regions(std::move(regions)) {
    for (int i = 0; i < 100; ++i)
      Ids.emplace_back("t" + std::to_string(i));
  }

  /// Returns how many of `n` objects have their home in each region for callers of Own.
  std::map<RegionId, double> homes(ObjectAffinity &of, size_t n) const {
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

/// Guards against targets that are home of more objects than they remember, because one VM of many
/// meets only few of the objects. The load: 800 objects, of which the VM knows 40; the region has
/// 20 targets that are taken to remember 30 each, other regions have 80.
Test(ObjectAffinity, objectsThatOthersAskForCount) {
  ObjectAffinity homes;
  for (int i = 0; i < 40; ++i)
    homes.recordRequest("s", hash64(std::to_string(i)), {}, Time{0});
  std::vector<link::ServiceDemand> counts{{Own, "s", 800, 0}};
  homes.setDemand(counts);
  double local = Targets({&Own, &Far, &Far, &Far, &Far}).homes(homes, 800)[Own];
  // All targets together remember 600, within the spread of the hash.
  cr_assert_leq(local, 650, "%.0f", local);
  cr_assert_geq(local, 550, "%.0f", local);
}

/// Guards against a sample that is not made of the smallest hashes.
Test(ObjectAffinity, samplesAreTheSmallestHashes) {
  ObjectAffinity homes;
  for (uint64_t i = 200; i > 0; --i)
    homes.recordRequest("s", i << 32, {100, 100}, Time{0});
  std::vector<link::ServiceSample> samples = homes.samples(Time{0}, /*withObjects=*/true);
  cr_assert_eq(samples.size(), 1);
  cr_assert_eq(samples[0].MinHashes.size(), link::SketchSize);
  for (size_t i = 0; i < link::SketchSize; ++i)
    cr_assert_eq(samples[0].MinHashes[i], i + 1);
  // Of the shortest span that is taken as measured, 400 ms; the window weighs the last requests
  // more.
  cr_assert_float_eq(samples[0].Slots, 200 * 100 / 400.0, 6);
}

/// Guards against demand that is taken for small in the first seconds, when each request takes a
/// target longer and less than a window has been measured. The load: 50 requests a second for new
/// objects, then for objects that their homes know.
Test(ObjectAffinity, demandCountsWhatTargetsLearn) {
  ObjectAffinity homes;
  const ProcessingTime time{200, 800};
  Time now{0};
  for (; now < Time{1000}; now = now + Duration{20})
    homes.recordRequest("s", 1, time, now);
  cr_assert_float_eq(homes.samples(now, false)[0].Slots, 50 * 0.8, 4);
  for (; now < Time{10'000}; now = now + Duration{20}) {
    homes.recordRequest("s", 1, time, now);
    homes.recordHit("s", true);
  }
  cr_assert_float_eq(homes.samples(now, false)[0].Slots, 50 * 0.2, 1);
}

/// Guards against a region that teaches its few targets all objects before the demand is known, to
/// move most of them away afterwards. The load: callers ask alike in three regions, of which one
/// has a fifth of the targets.
Test(ObjectAffinity, aPoorRegionStartsWithItsPartOfTheObjects) {
  ObjectAffinity homes;
  double local = Targets({&Own, &Far, &Far, &Other, &Other}).homes(homes, 2000)[Own];
  // A fifth of the slots serves a third of the callers.
  cr_assert_float_eq(local / 2000, 0.6, 0.03);
}

/// Guards against a region whose targets are full while those of other regions are idle, and
/// against objects that go to a region which is full itself. The load: requests that take 160 slots
/// where there are 120, of which 72 may be used while not all regions need more; another region has
/// room for all of the excess, for a part of it, or for none. A third region has room only when
/// more is asked for than there are slots: then all are used alike.
Test(ObjectAffinity, aFullRegionLeavesObjectsToOthers) {
  const Targets targets({&Own, &Far, &Far, &Far, &Other});
  struct Case {
    double Elsewhere; ///< Slots that callers of the other region take.
    double Kept;      ///< Slots that the objects kept in the region take.
    double ToFull;    ///< The same of those that go to the third region.
  };
  // Of 600 slots, 436 and 660 are asked for in the second and third case.
  for (auto [elsewhere, kept, toFull] :
       {Case{50, 72, 0}, {176, 120 * 436 / 600.0, 0}, {400, 120 * 660 / 600.0, 28}}) {
    ObjectAffinitySettings settings;
    settings.MaxSlotUse = 0.6;
    ObjectAffinity homes(settings);
    homes.recordRequest("s", 1, {}, Time{0});
    std::vector<link::ServiceDemand> demand{
        {Own, "s", 300, 160}, {Far, "s", 300, elsewhere}, {Other, "s", 300, 100}};
    homes.setDemand(demand);
    std::map<RegionId, double> count = targets.homes(homes, 2000);
    // The slots that the objects kept in the region take, within the spread of the hash.
    double taken = 160 * count[Own] / 2000;
    cr_assert_float_eq(taken, kept, 8, "%.0f with %.0f elsewhere", taken, elsewhere);
    double gone = 160 * count[Other] / 2000;
    cr_assert_float_eq(gone, toFull, toFull == 0 ? 0.01 : 8, "%.0f with %.0f elsewhere", gone,
                       elsewhere);
  }
}
