#include "entry/ColdTargetLimiter.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

namespace {

/// Added to each interval, because network delays may bring two requests closer together.
constexpr int64_t JitterMs = 20;

} // namespace

ColdTargetLimiter::ColdTargetLimiter(core::VmId own, core::RegionId region,
                                     const ColdTargetLimiterSettings &settings)
    : Own(std::move(own)), Region(std::move(region)), Settings(settings) {}

void ColdTargetLimiter::setEntries(absl::Span<const link::EntryLocation> entries) {
  Entries.clear();
  for (const link::EntryLocation &it : entries)
    if (it.Region == Region)
      Entries.push_back(it.Vm);
}

bool ColdTargetLimiter::maySend(const core::TargetId &target, const core::RegionId &region,
                                double ratePerS) const {
  if (region != Region)
    return false;
  if (static_cast<double>(Entries.size()) <= maxTotalRatePerS(ratePerS))
    return true;
  return static_cast<double>(rank(target) + 1) <= maxTotalRatePerS(ratePerS);
}

size_t ColdTargetLimiter::rank(const core::TargetId &target) const {
  uint64_t seed = core::hash64(target.Value);
  uint64_t ownHash = core::hash64(Own.Value, seed);
  return static_cast<size_t>(
      std::count_if(Entries.begin(), Entries.end(),
                    [&](const core::VmId &it) { return core::hash64(it.Value, seed) > ownHash; }));
}

core::Duration ColdTargetLimiter::interval(double ratePerS) const {
  double maxRatePerS = std::floor(this->maxTotalRatePerS(ratePerS));
  double senders =
      std::max(1.0, std::min<double>(static_cast<double>(Entries.size()), maxRatePerS));
  double ratePerSender = std::max(1.0, std::floor(maxRatePerS / senders));
  return {static_cast<int64_t>(1000 / ratePerSender) + JitterMs};
}

double ColdTargetLimiter::maxTotalRatePerS(double ratePerS) const {
  return (ratePerS * Settings.RateFactor + Settings.ExtraRatePerS) * Settings.UsableShare;
}

} // namespace briarspar::entry
