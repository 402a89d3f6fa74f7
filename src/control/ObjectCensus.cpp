#include "control/ObjectCensus.h"

#include <algorithm>

namespace briarspar::control {

void ObjectCensus::report(const core::VmId &vm, const core::RegionId &region,
                          absl::Span<const link::ObjectSample> samples, core::Time now) {
  Regions[region].Vms[vm] = {now, {samples.begin(), samples.end()}};
}

const std::vector<link::ObjectCount> &ObjectCensus::counts(const core::RegionId &region,
                                                           core::Time now) {
  Region &it = Regions[region];
  if (it.Counts.empty() || now - it.CountedAt >= Settings.Interval)
    count(it, now);
  return it.Counts;
}

void ObjectCensus::count(Region &region, core::Time now) const {
  region.CountedAt = now;
  std::map<std::string, std::vector<uint64_t>> merged;
  for (auto it = region.Vms.begin(); it != region.Vms.end();) {
    if (now - it->second.At > Settings.Validity) {
      it = region.Vms.erase(it);
      continue;
    }
    for (const link::ObjectSample &sample : it->second.Samples) {
      std::vector<uint64_t> &all = merged[sample.Service];
      all.insert(all.end(), sample.Smallest.begin(), sample.Smallest.end());
    }
    ++it;
  }
  region.Counts.clear();
  for (auto &[service, hashes] : merged) {
    std::sort(hashes.begin(), hashes.end());
    hashes.erase(std::unique(hashes.begin(), hashes.end()), hashes.end());
    hashes.resize(std::min(hashes.size(), link::SampleSize));
    region.Counts.push_back({service, estimateObjects(hashes)});
  }
}

double estimateObjects(absl::Span<const uint64_t> smallest) {
  if (smallest.size() < link::SampleSize)
    return static_cast<double>(smallest.size());
  double last = static_cast<double>(smallest.back()) * 0x1.0p-64;
  return static_cast<double>(smallest.size() - 1) / last;
}

} // namespace briarspar::control
