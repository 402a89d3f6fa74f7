#include "moves/ShiftBudget.h"

#include <algorithm>
#include <utility>

namespace briarspar::moves {

namespace {

uint64_t requestsPerSecondOf(BasisPoints basis, uint64_t fullLoad) {
  return (fullLoad * basis + FullShare - 1) / FullShare;
}

BasisPoints shareOf(uint64_t requests, uint64_t fullLoad) {
  if (fullLoad == 0 || requests >= fullLoad)
    return FullShare;
  return static_cast<BasisPoints>(requests * FullShare / fullLoad);
}

} // namespace

ShiftBudget::ShiftBudget(const ShiftBudgetSettings &settings) : Settings(settings) {}

void ShiftBudget::setCap(const core::RegionId &region, const ShiftCap &cap) { Caps[region] = cap; }

const ShiftCap &ShiftBudget::capOf(const core::RegionId &region) const {
  auto it = Caps.find(region);
  return it != Caps.end() ? it->second : Settings.DefaultCap;
}

void ShiftBudget::observe(const RegionLoad &load, core::Time now) {
  Region &region = Regions[load.Region];
  region.Load = load;
  region.MeasuredAt = now;
  region.Measured = true;
}

void ShiftBudget::becomeLeader(core::Time now) {
  Charges.clear();
  ShiftsBlockedUntil.reset();
  LeaderSince = now;
}

core::Time ShiftBudget::completedAt(const Charge &charge) const {
  // Whether the step of an expired lease was committed is unknown, so its callers may have moved.
  return charge.Open ? charge.LeaseEnd + Settings.Propagation + Settings.Ttl : charge.CompletedAt;
}

bool ShiftBudget::becameLeaderRecently(const core::RegionId &capped, core::Time now) const {
  return LeaderSince &&
         now - *LeaderSince <= Settings.Propagation + Settings.Ttl + capOf(capped).Window;
}

BasisPoints ShiftBudget::charged(const core::RegionId &capped, core::Time now) const {
  const ShiftCap &cap = capOf(capped);
  uint64_t sum = becameLeaderRecently(capped, now) ? cap.MaxShare : 0;
  for (const auto &[id, charge] : Charges)
    if (charge.Capped == capped && now <= completedAt(charge) + cap.Window)
      sum += charge.Share;
  return static_cast<BasisPoints>(std::min<uint64_t>(sum, UINT32_MAX));
}

uint64_t ShiftBudget::headroom(const core::RegionId &id, core::Time now) const {
  auto it = Regions.find(id);
  if (it == Regions.end() || !it->second.Measured || !it->second.Load.Up)
    return 0;
  uint64_t used = it->second.Load.Load;
  for (const auto &[key, charge] : Charges)
    if (charge.Destination == id && now <= completedAt(charge) + Settings.MaxLoadAge)
      used += charge.Requests;
  return it->second.Load.Capacity - std::min(it->second.Load.Capacity, used);
}

uint64_t ShiftBudget::unassignedLoad(core::Time now) const {
  uint64_t sum = 0;
  for (const auto &[key, charge] : Charges)
    if (charge.Destination.empty() && now <= completedAt(charge) + Settings.MaxLoadAge)
      sum += charge.Requests;
  return sum;
}

uint64_t ShiftBudget::headroomElsewhere(const core::RegionId &region, core::Time now) const {
  uint64_t sum = 0;
  for (const auto &[id, other] : Regions)
    if (id != region && loadOf(id, now))
      sum += headroom(id, now);
  return sum - std::min(sum, unassignedLoad(now));
}

std::optional<uint64_t> ShiftBudget::loadOf(const core::RegionId &id, core::Time now) const {
  auto it = Regions.find(id);
  if (it == Regions.end() || !it->second.Measured ||
      now - it->second.MeasuredAt > Settings.MaxLoadAge)
    return std::nullopt;
  return it->second.Load.Load;
}

bool ShiftBudget::isUp(const core::RegionId &region) const {
  auto it = Regions.find(region);
  return it == Regions.end() || it->second.Load.Up;
}

std::optional<BudgetLease> ShiftBudget::lease(const core::RegionId &capped,
                                              const core::RegionId &destination, BasisPoints wanted,
                                              uint64_t fullLoad, core::Time now) {
  dropExpiredCharges(now);
  if ((ShiftsBlockedUntil && now < *ShiftsBlockedUntil) || wanted == 0)
    return std::nullopt;
  if (!destination.empty() && !loadOf(destination, now))
    return std::nullopt;
  uint64_t available =
      destination.empty() ? headroomElsewhere(capped, now) : headroom(destination, now);
  BasisPoints cap = capOf(capped).MaxShare;
  BasisPoints used = charged(capped, now);
  BasisPoints granted = std::min({wanted, cap - std::min(cap, used), shareOf(available, fullLoad)});
  // Smaller steps are not worth a commit each.
  if (granted == 0 || granted < std::min(wanted, cap / 10))
    return std::nullopt;
  Charge charge{capped,  destination,
                granted, requestsPerSecondOf(granted, fullLoad),
                {},      now + Settings.LeaseDuration,
                true};
  uint64_t id = NextId++;
  Charges.emplace(id, charge);
  return BudgetLease{id, granted, charge.LeaseEnd};
}

void ShiftBudget::charge(const core::RegionId &capped, const core::RegionId &destination,
                         BasisPoints basis, uint64_t fullLoad, core::Time now) {
  Charge charge{capped,
                destination,
                basis,
                requestsPerSecondOf(basis, fullLoad),
                now + Settings.Propagation + Settings.Ttl,
                {},
                false};
  Charges.emplace(NextId++, charge);
}

bool ShiftBudget::renew(uint64_t id, core::Time now) {
  auto it = Charges.find(id);
  if (it == Charges.end() || !it->second.Open || it->second.LeaseEnd < now)
    return false;
  it->second.LeaseEnd = now + Settings.LeaseDuration;
  return true;
}

void ShiftBudget::commit(uint64_t id, core::Time committedAt) {
  auto it = Charges.find(id);
  if (it == Charges.end())
    return;
  it->second.Open = false;
  it->second.CompletedAt = committedAt + Settings.Propagation + Settings.Ttl;
}

void ShiftBudget::release(uint64_t id) { Charges.erase(id); }

void ShiftBudget::distribute(const core::RegionId &id, BasisPoints share, core::Time now) {
  Region &failed = Regions[id];
  // The load of the region was never measured, so any share could overload its destination.
  if (!failed.Measured)
    return;
  std::vector<std::pair<core::RegionId, uint64_t>> headrooms;
  uint64_t total = 0;
  for (const auto &[other, region] : Regions) {
    uint64_t available = headroom(other, now);
    if (available == 0)
      continue;
    headrooms.emplace_back(other, available);
    total += available;
  }
  uint64_t usable = total - std::min(total, unassignedLoad(now));
  uint64_t load = failed.LoadAtFailure;
  uint64_t assignable = std::min<uint64_t>(share, shareOf(usable, load));
  auto rest = static_cast<BasisPoints>(assignable);
  for (const auto &[other, available] : headrooms) {
    // Proportional to the headroom. Rounding down keeps every region within its capacity.
    auto basis = static_cast<BasisPoints>(assignable * available / total);
    if (basis == 0)
      continue;
    addForced(id, other, basis, now);
    rest -= basis;
  }
  // The rounding remainder goes to the first region with sufficient headroom.
  for (const auto &[other, available] : headrooms)
    if (rest > 0 && headroom(other, now) >= requestsPerSecondOf(rest, load))
      addForced(id, other, std::exchange(rest, 0), now);
}

void ShiftBudget::addForced(const core::RegionId &id, const core::RegionId &to, BasisPoints basis,
                            core::Time now) {
  Region &failed = Regions[id];
  auto it = std::find_if(failed.Forced.begin(), failed.Forced.end(),
                         [&to](const ForcedShare &move) { return move.To == to; });
  if (it == failed.Forced.end())
    it = failed.Forced.insert(failed.Forced.end(), {to, 0});
  it->Share += basis;
  charge(id, to, basis, failed.LoadAtFailure, now);
}

std::vector<ForcedShare> ShiftBudget::failRegion(const core::RegionId &id, core::Time now) {
  Region &failed = Regions[id];
  if (!failed.Load.Up)
    return failed.Forced;
  // The region may fail again before all its callers were returned; those keep their destination.
  BasisPoints alreadyAssigned = 0;
  for (const ForcedShare &move : failed.Forced)
    alreadyAssigned += move.Share;
  if (failed.Forced.empty())
    failed.LoadAtFailure = failed.Load.Load;
  failed.Load.Region = id;
  failed.Load.Up = false;
  ShiftsBlockedUntil = now + Settings.Propagation + Settings.Ttl;

  // Callers of other failed regions that were assigned to this region need a new destination.
  for (auto &[other, region] : Regions) {
    auto it = std::find_if(region.Forced.begin(), region.Forced.end(),
                           [&id](const ForcedShare &move) { return move.To == id; });
    if (it == region.Forced.end())
      continue;
    BasisPoints share = it->Share;
    region.Forced.erase(it);
    distribute(other, share, now);
  }
  distribute(id, FullShare - std::min(FullShare, alreadyAssigned), now);
  return failed.Forced;
}

void ShiftBudget::setForcedShares(const core::RegionId &id, std::vector<ForcedShare> forced,
                                  uint64_t load, bool down) {
  Region &region = Regions[id];
  region.Load.Region = id;
  region.Load.Up = !down;
  region.Measured = true;
  region.LastReturnCharge = 0;
  region.LoadAtFailure = load;
  region.Forced = std::move(forced);
}

std::vector<ForcedShare> ShiftBudget::forcedShares(const core::RegionId &region) const {
  auto it = Regions.find(region);
  return it != Regions.end() ? it->second.Forced : std::vector<ForcedShare>();
}

std::vector<ForcedShare> ShiftBudget::returnForcedShares(const core::RegionId &id, core::Time now) {
  Region &region = Regions[id];
  if (!region.Load.Up || region.Forced.empty())
    return region.Forced;
  ForcedShare &last = region.Forced.back();
  std::optional<BudgetLease> granted = lease(id, id, last.Share, region.LoadAtFailure, now);
  if (!granted)
    return region.Forced;
  commit(granted->Id, now);
  region.LastReturnCharge = granted->Id;
  last.Share -= granted->Share;
  if (last.Share == 0)
    region.Forced.pop_back();
  return region.Forced;
}

void ShiftBudget::commitReturn(const core::RegionId &id, core::Time committedAt) {
  if (uint64_t charge = std::exchange(Regions[id].LastReturnCharge, 0))
    commit(charge, committedAt);
}

uint64_t ShiftBudget::loadAtFailure(const core::RegionId &region) const {
  auto it = Regions.find(region);
  return it != Regions.end() ? it->second.LoadAtFailure : 0;
}

void ShiftBudget::dropExpiredCharges(core::Time now) {
  for (auto it = Charges.begin(); it != Charges.end();) {
    core::Duration retention = std::max(capOf(it->second.Capped).Window, Settings.MaxLoadAge);
    if (now > completedAt(it->second) + retention)
      it = Charges.erase(it);
    else
      ++it;
  }
}

} // namespace briarspar::moves
