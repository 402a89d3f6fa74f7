#include "entry/ColdLimit.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

namespace {

/// Added to each interval, as two requests may be delayed differently on their way.
constexpr int64_t JitterMs = 20;

} // namespace

ColdLimit::ColdLimit(core::VmId own, core::RegionId region, const ColdLimitSettings &settings)
    : Own(std::move(own)), Region(std::move(region)), Settings(settings) {}

void ColdLimit::setEntries(absl::Span<const link::EntryLocation> entries) {
  Entries.clear();
  for (const link::EntryLocation &it : entries)
    if (it.Region == Region)
      Entries.push_back(it.Vm);
}

bool ColdLimit::maySend(const core::TargetId &target, const core::RegionId &region,
                        double ratePerS) const {
  if (region != Region)
    return false;
  if (static_cast<double>(Entries.size()) <= most(ratePerS))
    return true;
  uint64_t seed = core::hash64(target.Value);
  uint64_t mine = core::hash64(Own.Value, seed);
  auto ahead = std::count_if(Entries.begin(), Entries.end(), [&](const core::VmId &it) {
    return core::hash64(it.Value, seed) > mine;
  });
  return static_cast<double>(ahead + 1) <= most(ratePerS);
}

core::Duration ColdLimit::interval(double ratePerS) const {
  double most = std::floor(this->most(ratePerS));
  double senders = std::max(1.0, std::min<double>(static_cast<double>(Entries.size()), most));
  double each = std::max(1.0, std::floor(most / senders));
  return {static_cast<int64_t>(1000 / each) + JitterMs};
}

double ColdLimit::most(double ratePerS) const {
  return (ratePerS * Settings.Excess + Settings.Slack) * Settings.Use;
}

} // namespace briarspar::entry
