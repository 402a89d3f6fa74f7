#include "balance/SlotHolder.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace briarspar::balance {

using core::TargetId;
using core::Time;

SlotHolder::SlotHolder(core::VmId vm, core::Incarnation run, const core::Clock &clock,
                       const ServingPermission &permission, const SlotHolderSettings &settings)
    : Vm(std::move(vm)), Run(run), Clock(clock), Permission(permission), Settings(settings),
      Started(clock.now()) {}

void SlotHolder::setTargets(absl::Span<const TargetInfo> targets, uint32_t vmCount) {
  std::lock_guard<std::mutex> lock(Mutex);
  VmCount = std::max(vmCount, 1U);
  for (auto &[id, slot] : Slots)
    slot.TargetSlots = 0;
  for (const TargetInfo &info : targets) {
    Slot &slot = Slots[info.Id];
    slot.TargetSlots = info.Slots;
    if (slot.Pool != info.Pool) {
      Demands[slot.Pool].InUse -= slot.InUse;
      Demands[info.Pool].InUse += slot.InUse;
      slot.Pool = info.Pool;
    }
  }
  for (auto it = Slots.begin(); it != Slots.end();) {
    const Slot &slot = it->second;
    const bool isUnused = slot.TargetSlots == 0 && slot.Limit == 0 && slot.InUse == 0;
    it = isUnused ? Slots.erase(it) : std::next(it);
  }
  countReturning();
}

bool SlotHolder::limitsValid(Time now) const { return now < ValidUntil && Permission.valid(now); }

bool SlotHolder::acquire(const TargetId &target) {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Slots.find(target);
  const Time now = Clock.now();
  if (it == Slots.end() || !it->second.hasFree() || !limitsValid(now))
    return false;
  changeInUse(it->second, 1);
  Demand &demand = Demands[it->second.Pool];
  ageMean(demand, now);
  ++demand.InUse;
  return true;
}

void SlotHolder::release(const TargetId &target) {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Slots.find(target);
  assert(it != Slots.end() && it->second.InUse > 0 && "release follows a successful acquire");
  changeInUse(it->second, -1);
  Demand &demand = Demands[it->second.Pool];
  ageMean(demand, Clock.now());
  --demand.InUse;
}

uint32_t SlotHolder::available(const TargetId &target) const {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Slots.find(target);
  if (it == Slots.end() || !it->second.hasFree() || !limitsValid(Clock.now()))
    return 0;
  return it->second.Limit - it->second.InUse;
}

uint32_t SlotHolder::inUse(const TargetId &target) const {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Slots.find(target);
  return it == Slots.end() ? 0 : it->second.InUse;
}

SlotHolder::PoolSlots SlotHolder::poolSlots(const PoolId &pool) const {
  std::lock_guard<std::mutex> lock(Mutex);
  const bool isValid = limitsValid(Clock.now());
  PoolSlots sum;
  for (const auto &[target, slot] : Slots) {
    if (slot.Pool != pool)
      continue;
    const uint32_t free = isValid && slot.hasFree() ? slot.Limit - slot.InUse : 0;
    sum.Free += free;
    sum.Total += free + slot.InUse;
  }
  return sum;
}

void SlotHolder::setWaiting(const PoolId &pool, uint32_t waiting) {
  std::lock_guard<std::mutex> lock(Mutex);
  Demands[pool].Waiting = waiting;
}

void SlotHolder::ageMean(Demand &demand, Time now) const {
  const auto age = static_cast<double>((now - demand.At).Ms);
  const double decay = std::exp(-age / static_cast<double>(Settings.DemandWindow.Ms));
  demand.MeanInUse = demand.MeanInUse * decay + demand.InUse * (1 - decay);
  demand.At = now;
}

/// Returns the mean use plus its usual variation. Peak use is not a usable demand, because the VMs
/// do not peak at the same time: the sum of the peaks exceeds the slots long before these are busy,
/// and VMs would keep idle slots while requests wait at other VMs.
uint32_t SlotHolder::wanted(const Demand &demand) const {
  const double usual = demand.MeanInUse + Settings.DemandSpread * std::sqrt(demand.MeanInUse);
  return std::max(demand.InUse, static_cast<uint32_t>(std::lround(usual))) + demand.Waiting;
}

uint32_t SlotHolder::connectionLimit(const TargetId &target) const {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Slots.find(target);
  if (it == Slots.end())
    return 0;
  const Slot &slot = it->second;
  const uint32_t held = limitsValid(Clock.now()) ? std::max(slot.Limit, slot.InUse) : slot.InUse;
  if (slot.TargetSlots == 0)
    return held;
  const uint32_t share = Settings.MaxConnectionsPerTarget / VmCount;
  if (share >= slot.TargetSlots)
    return share;
  // In a large fleet an equal share is less than a VM may have in flight. The slots are reserved
  // twice: once for the VMs that hold them, and once for paused VMs that have not closed their
  // connections yet.
  const uint32_t reserved = 2 * slot.TargetSlots;
  const uint32_t spare =
      Settings.MaxConnectionsPerTarget > reserved ? Settings.MaxConnectionsPerTarget - reserved : 0;
  return spare / VmCount + held;
}

std::optional<SlotReport> SlotHolder::tick(core::Term leader, Time now, core::Duration lookahead) {
  std::lock_guard<std::mutex> lock(Mutex);
  const bool isNewLeader = leader != Leader || Sequence == 0;
  if (!isNewLeader) {
    if (AwaitsAnswer && now < LastReportAt + Settings.AnswerTimeout)
      return std::nullopt;
    const core::Duration interval =
        isUrgent() ? Settings.UrgentInterval : Settings.ReportInterval - lookahead;
    if (now < LastReportAt + interval)
      return std::nullopt;
  }
  // Expired limits are dropped permanently. They must not become valid again when the lease is
  // renewed, because the leader may count them as returned from this report on.
  const bool isValid = limitsValid(now);
  Leader = leader;
  LastReportAt = now;
  AwaitsAnswer = true;
  SlotReport report;
  report.Vm = Vm;
  report.Run = Run;
  report.Leader = leader;
  report.Sequence = ++Sequence;
  report.Uptime = now - Started;
  for (auto &[target, slot] : Slots) {
    if (!isValid)
      slot.Limit = 0;
    slot.Reported = slot.held();
    if (slot.Reported != 0)
      report.Held[target] = slot.Reported;
    if (slot.Limit != 0)
      report.Usable[target] = slot.Limit;
  }
  Returning = 0;
  for (auto &[pool, demand] : Demands) {
    ageMean(demand, now);
    if (const uint32_t n = wanted(demand))
      report.Demand[pool] = n;
  }
  return report;
}

bool SlotHolder::isUrgent() const {
  const bool isWaiting = std::any_of(Demands.begin(), Demands.end(),
                                     [](const auto &d) { return d.second.Waiting != 0; });
  return isWaiting || Returning != 0;
}

void SlotHolder::changeInUse(Slot &slot, int change) {
  Returning -= slot.returns() ? 1 : 0;
  slot.InUse += change;
  Returning += slot.returns() ? 1 : 0;
}

void SlotHolder::countReturning() {
  Returning = static_cast<size_t>(std::count_if(
      Slots.begin(), Slots.end(), [](const auto &entry) { return entry.second.returns(); }));
}

void SlotHolder::receive(const SlotAnswer &answer, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  const bool isExpected = AwaitsAnswer && answer.Vm == Vm && answer.Run == Run &&
                          answer.Leader == Leader && answer.AnswerTo == Sequence;
  if (!isExpected)
    return;
  AwaitsAnswer = false;
  ValidUntil = LastReportAt + core::shortenForClockDrift(Settings.LimitValidity);
  for (auto &[target, slot] : Slots)
    slot.Limit = 0;
  for (const auto &[target, limit] : answer.Limits)
    if (limit != 0)
      Slots[target].Limit = limit;
  countReturning();
}

} // namespace briarspar::balance
