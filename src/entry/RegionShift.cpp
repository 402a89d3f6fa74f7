#include "entry/RegionShift.h"

namespace briarspar::entry {

RegionShift::RegionShift(const RegionShiftSettings &settings) : Settings(settings) {}

bool RegionShift::mayUse(const core::RegionId &region, core::Time now) {
  int64_t at = now.Ms / BucketMs;
  int64_t recent = Settings.Recent.Ms / BucketMs;
  int64_t before = Settings.Before.Ms / BucketMs;
  Sum earlier = sum(region, at - recent - before, at - recent);
  if (earlier.Total < Settings.LeastRequests)
    return true;
  Sum current = sum(region, at - recent, at + 1);
  double allowed = earlier.Region / earlier.Total + Settings.MaxGrowth;
  // One request more is always possible, as a share of few requests moves in steps.
  return current.Region <= allowed * (current.Total + 1);
}

void RegionShift::count(const core::RegionId &region, core::Time now) {
  Bucket &it = bucket(now);
  ++it.Total;
  ++it.ByRegion[region];
}

RegionShift::Bucket &RegionShift::bucket(core::Time now) {
  int64_t at = now.Ms / BucketMs;
  Bucket &it = Buckets[static_cast<size_t>(at) % Buckets.size()];
  if (it.At != at)
    it = {at, 0, {}};
  return it;
}

RegionShift::Sum RegionShift::sum(const core::RegionId &region, int64_t from, int64_t to) const {
  Sum out;
  for (const Bucket &it : Buckets) {
    if (it.At < from || it.At >= to)
      continue;
    out.Total += it.Total;
    auto known = it.ByRegion.find(region);
    out.Region += known == it.ByRegion.end() ? 0 : known->second;
  }
  return out;
}

} // namespace briarspar::entry
