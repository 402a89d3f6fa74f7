#include "control/BusyTargets.h"

#include <algorithm>
#include <utility>

namespace briarspar::control {

void BusyTargets::becomeLeader() {
  Loads.clear();
  Busy.clear();
}

void BusyTargets::report(absl::Span<const link::TargetLoad> loads, core::Time now) {
  for (const link::TargetLoad &it : loads)
    Loads[it.Target] = {it.Requests, now};
}

const std::vector<link::TargetLoad> &BusyTargets::find(const discovery::TargetList &list,
                                                       core::Time now) {
  if (now - FoundAt < Settings.Interval)
    return Busy;
  FoundAt = now;
  for (auto it = Loads.begin(); it != Loads.end();)
    it = now - it->second.At > Settings.Validity ? Loads.erase(it) : std::next(it);
  std::vector<std::pair<double, link::TargetLoad>> found;
  for (const auto &[id, target] : list.targets()) {
    auto load = Loads.find(link::targetKey(id));
    if (load == Loads.end())
      continue;
    double share = load->second.Requests / static_cast<double>(std::max(1U, target.Slots));
    if (share >= Settings.BusyThreshold)
      found.push_back({share, {load->first, load->second.Requests}});
  }
  std::sort(found.begin(), found.end(),
            [](const auto &a, const auto &b) { return a.first > b.first; });
  found.resize(std::min(found.size(), Settings.MaxReported));
  Busy.clear();
  for (const auto &[share, load] : found)
    Busy.push_back(load);
  return Busy;
}

} // namespace briarspar::control
