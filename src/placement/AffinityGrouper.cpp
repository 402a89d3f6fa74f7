#include "placement/AffinityGrouper.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace briarspar::placement {

AffinityGrouper::AffinityGrouper(const AffinityGrouperSettings &settings)
    : Settings(settings), Sizes(settings.SiteCount), Scores(settings.SiteCount) {}

uint64_t AffinityGrouper::siteLimit(uint64_t arriving) const {
  double mean = static_cast<double>(Total + arriving) / Settings.SiteCount;
  // Prevents rounding up a product that is a whole number but for floating-point error.
  constexpr double roundingError = 1e-9;
  return static_cast<uint64_t>(std::ceil(mean * (1 + Settings.MaxImbalance) - roundingError)) + 1;
}

SiteId AffinityGrouper::bestSite(const std::vector<uint32_t> &targets, uint64_t limit) {
  std::fill(Scores.begin(), Scores.end(), 0.0);
  for (uint32_t target : targets) {
    auto it = PerTarget.find(target);
    if (it == PerTarget.end())
      continue;
    uint64_t all = 0;
    for (const auto &[site, blocks] : it->second)
      all += blocks;
    for (const auto &[site, blocks] : it->second)
      Scores[site] += static_cast<double>(blocks) / static_cast<double>(all);
  }
  SiteId chosen;
  for (uint16_t site = 0; site < Settings.SiteCount; ++site) {
    if (Sizes[site] >= limit)
      continue;
    bool better = !chosen.valid() || Scores[site] > Scores[chosen.Value] ||
                  (Scores[site] == Scores[chosen.Value] && Sizes[site] < Sizes[chosen.Value]);
    if (better)
      chosen = {site};
  }
  return chosen;
}

void AffinityGrouper::count(const std::vector<uint32_t> &targets, SiteId site, uint64_t blocks) {
  Sizes[site.Value] += blocks;
  Total += blocks;
  for (uint32_t target : targets) {
    auto &sites = PerTarget[target];
    auto it = std::find_if(sites.begin(), sites.end(),
                           [site](const auto &entry) { return entry.first == site.Value; });
    if (it == sites.end())
      sites.emplace_back(site.Value, blocks);
    else
      it->second += blocks;
  }
}

void AffinityGrouper::add(const NewBlock &block, SiteId site) {
  if (site.Value < Settings.SiteCount)
    count(block.Targets, site, 1);
}

SiteId AffinityGrouper::place(const NewBlock &block) {
  SiteId site = bestSite(block.Targets, siteLimit(1));
  if (site.valid())
    count(block.Targets, site, 1);
  return site;
}

std::vector<SiteId> AffinityGrouper::placeAll(absl::Span<const NewBlock> blocks) {
  std::map<std::vector<uint32_t>, std::vector<size_t>> groups;
  for (size_t n = 0; n < blocks.size(); ++n)
    groups[blocks[n].Targets].push_back(n);
  std::vector<const std::pair<const std::vector<uint32_t>, std::vector<size_t>> *> order;
  order.reserve(groups.size());
  for (const auto &group : groups)
    order.push_back(&group);
  // Largest groups first, while sites still have room for a whole group.
  std::stable_sort(order.begin(), order.end(), [](const auto *a, const auto *b) {
    return a->second.size() > b->second.size();
  });

  uint64_t limit = siteLimit(blocks.size());
  std::vector<SiteId> result(blocks.size());
  for (const auto *group : order) {
    const std::vector<size_t> &members = group->second;
    for (size_t placed = 0; placed < members.size();) {
      SiteId site = bestSite(group->first, limit);
      if (!site.valid())
        return result;
      size_t room = std::min<size_t>(limit - Sizes[site.Value], members.size() - placed);
      for (size_t n = 0; n < room; ++n)
        result[members[placed++]] = site;
      count(group->first, site, room);
    }
  }
  return result;
}

} // namespace briarspar::placement
