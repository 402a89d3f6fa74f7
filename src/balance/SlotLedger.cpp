#include "balance/SlotLedger.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace briarspar::balance {

using core::Duration;
using core::TargetId;
using core::Time;
using core::VmId;

namespace {

/// Interval between scans for silent VMs. A scan per report would make the cost quadratic in the
/// number of VMs.
constexpr Duration ScanInterval{100};

/// Region of a target that is not in the configuration.
const core::RegionId UnknownRegion;

/// Slots that a VM may keep beyond its share while no other VM needs them.
uint32_t toleranceOf(uint32_t share) { return 1 + share / 4; }

Time later(Time a, Time b) { return a > b ? a : b; }

uint32_t countIn(const std::map<TargetId, uint32_t> &counts, const TargetId &target) {
  auto it = counts.find(target);
  return it == counts.end() ? 0 : it->second;
}

} // namespace

SlotLedger::SlotLedger(const SlotLedgerSettings &settings) : Settings(settings) {}

void SlotLedger::setVms(absl::Span<const VmInfo> vms) {
  std::map<VmId, Vm> next;
  for (const VmInfo &info : vms) {
    auto known = Vms.find(info.Id);
    next[info.Id].Where = info.Where;
    if (known != Vms.end())
      next[info.Id].Current = std::move(known->second.Current);
  }
  for (auto &[id, vm] : Vms)
    if (next.count(id) == 0 && vm.Current)
      retire(std::move(*vm.Current), vm.Current->LastReport + reclaimDelay());
  Vms = std::move(next);
}

void SlotLedger::setTargets(absl::Span<const TargetInfo> targets) {
  for (auto &[id, info] : Targets)
    info.Slots = 0;
  Pools.clear();
  for (const TargetInfo &info : targets) {
    if (!HasInherited)
      Inherited.insert(info.Id);
    auto known = Targets.find(info.Id);
    if (known != Targets.end())
      moveUse(info.Id, known->second.Where.Region, info.Where.Region);
    Targets[info.Id] = info;
    Pool &pool = Pools[info.Pool];
    pool.Targets.push_back(info.Id);
    pool.Slots += info.Slots;
  }
  HasInherited = Leading;
  // A removed target with granted slots is kept, so that its region is known when they are
  // released.
  for (auto it = Targets.begin(); it != Targets.end();) {
    const bool isUnused = it->second.Slots == 0 && countIn(GrantedOn, it->first) == 0;
    it = isUnused ? Targets.erase(it) : std::next(it);
  }
}

void SlotLedger::moveUse(const TargetId &target, const core::RegionId &from,
                         const core::RegionId &to) {
  const auto move = [&](const Holding &holding) {
    const uint32_t n = countIn(holding.Granted, target);
    Regions.release(holding.Region, from, n);
    Regions.recordHeld(holding.Region, to, n);
  };
  if (from == to)
    return;
  for (const auto &[id, vm] : Vms)
    if (vm.Current)
      move(*vm.Current);
  for (const RetiredHolding &retired : RetiredHoldings)
    move(retired.Held);
}

void SlotLedger::becomeLeader(core::Term term, Time now) {
  stepDown();
  Leading = true;
  Term = term;
  LeaderSince = now;
  Inherited.clear();
  for (const auto &[id, info] : Targets)
    Inherited.insert(id);
  HasInherited = false;
}

void SlotLedger::stepDown() {
  Leading = false;
  for (auto &[id, vm] : Vms) {
    if (vm.Current)
      clearGranted(*vm.Current);
    vm.Current.reset();
  }
  for (RetiredHolding &retired : RetiredHoldings)
    clearGranted(retired.Held);
  RetiredHoldings.clear();
}

std::optional<SlotAnswer> SlotLedger::report(const SlotReport &report, Time now) {
  if (!Leading || report.Leader != Term)
    return std::nullopt;
  auto known = Vms.find(report.Vm);
  if (known == Vms.end() || !isCurrent(known->second, report))
    return std::nullopt;
  Vm &vm = known->second;
  tick(now);
  SlotMap limits = coveredLimits(vm, report, now);
  if (!vm.Current || vm.Current->Run != report.Run)
    beginRun(vm, report, now);

  // The holder ignores answers to earlier reports from now on, so the report states exactly what it
  // may use, whether or not those answers arrive.
  Holding &holding = *vm.Current;
  holding.Sequence = report.Sequence;
  holding.LastReport = now;
  holding.Expired = false;
  holding.Demand = report.Demand;
  holding.Avoided = report.Avoided;
  setHeld(holding, report.Held);

  revokeExcess(holding, limits);
  Withheld = waitsForReports(now);
  std::set<PoolId> pools;
  for (const auto &[pool, n] : report.Demand)
    pools.insert(pool);
  for (const auto &[target, n] : report.Held)
    pools.insert(Targets[target].Pool);
  for (const PoolId &pool : pools)
    allocate(report.Vm, vm, pool, limits, now);
  return SlotAnswer{report.Vm, report.Run, Term, report.Sequence, std::move(limits)};
}

/// Returns the limits of a holder that are still covered by a grant. A request that outlives its
/// limit counts as held, but it must not renew the limit, because the ledger may have granted the
/// slot to another VM since.
SlotLedger::SlotMap SlotLedger::coveredLimits(const Vm &vm, const SlotReport &report,
                                              Time now) const {
  SlotMap limits;
  for (const auto &[target, usable] : report.Usable) {
    uint32_t covered = 0;
    if (vm.Current && vm.Current->Run == report.Run)
      covered = countIn(vm.Current->Granted, target);
    else if (!vm.Current && waitsForReports(now))
      covered = usable; // Granted by an earlier leader.
    if (const uint32_t limit = std::min(usable, covered))
      limits[target] = limit;
  }
  return limits;
}

bool SlotLedger::isCurrent(const Vm &vm, const SlotReport &report) {
  if (!vm.Current || report.Run > vm.Current->Run)
    return true;
  return report.Run == vm.Current->Run && report.Sequence > vm.Current->Sequence;
}

void SlotLedger::beginRun(Vm &vm, const SlotReport &report, Time now) {
  Holding next;
  next.Run = report.Run;
  next.Region = vm.Where.Region;
  if (vm.Current) {
    // A newer run proves that the older process has ended, but targets may still run its last
    // requests.
    next.CoveredFrom = vm.Current->CoveredFrom;
    retire(std::move(*vm.Current), now + maxInFlightTime());
  } else {
    // An earlier run that is unknown to this leader may have ended just before this run started.
    const Duration age = core::shortenForClockDrift(report.Uptime);
    next.CoveredFrom = later(now, now + maxInFlightTime() - age);
  }
  vm.Current = std::move(next);
}

void SlotLedger::retire(Holding &&holding, Time until) {
  if (!holding.Granted.empty())
    RetiredHoldings.push_back({until, std::move(holding)});
}

void SlotLedger::setHeld(Holding &holding, const SlotMap &held) {
  for (const auto &[target, n] : SlotMap(holding.Granted))
    if (held.count(target) == 0)
      setGranted(holding, target, 0);
  for (const auto &[target, n] : held)
    setGranted(holding, target, n);
}

void SlotLedger::setGranted(Holding &holding, const TargetId &target, uint32_t n) {
  const uint32_t before = countIn(holding.Granted, target);
  const core::RegionId &region = regionOf(target);
  GrantedOn[target] = GrantedOn[target] - before + n;
  if (n > before)
    Regions.recordHeld(holding.Region, region, n - before);
  else
    Regions.release(holding.Region, region, before - n);
  if (n == 0)
    holding.Granted.erase(target);
  else
    holding.Granted[target] = n;
}

void SlotLedger::clearGranted(Holding &holding) { setHeld(holding, {}); }

void SlotLedger::revokeExcess(const Holding &holding, SlotMap &limits) const {
  for (auto &[target, limit] : limits) {
    const uint32_t granted = this->granted(target);
    const uint32_t slots = slotsOf(target);
    const uint32_t onTarget = granted > slots ? granted - slots : 0;
    const uint32_t inRegion = Regions.excess(holding.Region, regionOf(target));
    limit -= std::min(limit, std::max(onTarget, inRegion));
  }
}

void SlotLedger::allocate(const VmId &id, Vm &vm, const PoolId &poolId, SlotMap &limits, Time now) {
  auto known = Pools.find(poolId);
  if (known == Pools.end())
    return;
  Pool &pool = known->second;
  updateAllocation(poolId, pool, now);
  uint32_t held = 0;
  for (const TargetId &target : pool.Targets)
    held += vm.Current->Avoided.count(target) == 0 ? countIn(limits, target) : 0;
  const uint32_t demand = demandOf(*vm.Current, poolId);
  const uint32_t reserve = reserveOf(pool);
  // A VM without slots gets its first one at once from the reserve.
  const bool isStarved = held == 0 && demand > 0;
  const uint32_t share = std::max(shareOf(*pool.Current, id, demand), isStarved ? 1U : 0U);
  const uint32_t free = freeIn(pool);
  if (held < share) {
    const uint32_t room = free > reserve ? free - reserve : 0;
    grow(vm, pool, limits, std::min(share - held, isStarved ? std::max(room, 1U) : room));
    return;
  }
  const bool isShort = pool.Current->Contended || free <= reserve;
  const uint32_t keep = isShort ? share : share + toleranceOf(share);
  // The shares are unknown until every VM has reported.
  if (held > keep && !Withheld)
    shrink(vm, pool, limits, held - keep);
}

void SlotLedger::updateAllocation(const PoolId &poolId, Pool &pool, Time now) const {
  if (pool.Current && now < pool.Current->At + Settings.AllocationInterval)
    return;
  std::map<VmId, uint32_t> demands;
  uint64_t sum = 0;
  uint32_t largest = 0;
  for (const auto &[id, vm] : Vms)
    if (vm.Current && !vm.Current->Expired)
      if (const uint32_t demand = demandOf(*vm.Current, poolId)) {
        demands[id] = demand;
        sum += demand;
        largest = std::max(largest, demand);
      }
  Allocation allocation;
  allocation.At = now;
  const uint32_t reserve = reserveOf(pool);
  const uint32_t slots = pool.Slots > reserve ? pool.Slots - reserve : 0;
  allocation.Contended = sum > slots;
  if (allocation.Contended)
    allocateByDemand(allocation, slots, demands);
  else
    // A demand that grows before the next update may use the remaining slots.
    allocation.MaxShare = largest + slots - static_cast<uint32_t>(sum);
  pool.Current = std::move(allocation);
}

/// Equal shares would leave slots idle at VMs with few callers while requests wait at VMs with
/// many. With shares in proportion to the demands, requests wait equally long at every VM.
void SlotLedger::allocateByDemand(Allocation &allocation, uint32_t slots,
                                  const std::map<VmId, uint32_t> &demands) const {
  // Limits what one VM with a long queue takes from the others.
  const uint64_t most =
      1 + uint64_t{slots} * Settings.MaxDemandInEqualShares / std::max<size_t>(1, demands.size());
  uint64_t sum = 0;
  for (const auto &[id, demand] : demands)
    sum += std::min<uint64_t>(demand, most);
  uint32_t rest = slots;
  for (const auto &[id, demand] : demands) {
    const uint64_t counted = std::min<uint64_t>(demand, most);
    const uint64_t part = std::min(counted, counted * slots / sum);
    allocation.Shares[id] = static_cast<uint32_t>(part);
    rest -= static_cast<uint32_t>(part);
  }
  // The rounding remainder goes to different VMs in turn.
  const auto first = static_cast<size_t>(allocation.At.Ms / Settings.RemainderRotation.Ms);
  auto it = std::next(allocation.Shares.begin(),
                      static_cast<std::ptrdiff_t>(first % allocation.Shares.size()));
  for (size_t n = std::min<size_t>(rest, allocation.Shares.size()); n > 0; --n) {
    ++it->second;
    if (++it == allocation.Shares.end())
      it = allocation.Shares.begin();
  }
}

uint32_t SlotLedger::shareOf(const Allocation &allocation, const VmId &vm, uint32_t demand) {
  if (!allocation.Contended)
    return std::min(demand, allocation.MaxShare);
  auto it = allocation.Shares.find(vm);
  return it == allocation.Shares.end() ? 0 : std::min(demand, it->second);
}

void SlotLedger::grow(Vm &vm, const Pool &pool, SlotMap &limits, uint32_t n) {
  Holding &holding = *vm.Current;
  for (; n > 0; --n) {
    const TargetId *best = nullptr;
    std::pair<int, int64_t> bestKey;
    for (const TargetId &target : pool.Targets) {
      if (holding.Avoided.count(target) != 0)
        continue;
      const uint32_t free = freeOn(target);
      const bool isBeingRevoked = countIn(limits, target) < countIn(holding.Granted, target);
      if (free == 0 || isBeingRevoked || Regions.headroom(holding.Region, regionOf(target)) == 0)
        continue;
      const std::pair<int, int64_t> key(distance(vm.Where, target), -static_cast<int64_t>(free));
      if (best == nullptr || key < bestKey) {
        best = &target;
        bestKey = key;
      }
    }
    if (best == nullptr)
      return;
    setGranted(holding, *best, ++limits[*best]);
  }
}

void SlotLedger::shrink(const Vm &vm, const Pool &pool, SlotMap &limits, uint32_t n) const {
  for (; n > 0; --n) {
    const TargetId *best = nullptr;
    std::pair<int, uint32_t> bestKey;
    for (const TargetId &target : pool.Targets) {
      const std::pair<int, uint32_t> key(distance(vm.Where, target), countIn(limits, target));
      if (key.second != 0 && (best == nullptr || key > bestKey)) {
        best = &target;
        bestKey = key;
      }
    }
    if (best == nullptr)
      return;
    --limits[*best];
  }
}

uint32_t SlotLedger::demandOf(const Holding &holding, const PoolId &pool) const {
  auto it = holding.Demand.find(pool);
  if (it == holding.Demand.end() || it->second == 0)
    return 0;
  // One more slot for the next request; the reported demand covers the usual variation.
  return it->second + 1;
}

uint32_t SlotLedger::reserveOf(const Pool &pool) const {
  return (pool.Slots * Settings.ReservePermille + 999) / 1000;
}

void SlotLedger::vmExpired(const VmId &vm, core::Incarnation run, Time now) {
  auto it = Vms.find(vm);
  if (it != Vms.end() && it->second.Current && it->second.Current->Run == run)
    it->second.Current->Expired = true;
  tick(now);
}

void SlotLedger::tick(Time now) {
  if (now < NextScan)
    return;
  NextScan = now + ScanInterval;
  for (auto &[id, vm] : Vms) {
    if (!vm.Current)
      continue;
    Holding &holding = *vm.Current;
    if (now >= holding.LastReport + core::lengthenForClockDrift(Settings.LimitValidity))
      holding.Expired = true;
    if (now >= holding.LastReport + reclaimDelay())
      clearGranted(holding);
  }
  for (auto it = RetiredHoldings.begin(); it != RetiredHoldings.end();) {
    if (now < it->Until) {
      ++it;
      continue;
    }
    clearGranted(it->Held);
    it = RetiredHoldings.erase(it);
  }
}

bool SlotLedger::waitsForReports(Time now) const {
  if (!Leading || now >= LeaderSince + reclaimDelay())
    return false;
  return std::any_of(Vms.begin(), Vms.end(), [&](const auto &entry) {
    const Vm &vm = entry.second;
    return !vm.Current || now < vm.Current->CoveredFrom;
  });
}

Duration SlotLedger::maxInFlightTime() const {
  return core::lengthenForClockDrift(Settings.LongestDeadline);
}

Duration SlotLedger::reclaimDelay() const {
  return core::lengthenForClockDrift(Settings.LimitValidity) + maxInFlightTime();
}

uint32_t SlotLedger::granted(const TargetId &target) const { return countIn(GrantedOn, target); }

uint32_t SlotLedger::slotsOf(const TargetId &target) const {
  auto it = Targets.find(target);
  return it == Targets.end() ? 0 : it->second.Slots;
}

uint32_t SlotLedger::freeOn(const TargetId &target) const {
  if (Withheld && Inherited.count(target) != 0)
    return 0;
  const uint32_t used = granted(target);
  const uint32_t slots = slotsOf(target);
  return slots > used ? slots - used : 0;
}

uint32_t SlotLedger::freeIn(const Pool &pool) const {
  uint32_t free = 0;
  for (const TargetId &target : pool.Targets)
    free += freeOn(target);
  return free;
}

const core::RegionId &SlotLedger::regionOf(const TargetId &target) const {
  auto it = Targets.find(target);
  return it == Targets.end() ? UnknownRegion : it->second.Where.Region;
}

int SlotLedger::distance(const Locality &from, const TargetId &target) const {
  auto it = Targets.find(target);
  if (it == Targets.end() || it->second.Where.Region != from.Region)
    return 2;
  return it->second.Where.Domain == from.Domain ? 0 : 1;
}

} // namespace briarspar::balance
