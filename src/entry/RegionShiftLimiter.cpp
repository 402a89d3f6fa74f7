#include "entry/RegionShiftLimiter.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

RegionShiftLimiter::RegionShiftLimiter(const RegionShiftLimiterSettings &settings)
    : Settings(settings) {}

void RegionShiftLimiter::recordDesired(const core::RegionId &region,
                                       const std::map<core::RegionId, double> &initial,
                                       core::Time now) {
  core::Duration span = now - LastDesired;
  if (!Started || span > Settings.IdleReset)
    start(initial);
  LastDesired = now;
  Shares[region];
  double seconds = static_cast<double>(span.Ms) / 1000;
  double keep =
      std::exp(-static_cast<double>(span.Ms) / static_cast<double>(Settings.DesiredShareWindow.Ms));
  // Requests at the same moment still move the wishes a little.
  keep = std::min(keep, 0.98);
  double planned = 0;
  for (auto &[id, share] : Shares) {
    share.Desired = share.Desired * keep + (id == region ? 1 - keep : 0);
    double most = std::min(Settings.MaxShiftPerS * seconds, Settings.MaxShiftPerRequest);
    share.Planned += std::clamp(share.Desired - share.Planned, -most, most);
    planned += share.Planned;
  }
  for (auto &[id, share] : Shares)
    share.Planned /= planned;
}

bool RegionShiftLimiter::mayUse(const core::RegionId &region) const {
  auto it = Shares.find(region);
  double credit = it == Shares.end() ? 0 : it->second.Credit + it->second.Planned;
  return credit - 1 >= -Settings.MaxOverdraft;
}

void RegionShiftLimiter::recordUsed(const core::RegionId &region) {
  for (auto &[id, share] : Shares) {
    share.Credit += share.Planned - (id == region ? 1 : 0);
    share.Credit = std::clamp(share.Credit, -Settings.MaxOverdraft, Settings.MaxOverdraft);
  }
}

void RegionShiftLimiter::snapToDesired() {
  for (auto &[id, share] : Shares) {
    share.Planned = share.Desired;
    share.Credit = 0;
  }
}

void RegionShiftLimiter::start(const std::map<core::RegionId, double> &initial) {
  Started = true;
  Shares.clear();
  for (const auto &[region, part] : initial)
    Shares[region] = {part, part, 0};
}

} // namespace briarspar::entry
