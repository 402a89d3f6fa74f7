#include "entry/RegionWeights.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

namespace {

/// Separates the choice of a region from that of a target.
constexpr uint64_t RegionSeed = 0x726567;

/// Returns a number above 0 and up to 1 that is the same on all VMs.
double unitHash(const core::RegionId &id, uint64_t object) {
  return (static_cast<double>(core::hash64(id.Value, object ^ RegionSeed) >> 11) + 1) * 0x1.0p-53;
}

} // namespace

void RegionWeights::update(const std::map<core::RegionId, double> &parts, bool immediate,
                           core::Time now) {
  core::Duration span = now - UpdatedAt;
  UpdatedAt = now;
  if (Weights.empty() || immediate) {
    Weights = parts;
    return;
  }
  for (const auto &[region, part] : parts)
    Weights[region];
  double most = Settings.MaxShiftPerS * static_cast<double>(span.Ms) / 1000;
  double sum = 0;
  for (auto &[region, weight] : Weights) {
    auto part = parts.find(region);
    double aimed = part == parts.end() ? 0 : part->second;
    weight += std::clamp(aimed - weight, -most, most);
    sum += weight;
  }
  for (auto &[region, weight] : Weights)
    weight = sum <= 0 ? weight : weight / sum;
}

std::optional<core::RegionId> RegionWeights::regionOf(uint64_t object,
                                                      const std::set<core::RegionId> &among) const {
  // Weighted rendezvous hashing.
  std::optional<core::RegionId> chosen;
  double least = 0;
  for (const auto &[region, weight] : Weights) {
    if (weight <= 0 || among.count(region) == 0)
      continue;
    double order = -std::log(unitHash(region, object)) / weight;
    if (!chosen || order < least) {
      chosen = region;
      least = order;
    }
  }
  return chosen;
}

} // namespace briarspar::entry
