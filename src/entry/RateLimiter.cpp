#include "entry/RateLimiter.h"

#include <set>

namespace briarspar::entry {

namespace {

/// Maximum number of timed-out asks that are remembered, so that a late grant can be refunded.
constexpr size_t MaxTimedOutAsks = 1024;

} // namespace

RateLimiter::RateLimiter(link::EntryLocation own, Send send, const RateLimiterSettings &settings)
    : Own(std::move(own)), SendAsk(std::move(send)), Settings(settings) {}

void RateLimiter::setLimits(const catalog::ItemMap<catalog::Customer> &customers, core::Time now) {
  Limits.clear();
  for (const auto &[name, held] : customers)
    if (held.Value && held.Value->RatePerS > 0)
      Limits[name] = {held.Value->RatePerS, held.Value->Burst};
  Shares.setLimits(customers, now);
  rebuildHolderOrders(now);
}

bool RateLimiter::setEntries(absl::Span<const link::EntryLocation> entries, core::Time now) {
  Holders = link::RateHolders({entries.begin(), entries.end()});
  return rebuildHolderOrders(now);
}

bool RateLimiter::rebuildHolderOrders(core::Time now) {
  HolderOrders.clear();
  std::set<std::string> byOthers;
  for (const auto &[name, limit] : Limits) {
    const std::vector<core::VmId> &order = holderOrder(name);
    if (!order.empty() && order.front() != Own.Vm)
      byOthers.insert(name);
  }
  return Shares.setHeldByOthers(std::move(byOthers), now);
}

void RateLimiter::setShares(absl::Span<const link::RateShare> shares, core::Time sentAt,
                            core::Time now) {
  Shares.setShares(shares, Holders.entries(), sentAt, now);
}

const std::vector<core::VmId> &RateLimiter::holderOrder(const std::string &customer) {
  auto [it, isNew] = HolderOrders.try_emplace(customer);
  auto limit = Limits.find(customer);
  if (isNew && limit != Limits.end())
    it->second = Holders.failoverOrder(customer, limit->second, Own);
  return it->second;
}

core::VmId RateLimiter::holderOf(const std::string &customer, core::Time now) {
  for (const core::VmId &it : holderOrder(customer)) {
    auto silent = AvoidUntil.find(it);
    if (silent == AvoidUntil.end() || now >= silent->second)
      return it;
  }
  return Own.Vm;
}

std::optional<bool> RateLimiter::request(const std::string &customer, core::Time now, Reply reply) {
  if (Limits.count(customer) == 0)
    return true;
  core::VmId holder = holderOf(customer, now);
  if (holder == Own.Vm)
    return Shares.spend(customer, now);
  ask({customer, holder, 1, {}, std::move(reply)}, now);
  return std::nullopt;
}

void RateLimiter::ask(PendingAsk pending, core::Time now) {
  pending.Until = now + Settings.AskTimeout;
  link::RateRequest message{++Sequence, pending.Customer};
  core::VmId holder = pending.Holder;
  PendingAsks.emplace(Sequence, std::move(pending));
  SendAsk(holder, message);
}

void RateLimiter::refund(const std::string &customer, core::Time now) {
  if (Limits.count(customer) == 0)
    return;
  core::VmId holder = holderOf(customer, now);
  if (holder == Own.Vm)
    Shares.refund(customer, now);
  else
    SendAsk(holder, {0, customer});
}

link::RatePermit RateLimiter::answer(const link::RateRequest &ask, core::Time now) {
  if (ask.Sequence != 0)
    return {ask.Sequence, Shares.spend(ask.Customer, now)};
  Shares.refund(ask.Customer, now);
  return {};
}

void RateLimiter::onPermit(const core::VmId &from, const link::RatePermit &permit, core::Time now) {
  AvoidUntil.erase(from);
  auto late = TimedOutAsks.find(permit.Sequence);
  if (late != TimedOutAsks.end()) {
    if (permit.Granted)
      SendAsk(from, {0, late->second});
    TimedOutAsks.erase(late);
    return;
  }
  auto it = PendingAsks.find(permit.Sequence);
  if (it == PendingAsks.end())
    return;
  PendingAsk pending = std::move(it->second);
  PendingAsks.erase(it);
  pending.Done(permit.Granted);
}

void RateLimiter::onTimer(core::Time now) {
  while (!PendingAsks.empty() && PendingAsks.begin()->second.Until <= now) {
    uint64_t sequence = PendingAsks.begin()->first;
    PendingAsk pending = std::move(PendingAsks.begin()->second);
    PendingAsks.erase(PendingAsks.begin());
    TimedOutAsks[sequence] = pending.Customer;
    if (TimedOutAsks.size() > MaxTimedOutAsks)
      TimedOutAsks.erase(TimedOutAsks.begin());
    auto silent = AvoidUntil.find(pending.Holder);
    if (silent == AvoidUntil.end() || now >= silent->second)
      NewlyUnresponsive.push_back(pending.Holder);
    AvoidUntil[pending.Holder] = now + Settings.HolderBackoff;
    pending.Holder = holderOf(pending.Customer, now);
    if (pending.Holder == Own.Vm || pending.Asked >= Settings.MaxHoldersAsked) {
      pending.Done(Shares.spend(pending.Customer, now));
    } else {
      ++pending.Asked;
      ask(std::move(pending), now);
    }
  }
}

std::optional<core::Time> RateLimiter::wakeAt() const {
  if (PendingAsks.empty())
    return std::nullopt;
  return PendingAsks.begin()->second.Until;
}

} // namespace briarspar::entry
