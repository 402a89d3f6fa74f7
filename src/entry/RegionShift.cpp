#include "entry/RegionShift.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

RegionShift::RegionShift(const RegionShiftSettings &settings) : Settings(settings) {}

void RegionShift::wish(const core::RegionId &region, const std::map<core::RegionId, double> &first,
                       core::Time now) {
  core::Duration span = now - LastWish;
  if (!Started || span > Settings.Idle)
    start(first);
  LastWish = now;
  Shares[region];
  double seconds = static_cast<double>(span.Ms) / 1000;
  double keep =
      std::exp(-static_cast<double>(span.Ms) / static_cast<double>(Settings.WishWindow.Ms));
  // Requests at the same moment still move the wishes a little.
  keep = std::min(keep, 0.98);
  double planned = 0;
  for (auto &[id, share] : Shares) {
    share.Wished = share.Wished * keep + (id == region ? 1 - keep : 0);
    double most = std::min(Settings.MaxMovePerS * seconds, Settings.MaxMovePerRequest);
    share.Planned += std::clamp(share.Wished - share.Planned, -most, most);
    planned += share.Planned;
  }
  for (auto &[id, share] : Shares)
    share.Planned /= planned;
}

bool RegionShift::mayUse(const core::RegionId &region) const {
  auto it = Shares.find(region);
  double credit = it == Shares.end() ? 0 : it->second.Credit + it->second.Planned;
  return credit - 1 >= -Settings.MaxOverdraft;
}

void RegionShift::count(const core::RegionId &region) {
  for (auto &[id, share] : Shares) {
    share.Credit += share.Planned - (id == region ? 1 : 0);
    share.Credit = std::clamp(share.Credit, -Settings.MaxOverdraft, Settings.MaxOverdraft);
  }
}

void RegionShift::release() {
  for (auto &[id, share] : Shares) {
    share.Planned = share.Wished;
    share.Credit = 0;
  }
}

void RegionShift::start(const std::map<core::RegionId, double> &first) {
  Started = true;
  Shares.clear();
  for (const auto &[region, part] : first)
    Shares[region] = {part, part, 0};
}

} // namespace briarspar::entry
