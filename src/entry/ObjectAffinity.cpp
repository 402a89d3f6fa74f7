#include "entry/ObjectAffinity.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace briarspar::entry {

namespace {

/// Weight of one response in the hit ratio.
constexpr double HitWeight = 0.01;

/// Weight of one response in the hit ratio used for demand, which has to follow targets whose
/// caches are filling.
constexpr double RecentHitWeight = 0.05;

/// Factor by which one response changes the estimated cache capacity.
constexpr double Growth = 1.002;

constexpr core::Duration PruneInterval{1000};

/// Interval between updates of the region shares. With the rate limit of RegionWeights, a share
/// changes by at most 0.003 in it.
constexpr core::Duration ShareUpdateInterval{100};

/// Returns a number in [0, 1) that is the same on all VMs.
double unitHash(const core::TargetId &id, uint64_t seed) {
  return static_cast<double>(core::hash64(id.Value, seed) >> 11) * 0x1.0p-53;
}

/// The two candidates of a region with the highest rendezvous hashes.
struct TopTwo {
  AffinityCandidate *First = nullptr;
  AffinityCandidate *Second = nullptr;
  double FirstHash = -1;
  double SecondHash = -1;
  size_t Members = 0;

  void offer(AffinityCandidate &it, double hash) {
    ++Members;
    if (hash > FirstHash) {
      Second = std::exchange(First, &it);
      SecondHash = std::exchange(FirstHash, hash);
    } else if (hash > SecondHash) {
      Second = &it;
      SecondHash = hash;
    }
  }
};

} // namespace

ObjectAffinity::ObjectAffinity(const ObjectAffinitySettings &settings) : Settings(settings) {}

void ObjectAffinity::recordRequest(const std::string &service, std::optional<uint64_t> object,
                                   const ProcessingTime &time, core::Time now) {
  Service &it = Services[service];
  if (it.Slots == 0)
    it.DemandFrom = now;
  double expected = it.RecentHitRatio * time.CachedMs + (1 - it.RecentHitRatio) * time.UncachedMs;
  it.Slots = agedSlots(it, now) + expected / static_cast<double>(Settings.DemandWindow.Ms);
  it.DemandAt = now;
  if (object)
    it.LastRequested[*object] = now;
  if (now < it.NextPrune)
    return;
  it.NextPrune = now + PruneInterval;
  for (auto entry = it.LastRequested.begin(); entry != it.LastRequested.end();)
    entry = now - entry->second > Settings.ActiveWindow ? it.LastRequested.erase(entry)
                                                        : std::next(entry);
}

void ObjectAffinity::markPreferred(const std::string &service, uint64_t object,
                                   const core::RegionId &region,
                                   absl::Span<AffinityCandidate> candidates,
                                   const ShareUpdate &update) {
  Service &it = Services[service];
  // Linear search, because there are few regions and hundreds of candidates: it is faster than a
  // map here.
  std::vector<std::pair<const core::RegionId *, TopTwo>> topTwo;
  auto topTwoIn = [&topTwo](const core::RegionId &id) {
    return std::find_if(topTwo.begin(), topTwo.end(),
                        [&](const auto &b) { return *b.first == id; });
  };
  for (AffinityCandidate &candidate : candidates) {
    auto known = topTwoIn(*candidate.Region);
    if (known == topTwo.end())
      known = topTwo.insert(topTwo.end(), {candidate.Region, TopTwo()});
    known->second.offer(candidate, unitHash(*candidate.Id, object));
  }
  if (topTwo.empty())
    return;
  std::set<core::RegionId> regions;
  for (const auto &[id, of] : topTwo)
    regions.insert(*id);
  // Restrictions of a single request must not affect the shares.
  if (it.Weights.isEmpty() ||
      (update.IsComplete &&
       (update.Immediate || update.Now - it.SharesUpdatedAt >= ShareUpdateInterval))) {
    it.SharesUpdatedAt = update.Now;
    it.Weights.update(targetShares(service, region, candidates), update.Immediate, update.Now);
  }
  auto primary = topTwoIn(it.Weights.regionOf(object, regions).value_or(*regions.begin()));
  primary->second.First->IsPrimary = true;
  if (primary->second.Second != nullptr)
    primary->second.Second->IsFallback = true;
  // The second fallback is in the caller's own region, or in the region that would be selected
  // without the one of the primary target.
  regions.erase(*primary->first);
  auto fallback = topTwoIn(regions.count(region) != 0
                               ? region
                               : it.Weights.regionOf(object, regions).value_or(core::RegionId()));
  if (fallback != topTwo.end())
    fallback->second.First->IsFallback = true;
}

void ObjectAffinity::recordHit(const std::string &service, bool wasHit) {
  Service &it = Services[service];
  double cacheCapacity = this->cacheCapacity(service);
  double hit = wasHit ? 1 : 0;
  it.HitRatio += HitWeight * (hit - it.HitRatio);
  ++it.Hits;
  it.RecentHitRatio +=
      std::max(RecentHitWeight, 1.0 / static_cast<double>(it.Hits)) * (hit - it.RecentHitRatio);
  if (it.HitRatio > Settings.GrowHitRatio)
    cacheCapacity *= Growth;
  else if (it.HitRatio < Settings.ShrinkHitRatio)
    cacheCapacity /= Growth;
  it.CacheCapacity =
      std::clamp(cacheCapacity, Settings.MinCacheCapacity, Settings.MaxCacheCapacity);
}

std::vector<link::ServiceSample> ObjectAffinity::samples(core::Time now, bool withObjects) const {
  std::vector<link::ServiceSample> out;
  for (const auto &[name, service] : Services) {
    link::ServiceSample sample{name, {}, slots(service, now)};
    if (withObjects)
      for (const auto &[object, at] : service.LastRequested)
        sample.MinHashes.push_back(static_cast<uint32_t>(object >> 32));
    size_t n = std::min(sample.MinHashes.size(), link::SketchSize);
    auto end = sample.MinHashes.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(sample.MinHashes.begin(), end, sample.MinHashes.end());
    sample.MinHashes.resize(n);
    out.push_back(std::move(sample));
  }
  return out;
}

void ObjectAffinity::setDemand(absl::Span<const link::ServiceDemand> demand) {
  for (auto &[name, service] : Services)
    service.Demand.clear();
  for (const link::ServiceDemand &it : demand)
    Services[it.Service].Demand[it.Region] = it;
}

double ObjectAffinity::objectCount(const std::string &service, const core::RegionId &region) const {
  auto it = Services.find(service);
  if (it == Services.end())
    return 0;
  auto demand = it->second.Demand.find(region);
  double known = demand == it->second.Demand.end() ? 0 : demand->second.Objects;
  return std::max(known, static_cast<double>(it->second.LastRequested.size()));
}

double ObjectAffinity::agedSlots(const Service &service, core::Time now) const {
  double age = static_cast<double>((now - service.DemandAt).Ms);
  return service.Slots * std::exp(-age / static_cast<double>(Settings.DemandWindow.Ms));
}

/// Extrapolates demand that has been measured for less than the window.
double ObjectAffinity::slots(const Service &service, core::Time now) const {
  core::Duration span = std::max(now - service.DemandFrom, Settings.MinDemandSpan);
  double measuredFraction =
      1 - std::exp(-static_cast<double>(span.Ms) / static_cast<double>(Settings.DemandWindow.Ms));
  return agedSlots(service, now) / measuredFraction;
}

/// Returns the share of the region's objects to be assigned to each region. The region keeps as
/// many as its targets have slots and cache capacity for; the rest goes to regions with free slots.
std::map<core::RegionId, double>
ObjectAffinity::targetShares(const std::string &name, const core::RegionId &region,
                             absl::Span<const AffinityCandidate> candidates) const {
  const Service &service = Services.at(name);
  std::map<core::RegionId, double> slots;
  double totalSlots = 0;
  size_t ownTargets = 0;
  for (const AffinityCandidate &it : candidates) {
    slots[*it.Region] += it.Slots;
    totalSlots += it.Slots;
    ownTargets += *it.Region == region ? 1 : 0;
  }
  // Until the demand is known, all regions are assumed to have the same demand.
  double evenDemand = totalSlots / static_cast<double>(slots.size());
  double totalDemand = 0;
  for (const auto &[id, demand] : service.Demand)
    totalDemand += demand.Slots;
  // If total demand exceeds the usable slots, all regions are loaded equally.
  double usableFraction =
      std::max(Settings.MaxSlotUse, totalSlots == 0 ? 0 : totalDemand / totalSlots);
  auto freeSlots = [&](const core::RegionId &id) {
    if (service.Demand.empty())
      return slots[id] - evenDemand;
    auto demand = service.Demand.find(id);
    return slots[id] * usableFraction - (demand == service.Demand.end() ? 0 : demand->second.Slots);
  };
  double totalFree = 0;
  std::map<core::RegionId, double> shares;
  for (const auto &[id, n] : slots) {
    if (id == region)
      continue;
    shares[id] = std::max(0.0, freeSlots(id));
    totalFree += shares[id];
  }
  auto own = service.Demand.find(region);
  double ownDemand = service.Demand.empty()        ? evenDemand
                     : own == service.Demand.end() ? 0
                                                   : own->second.Slots;
  double keptShare = 1;
  if (ownDemand > 0)
    keptShare = 1 - std::clamp(-freeSlots(region), 0.0, std::min(totalFree, ownDemand)) / ownDemand;
  if (ownTargets != 0) {
    double objectsPerTarget =
        std::max(1.0, objectCount(name, region)) / static_cast<double>(ownTargets);
    keptShare = std::min(keptShare, cacheCapacity(name) / objectsPerTarget);
  } else {
    keptShare = 0;
  }
  if (shares.empty())
    return {{region, 1.0}};
  // Without free slots anywhere, the excess is distributed in proportion to the slots of the other
  // regions.
  for (auto &[id, share] : shares)
    share =
        (1 - keptShare) *
        (totalFree > 0 ? share / totalFree : slots[id] / std::max(1.0, totalSlots - slots[region]));
  shares[region] = keptShare;
  return shares;
}

double ObjectAffinity::cacheCapacity(const std::string &service) const {
  auto it = Services.find(service);
  return it == Services.end() || it->second.CacheCapacity == 0 ? Settings.InitialCacheCapacity
                                                               : it->second.CacheCapacity;
}

} // namespace briarspar::entry
