#include "entry/RegionShift.h"

#include <algorithm>

namespace briarspar::entry {

RegionShift::RegionShift(const RegionShiftSettings &settings) : Settings(settings) {}

bool RegionShift::mayUse(const std::string &service, const core::RegionId &region,
                         core::Time now) {
  Shares &shares = roll(service, now);
  if (shares.PreviousTotal < Settings.LeastRequests)
    return true;
  double before = static_cast<double>(shares.Previous[region]) / shares.PreviousTotal;
  double allowed = (before + Settings.MaxShiftPermille / 1000.0) *
                   std::max<double>(shares.PreviousTotal, shares.CurrentTotal + 1);
  return shares.Current[region] + 1 <= allowed;
}

void RegionShift::count(const std::string &service, const core::RegionId &region) {
  Shares &shares = Services[service];
  ++shares.Current[region];
  ++shares.CurrentTotal;
}

RegionShift::Shares &RegionShift::roll(const std::string &service, core::Time now) {
  Shares &shares = Services[service];
  core::Duration age = now - shares.WindowStart;
  if (age < Settings.Window)
    return shares;
  bool recent = age < Settings.Window * 2;
  shares.Previous = recent ? shares.Current : std::map<core::RegionId, uint32_t>();
  shares.PreviousTotal = recent ? shares.CurrentTotal : 0;
  shares.Current.clear();
  shares.CurrentTotal = 0;
  shares.WindowStart = now;
  return shares;
}

} // namespace briarspar::entry
