#include "entry/ObjectAffinity.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace briarspar::entry {

namespace {

/// Weight of one answer in the share of familiar ones.
constexpr double HitWeight = 0.01;

/// The same in the share by which demand is measured, which has to follow targets that learn.
constexpr double RecentHitWeight = 0.05;

/// Factor by which the estimate of remembered objects moves with one answer.
constexpr double Growth = 1.002;

constexpr core::Duration PruneInterval{1000};

/// The parts of the regions are aimed at anew this often; they move by 0.003 meanwhile.
constexpr core::Duration ShareUpdateInterval{100};

/// Returns a number from 0 to 1 that is the same on all VMs.
double unitHash(const core::TargetId &id, uint64_t seed) {
  return static_cast<double>(core::hash64(id.Value, seed) >> 11) * 0x1.0p-53;
}

/// The two candidates of a group with the highest hashes.
struct Best {
  AffinityCandidate *First = nullptr;
  AffinityCandidate *Second = nullptr;
  double FirstOrder = -1;
  double SecondOrder = -1;
  size_t Members = 0;

  void offer(AffinityCandidate &it, double order) {
    ++Members;
    if (order > FirstOrder) {
      Second = std::exchange(First, &it);
      SecondOrder = std::exchange(FirstOrder, order);
    } else if (order > SecondOrder) {
      Second = &it;
      SecondOrder = order;
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
  // A few regions and hundreds of candidates: a list is searched faster than a map.
  std::vector<std::pair<const core::RegionId *, Best>> best;
  auto bestIn = [&best](const core::RegionId &id) {
    return std::find_if(best.begin(), best.end(), [&](const auto &b) { return *b.first == id; });
  };
  for (AffinityCandidate &candidate : candidates) {
    auto known = bestIn(*candidate.Region);
    if (known == best.end())
      known = best.insert(best.end(), {candidate.Region, Best()});
    known->second.offer(candidate, unitHash(*candidate.Id, object));
  }
  if (best.empty())
    return;
  std::set<core::RegionId> regions;
  for (const auto &[id, of] : best)
    regions.insert(*id);
  // What restricts one request says nothing about the others.
  if (it.Weights.isEmpty() ||
      (update.IsComplete &&
       (update.Immediate || update.Now - it.SharesUpdatedAt >= ShareUpdateInterval))) {
    it.SharesUpdatedAt = update.Now;
    it.Weights.update(targetShares(service, region, candidates), update.Immediate, update.Now);
  }
  auto home = bestIn(it.Weights.regionOf(object, regions).value_or(*regions.begin()));
  home->second.First->IsPrimary = true;
  if (home->second.Second != nullptr)
    home->second.Second->IsFallback = true;
  // The next one is the caller's own region, or the one that would serve the object without it.
  regions.erase(*home->first);
  auto next = bestIn(regions.count(region) != 0
                         ? region
                         : it.Weights.regionOf(object, regions).value_or(core::RegionId()));
  if (next != best.end())
    next->second.First->IsFallback = true;
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

/// What was measured over less than the window counts as if it had gone on through it.
double ObjectAffinity::slots(const Service &service, core::Time now) const {
  core::Duration span = std::max(now - service.DemandFrom, Settings.MinDemandSpan);
  double part =
      1 - std::exp(-static_cast<double>(span.Ms) / static_cast<double>(Settings.DemandWindow.Ms));
  return agedSlots(service, now) / part;
}

/// Returns the parts of the region's objects that should have their homes in each region: as many
/// stay in it as its targets have slots and memory for, as far as others have room for the rest.
std::map<core::RegionId, double>
ObjectAffinity::targetShares(const std::string &name, const core::RegionId &region,
                             absl::Span<const AffinityCandidate> candidates) const {
  const Service &service = Services.at(name);
  std::map<core::RegionId, double> slots;
  double offered = 0;
  size_t members = 0;
  for (const AffinityCandidate &it : candidates) {
    slots[*it.Region] += it.Slots;
    offered += it.Slots;
    members += *it.Region == region ? 1 : 0;
  }
  // Until the demand is known, the callers of all regions are taken to ask alike.
  double fair = offered / static_cast<double>(slots.size());
  double asked = 0;
  for (const auto &[id, demand] : service.Demand)
    asked += demand.Slots;
  // In an overload of all regions each takes a part of it that fits its targets.
  double usable = std::max(Settings.MaxSlotUse, offered == 0 ? 0 : asked / offered);
  auto freeSlots = [&](const core::RegionId &id) {
    if (service.Demand.empty())
      return slots[id] - fair;
    auto demand = service.Demand.find(id);
    return slots[id] * usable - (demand == service.Demand.end() ? 0 : demand->second.Slots);
  };
  double all = 0;
  std::map<core::RegionId, double> parts;
  for (const auto &[id, n] : slots) {
    if (id == region)
      continue;
    parts[id] = std::max(0.0, freeSlots(id));
    all += parts[id];
  }
  auto own = service.Demand.find(region);
  double taken = service.Demand.empty()        ? fair
                 : own == service.Demand.end() ? 0
                                               : own->second.Slots;
  double kept = 1;
  if (taken > 0)
    kept = 1 - std::clamp(-freeSlots(region), 0.0, std::min(all, taken)) / taken;
  if (members != 0) {
    double each = std::max(1.0, objectCount(name, region)) / static_cast<double>(members);
    kept = std::min(kept, cacheCapacity(name) / each);
  } else {
    kept = 0;
  }
  if (parts.empty())
    return {{region, 1.0}};
  // Without room anywhere, what the region cannot hold goes where most targets are.
  for (auto &[id, part] : parts)
    part = (1 - kept) * (all > 0 ? part / all : slots[id] / std::max(1.0, offered - slots[region]));
  parts[region] = kept;
  return parts;
}

double ObjectAffinity::cacheCapacity(const std::string &service) const {
  auto it = Services.find(service);
  return it == Services.end() || it->second.CacheCapacity == 0 ? Settings.InitialCacheCapacity
                                                               : it->second.CacheCapacity;
}

} // namespace briarspar::entry
