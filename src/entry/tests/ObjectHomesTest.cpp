#include "entry/ObjectHomes.h"
#include "core/Hash.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;

/// Guards against targets that are home of more objects than they remember, because one VM of many
/// meets only few of the objects. The load: 800 objects, of which the VM knows 40; the region has
/// 20 targets that are taken to remember 30 each, other regions have 80.
Test(ObjectHomes, objectsThatOthersAskForCount) {
  ObjectHomes homes;
  std::vector<TargetId> ids;
  for (int i = 0; i < 100; ++i)
    ids.emplace_back("t" + std::to_string(i));
  const RegionId own("own");
  const RegionId far("far");
  std::vector<uint64_t> objects;
  for (int i = 0; i < 800; ++i)
    objects.push_back(hash64(std::to_string(i)));
  for (size_t i = 0; i < 40; ++i)
    homes.note("s", objects[i], {}, Time{0});
  std::vector<link::ServiceDemand> counts{{own, "s", 800, 0}};
  homes.setDemand(counts);
  size_t local = 0;
  for (uint64_t object : objects) {
    std::vector<HomeCandidate> candidates;
    for (size_t i = 0; i < ids.size(); ++i)
      candidates.push_back({&ids[i], i < 20 ? &own : &far, 6});
    homes.markHomes("s", object, own, absl::MakeSpan(candidates), {Time{0}});
    for (size_t i = 0; i < 20; ++i)
      local += candidates[i].IsHome ? 1 : 0;
  }
  // All targets together remember 600, within the spread of the hash.
  cr_assert_leq(local, 650, "%zu", local);
  cr_assert_geq(local, 550, "%zu", local);
}

/// Guards against a sample that is not made of the smallest hashes.
Test(ObjectHomes, samplesAreTheSmallestHashes) {
  ObjectHomes homes;
  for (uint64_t i = 200; i > 0; --i)
    homes.note("s", i << 32, {100, 100}, Time{0});
  std::vector<link::ServiceSample> samples = homes.samples(Time{0}, /*withObjects=*/true);
  cr_assert_eq(samples.size(), 1);
  cr_assert_eq(samples[0].Smallest.size(), link::SampleSize);
  for (size_t i = 0; i < link::SampleSize; ++i)
    cr_assert_eq(samples[0].Smallest[i], i + 1);
  // Of the shortest span that is taken as measured, 400 ms; the window weighs the last requests
  // more.
  cr_assert_float_eq(samples[0].Slots, 200 * 100 / 400.0, 6);
}

/// Guards against demand that is taken for small in the first seconds, when each request takes a
/// target longer and less than a window has been measured. The load: 50 requests a second for new
/// objects, then for objects that their homes know.
Test(ObjectHomes, demandCountsWhatTargetsLearn) {
  ObjectHomes homes;
  const WorkTime time{200, 800};
  Time now{0};
  for (; now < Time{1000}; now = now + Duration{20})
    homes.note("s", 1, time, now);
  cr_assert_float_eq(homes.samples(now, false)[0].Slots, 50 * 0.8, 4);
  for (; now < Time{10'000}; now = now + Duration{20}) {
    homes.note("s", 1, time, now);
    homes.recordHit("s", true);
  }
  cr_assert_float_eq(homes.samples(now, false)[0].Slots, 50 * 0.2, 1);
}

/// Guards against a region that teaches its few targets all objects before the demand is known, to
/// move most of them away afterwards. The load: callers ask alike in three regions, of which one
/// has a fifth of the targets.
Test(ObjectHomes, aPoorRegionStartsWithItsPartOfTheObjects) {
  const RegionId own("own");
  const RegionId far("far");
  const RegionId further("further");
  const std::vector<const RegionId *> regions{&own, &far, &far, &further, &further};
  ObjectHomes homes;
  std::vector<TargetId> ids;
  for (int i = 0; i < 100; ++i)
    ids.emplace_back("t" + std::to_string(i));
  size_t local = 0;
  constexpr size_t n = 2000;
  for (size_t k = 0; k < n; ++k) {
    std::vector<HomeCandidate> candidates;
    for (size_t i = 0; i < ids.size(); ++i)
      candidates.push_back({&ids[i], regions[i / 20], 6});
    homes.markHomes("s", hash64(std::to_string(k)), own, absl::MakeSpan(candidates), {Time{0}});
    for (const HomeCandidate &it : candidates)
      local += it.IsHome && *it.Region == own ? 1 : 0;
  }
  // A fifth of the slots serves a third of the callers.
  cr_assert_float_eq(static_cast<double>(local) / static_cast<double>(n), 0.6, 0.03);
}

/// Guards against a region whose targets are full while those of other regions are idle, and
/// against objects that go to a region which is full itself. The load: requests that take 160 slots
/// where there are 120, of which 72 may be used while not all regions need more; another region has
/// room for all of the excess, for a part of it, or for none. A third region has room only when
/// more is asked for than there are slots: then all are used alike.
Test(ObjectHomes, aFullRegionLeavesObjectsToOthers) {
  const RegionId own("own");
  const RegionId far("far");
  const RegionId full("full");
  const std::vector<const RegionId *> regions{&own, &far, &far, &far, &full};
  struct Case {
    double Elsewhere; ///< Slots that callers of the other region take.
    double Kept;      ///< Slots that the objects kept in the region take.
    double ToFull;    ///< The same of those that go to the third region.
  };
  // Of 600 slots, 436 and 660 are asked for in the second and third case.
  for (auto [elsewhere, kept, toFull] :
       {Case{50, 72, 0}, {176, 120 * 436 / 600.0, 0}, {400, 120 * 660 / 600.0, 28}}) {
    ObjectHomesSettings settings;
    settings.UsableSlots = 0.6;
    ObjectHomes homes(settings);
    std::vector<TargetId> ids;
    for (int i = 0; i < 100; ++i)
      ids.emplace_back("t" + std::to_string(i));
    homes.note("s", 1, {}, Time{0});
    std::vector<link::ServiceDemand> demand{
        {own, "s", 300, 160}, {far, "s", 300, elsewhere}, {full, "s", 300, 100}};
    homes.setDemand(demand);
    std::map<RegionId, size_t> count;
    constexpr size_t n = 2000;
    for (size_t k = 0; k < n; ++k) {
      std::vector<HomeCandidate> candidates;
      for (size_t i = 0; i < ids.size(); ++i)
        candidates.push_back({&ids[i], regions[i / 20], 6});
      homes.markHomes("s", hash64(std::to_string(k)), own, absl::MakeSpan(candidates), {Time{0}});
      for (const HomeCandidate &it : candidates)
        count[*it.Region] += it.IsHome ? 1 : 0;
    }
    // The slots that the objects kept in the region take, within the spread of the hash.
    double taken = 160.0 * static_cast<double>(count[own]) / static_cast<double>(n);
    cr_assert_float_eq(taken, kept, 8, "%.0f with %.0f elsewhere", taken, elsewhere);
    double gone = 160.0 * static_cast<double>(count[full]) / static_cast<double>(n);
    cr_assert_float_eq(gone, toFull, toFull == 0 ? 0.01 : 8, "%.0f with %.0f elsewhere", gone,
                       elsewhere);
  }
}
