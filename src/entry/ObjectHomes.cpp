#include "entry/ObjectHomes.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarspar::entry {

namespace {

/// Weight of one answer in the share of familiar ones.
constexpr double HitWeight = 0.01;

/// The same in the share by which demand is measured, which has to follow targets that learn.
constexpr double KnownWeight = 0.05;

/// Factor by which the estimate of remembered objects moves with one answer.
constexpr double Growth = 1.002;

constexpr core::Duration PruneInterval{1000};

/// Separates the choice of a home from the choice of the objects that it keeps.
constexpr uint64_t KeepSeed = 0x6b6565;

/// Returns a number from 0 to 1 that is the same on all VMs.
double unitHash(const core::TargetId &id, uint64_t seed) {
  return static_cast<double>(core::hash64(id.Value, seed) >> 11) * 0x1.0p-53;
}

/// The two candidates of a group with the highest hashes.
struct Best {
  HomeCandidate *First = nullptr;
  HomeCandidate *Second = nullptr;
  double FirstOrder = -1;
  double SecondOrder = -1;
  size_t Members = 0;

  void offer(HomeCandidate &it, double order) {
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

ObjectHomes::ObjectHomes(const ObjectHomesSettings &settings) : Settings(settings) {}

void ObjectHomes::note(const std::string &service, std::optional<uint64_t> object,
                       const WorkTime &time, core::Time now) {
  Service &it = Services[service];
  if (it.Slots == 0)
    it.DemandFrom = now;
  double expected = it.KnownShare * time.Warm + (1 - it.KnownShare) * time.Cold;
  it.Slots = agedSlots(it, now) + expected / static_cast<double>(Settings.DemandWindow.Ms);
  it.DemandAt = now;
  if (object)
    it.LastAsked[*object] = now;
  if (now < it.NextPrune)
    return;
  it.NextPrune = now + PruneInterval;
  for (auto entry = it.LastAsked.begin(); entry != it.LastAsked.end();)
    entry = now - entry->second > Settings.Window ? it.LastAsked.erase(entry) : std::next(entry);
}

void ObjectHomes::markHomes(const std::string &service, uint64_t object,
                            const core::RegionId &region,
                            absl::Span<HomeCandidate> candidates) const {
  auto known = Services.find(service);
  const Service nothing;
  const Room room = findRoom(known == Services.end() ? nothing : known->second, region, candidates);
  Best local;
  Best remote;
  for (HomeCandidate &it : candidates) {
    if (*it.Region == region)
      local.offer(it, unitHash(*it.Id, object));
    else if (room.Free.empty() || room.Free.count(*it.Region) != 0)
      remote.offer(it, unitHash(*it.Id, object));
  }
  auto keeps = [&](const Best &best) {
    if (best.First == nullptr)
      return false;
    double each = std::max(1.0, objects(service, region)) / static_cast<double>(best.Members);
    double part = std::min({1.0, remembered(service) / each, room.Kept});
    return part >= 1 || unitHash(*best.First->Id, object ^ KeepSeed) < part;
  };
  if (keeps(local) || remote.First == nullptr) {
    if (local.First != nullptr)
      local.First->IsHome = true;
    if (local.Second != nullptr)
      local.Second->IsSpare = true;
    if (remote.First != nullptr)
      remote.First->IsSpare = true;
  } else {
    remote.First->IsHome = true;
    if (remote.Second != nullptr)
      remote.Second->IsSpare = true;
    if (local.First != nullptr)
      local.First->IsSpare = true;
  }
}

void ObjectHomes::recordHit(const std::string &service, bool wasFast) {
  Service &it = Services[service];
  double remembered = this->remembered(service);
  double hit = wasFast ? 1 : 0;
  it.HitShare += HitWeight * (hit - it.HitShare);
  ++it.Hits;
  it.KnownShare +=
      std::max(KnownWeight, 1.0 / static_cast<double>(it.Hits)) * (hit - it.KnownShare);
  if (it.HitShare > Settings.GoodHits)
    remembered *= Growth;
  else if (it.HitShare < Settings.PoorHits)
    remembered /= Growth;
  it.Remembered = std::clamp(remembered, Settings.LeastRemembered, Settings.MostRemembered);
}

std::vector<link::ServiceSample> ObjectHomes::samples(core::Time now, bool withObjects) const {
  std::vector<link::ServiceSample> out;
  for (const auto &[name, service] : Services) {
    link::ServiceSample sample{name, {}, slots(service, now)};
    if (withObjects)
      for (const auto &[object, at] : service.LastAsked)
        sample.Smallest.push_back(static_cast<uint32_t>(object >> 32));
    size_t n = std::min(sample.Smallest.size(), link::SampleSize);
    auto end = sample.Smallest.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(sample.Smallest.begin(), end, sample.Smallest.end());
    sample.Smallest.resize(n);
    out.push_back(std::move(sample));
  }
  return out;
}

void ObjectHomes::setDemand(absl::Span<const link::ServiceDemand> demand) {
  for (auto &[name, service] : Services)
    service.Demand.clear();
  for (const link::ServiceDemand &it : demand)
    Services[it.Service].Demand[it.Region] = it;
}

double ObjectHomes::objects(const std::string &service, const core::RegionId &region) const {
  auto it = Services.find(service);
  if (it == Services.end())
    return 0;
  auto demand = it->second.Demand.find(region);
  double known = demand == it->second.Demand.end() ? 0 : demand->second.Objects;
  return std::max(known, static_cast<double>(it->second.LastAsked.size()));
}

double ObjectHomes::agedSlots(const Service &service, core::Time now) const {
  double age = static_cast<double>((now - service.DemandAt).Ms);
  return service.Slots * std::exp(-age / static_cast<double>(Settings.DemandWindow.Ms));
}

/// What was measured over less than the window counts as if it had gone on through it.
double ObjectHomes::slots(const Service &service, core::Time now) const {
  core::Duration span = std::max(now - service.DemandFrom, Settings.LeastSpan);
  double part =
      1 - std::exp(-static_cast<double>(span.Ms) / static_cast<double>(Settings.DemandWindow.Ms));
  return agedSlots(service, now) / part;
}

/// Finds the regions with free slots, and the part of the region's own requests that stay in it, so
/// that its targets have slots for them and the others for what leaves.
ObjectHomes::Room ObjectHomes::findRoom(const Service &service, const core::RegionId &region,
                                        absl::Span<const HomeCandidate> candidates) const {
  std::map<core::RegionId, double> free;
  double offered = 0;
  for (const HomeCandidate &it : candidates) {
    free[*it.Region] += it.Slots;
    offered += it.Slots;
  }
  double asked = 0;
  for (const auto &[name, demand] : service.Demand)
    asked += demand.Slots;
  // In an overload of all regions each takes a part of it that fits its targets.
  double usable = std::max(Settings.UsableSlots, offered == 0 ? 0 : asked / offered);
  for (auto &[name, slots] : free) {
    slots *= usable;
    if (auto it = service.Demand.find(name); it != service.Demand.end())
      slots -= it->second.Slots;
  }
  Room room;
  if (service.Demand.empty()) {
    // Until the demand is known, the callers of all regions are taken to ask alike.
    double fair = 0;
    for (const auto &[name, slots] : free)
      fair += slots / static_cast<double>(free.size());
    for (const auto &[name, slots] : free)
      if (slots >= fair)
        room.Free.insert(name);
    room.Kept = fair == 0 ? 1 : std::min(1.0, free[region] / fair);
    return room;
  }
  double all = 0;
  for (const auto &[name, slots] : free) {
    if (name == region || slots <= 0)
      continue;
    room.Free.insert(name);
    all += slots;
  }
  auto own = service.Demand.find(region);
  double excess = -free[region];
  if (own != service.Demand.end() && own->second.Slots > 0 && excess > 0)
    room.Kept = 1 - std::min({excess, all, own->second.Slots}) / own->second.Slots;
  return room;
}

double ObjectHomes::remembered(const std::string &service) const {
  auto it = Services.find(service);
  return it == Services.end() || it->second.Remembered == 0 ? Settings.FirstRemembered
                                                            : it->second.Remembered;
}

} // namespace briarspar::entry
