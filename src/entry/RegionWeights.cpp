#include "entry/RegionWeights.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

namespace {

/// Makes the selection of a region independent of that of a target.
constexpr uint64_t RegionSeed = 0x726567;

/// Returns a number in (0, 1] that is the same on all VMs.
double unitHash(const core::RegionId &id, uint64_t object) {
  return (static_cast<double>(core::hash64(id.Value, object ^ RegionSeed) >> 11) + 1) * 0x1.0p-53;
}

} // namespace

void RegionWeights::update(const std::map<core::RegionId, double> &shares, bool immediate,
                           core::Time now) {
  core::Duration span = now - UpdatedAt;
  UpdatedAt = now;
  if (Weights.empty() || immediate) {
    Weights = shares;
    return;
  }
  for (const auto &[region, share] : shares)
    Weights[region];
  double maxShift = Settings.MaxShiftPerS * static_cast<double>(span.Ms) / 1000;
  double sum = 0;
  for (auto &[region, weight] : Weights) {
    auto share = shares.find(region);
    double wanted = share == shares.end() ? 0 : share->second;
    weight += std::clamp(wanted - weight, -maxShift, maxShift);
    sum += weight;
  }
  for (auto &[region, weight] : Weights)
    weight = sum <= 0 ? weight : weight / sum;
}

std::optional<core::RegionId> RegionWeights::regionOf(uint64_t object,
                                                      const std::set<core::RegionId> &among) const {
  // Weighted rendezvous hashing.
  std::optional<core::RegionId> chosen;
  double lowest = 0;
  for (const auto &[region, weight] : Weights) {
    if (weight <= 0 || among.count(region) == 0)
      continue;
    double order = -std::log(unitHash(region, object)) / weight;
    if (!chosen || order < lowest) {
      chosen = region;
      lowest = order;
    }
  }
  return chosen;
}

} // namespace briarspar::entry
