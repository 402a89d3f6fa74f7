#include "entry/ObjectHomes.h"
#include "core/Hash.h"

#include <criterion/criterion.h>

#include <map>

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
    homes.note("s", objects[i], Time{0});
  std::vector<link::ObjectCount> counts{{"s", 800}};
  homes.setCounts(counts);
  size_t local = 0;
  for (uint64_t object : objects) {
    std::vector<HomeCandidate> candidates;
    for (size_t i = 0; i < ids.size(); ++i)
      candidates.push_back({&ids[i], i < 20 ? &own : &far});
    homes.markHomes("s", object, own, absl::MakeSpan(candidates));
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
    homes.note("s", i, Time{0});
  std::vector<link::ObjectSample> samples = homes.samples();
  cr_assert_eq(samples.size(), 1);
  cr_assert_eq(samples[0].Smallest.size(), link::SampleSize);
  for (size_t i = 0; i < link::SampleSize; ++i)
    cr_assert_eq(samples[0].Smallest[i], i + 1);
}
