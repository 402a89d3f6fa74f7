#include "control/DemandCensus.h"

#include <algorithm>
#include <string>
#include <utility>

namespace briarspar::control {

void DemandCensus::becomeLeader(core::Time now) {
  Vms.clear();
  Demand.clear();
  KnownFrom = now + Settings.FirstSamples;
}

void DemandCensus::report(const core::VmId &vm, const core::RegionId &region,
                          absl::Span<const link::ServiceSample> samples, core::Time now) {
  VmSamples &held = Vms[vm];
  std::vector<link::ServiceSample> old = std::move(held.Samples);
  held = {region, now, {samples.begin(), samples.end()}};
  for (link::ServiceSample &it : held.Samples) {
    auto last = std::find_if(old.begin(), old.end(),
                             [&](const link::ServiceSample &o) { return o.Service == it.Service; });
    if (it.Smallest.empty() && last != old.end())
      it.Smallest = std::move(last->Smallest);
  }
}

const std::vector<link::ServiceDemand> &DemandCensus::demand(core::Time now) {
  if (now >= KnownFrom && now - SummedAt >= Settings.Interval)
    sumUp(now);
  return Demand;
}

void DemandCensus::sumUp(core::Time now) {
  struct Sum {
    std::vector<uint32_t> Hashes;
    double Slots = 0;
  };
  SummedAt = now;
  std::map<std::pair<core::RegionId, std::string>, Sum> sums;
  for (auto it = Vms.begin(); it != Vms.end();) {
    if (now - it->second.At > Settings.Validity) {
      it = Vms.erase(it);
      continue;
    }
    for (const link::ServiceSample &sample : it->second.Samples) {
      Sum &sum = sums[{it->second.Region, sample.Service}];
      sum.Hashes.insert(sum.Hashes.end(), sample.Smallest.begin(), sample.Smallest.end());
      sum.Slots += sample.Slots;
    }
    ++it;
  }
  Demand.clear();
  for (auto &[key, sum] : sums) {
    std::sort(sum.Hashes.begin(), sum.Hashes.end());
    sum.Hashes.erase(std::unique(sum.Hashes.begin(), sum.Hashes.end()), sum.Hashes.end());
    sum.Hashes.resize(std::min(sum.Hashes.size(), link::SampleSize));
    Demand.push_back({key.first, key.second, estimateObjects(sum.Hashes), sum.Slots});
  }
}

double estimateObjects(absl::Span<const uint32_t> smallest) {
  if (smallest.size() < link::SampleSize)
    return static_cast<double>(smallest.size());
  double last = static_cast<double>(smallest.back()) * 0x1.0p-32;
  return static_cast<double>(smallest.size() - 1) / last;
}

} // namespace briarspar::control
