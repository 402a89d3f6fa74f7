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
  VmSamples &current = Vms[vm];
  std::vector<link::ServiceSample> previous = std::move(current.Samples);
  current = {region, now, {samples.begin(), samples.end()}};
  for (link::ServiceSample &it : current.Samples) {
    auto largest =
        std::find_if(previous.begin(), previous.end(),
                     [&](const link::ServiceSample &other) { return other.Service == it.Service; });
    if (it.MinHashes.empty() && largest != previous.end())
      it.MinHashes = std::move(largest->MinHashes);
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
  double largest = static_cast<double>(smallest.back()) * 0x1.0p-32;
  return static_cast<double>(smallest.size() - 1) / largest;
}

} // namespace briarspar::control
