#include "control/DemandAggregator.h"

#include <algorithm>
#include <string>
#include <utility>

namespace briarspar::control {

void DemandAggregator::becomeLeader(core::Time now) {
  Vms.clear();
  Demand.clear();
  KnownFrom = now + Settings.WarmUp;
}

void DemandAggregator::report(const core::VmId &vm, const core::RegionId &region,
                              absl::Span<const link::ServiceSample> samples, core::Time now) {
  VmSamples &held = Vms[vm];
  std::vector<link::ServiceSample> old = std::move(held.Samples);
  held = {region, now, {samples.begin(), samples.end()}};
  for (link::ServiceSample &it : held.Samples) {
    auto last = std::find_if(old.begin(), old.end(),
                             [&](const link::ServiceSample &o) { return o.Service == it.Service; });
    if (it.MinHashes.empty() && last != old.end())
      it.MinHashes = std::move(last->MinHashes);
  }
}

const std::vector<link::ServiceDemand> &DemandAggregator::demand(core::Time now) {
  if (now >= KnownFrom && now - AggregatedAt >= Settings.Interval)
    aggregate(now);
  return Demand;
}

void DemandAggregator::aggregate(core::Time now) {
  struct Sum {
    std::vector<uint32_t> Hashes;
    double Slots = 0;
  };
  AggregatedAt = now;
  std::map<std::pair<core::RegionId, std::string>, Sum> sums;
  for (auto it = Vms.begin(); it != Vms.end();) {
    if (now - it->second.At > Settings.Validity) {
      it = Vms.erase(it);
      continue;
    }
    for (const link::ServiceSample &sample : it->second.Samples) {
      Sum &sum = sums[{it->second.Region, sample.Service}];
      sum.Hashes.insert(sum.Hashes.end(), sample.MinHashes.begin(), sample.MinHashes.end());
      sum.Slots += sample.Slots;
    }
    ++it;
  }
  Demand.clear();
  for (auto &[key, sum] : sums) {
    std::sort(sum.Hashes.begin(), sum.Hashes.end());
    sum.Hashes.erase(std::unique(sum.Hashes.begin(), sum.Hashes.end()), sum.Hashes.end());
    sum.Hashes.resize(std::min(sum.Hashes.size(), link::SketchSize));
    Demand.push_back({key.first, key.second, estimateObjectCount(sum.Hashes), sum.Slots});
  }
}

double estimateObjectCount(absl::Span<const uint32_t> smallest) {
  if (smallest.size() < link::SketchSize)
    return static_cast<double>(smallest.size());
  double last = static_cast<double>(smallest.back()) * 0x1.0p-32;
  return static_cast<double>(smallest.size() - 1) / last;
}

} // namespace briarspar::control
