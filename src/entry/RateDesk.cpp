#include "entry/RateDesk.h"

#include <set>

namespace briarspar::entry {

namespace {

/// Asks given up whose late permits are still recognised, to give the request back.
constexpr size_t MostAbandoned = 1024;

} // namespace

RateDesk::RateDesk(core::VmId own, Send send, const RateDeskSettings &settings)
    : Own(std::move(own)), SendAsk(std::move(send)), Settings(settings) {}

void RateDesk::setLimits(const catalog::ItemMap<catalog::Customer> &customers, core::Time now) {
  Limits.clear();
  for (const auto &[name, held] : customers)
    if (held.Value && held.Value->RatePerS > 0)
      Limits[name] = {held.Value->RatePerS, held.Value->Burst};
  Shares.setLimits(customers, now);
  formCircles();
}

void RateDesk::setEntries(absl::Span<const link::EntryLocation> entries) {
  Holders = link::RateHolders({entries.begin(), entries.end()});
  formCircles();
}

void RateDesk::formCircles() {
  Circles.clear();
  std::set<std::string> byOthers;
  for (const auto &[name, limit] : Limits) {
    const std::vector<core::VmId> &circle = circleOf(name);
    if (!circle.empty() && circle.front() != Own)
      byOthers.insert(name);
  }
  Shares.setHeldByOthers(std::move(byOthers));
}

void RateDesk::setShares(absl::Span<const link::RateShare> shares, core::Time sentAt,
                         core::Time now) {
  Shares.setShares(shares, Holders.entries(), sentAt, now);
}

const std::vector<core::VmId> &RateDesk::circleOf(const std::string &customer) {
  auto [it, isNew] = Circles.try_emplace(customer);
  auto limit = Limits.find(customer);
  if (isNew && limit != Limits.end())
    it->second = Holders.failoverOrder(customer, limit->second, Own);
  return it->second;
}

core::VmId RateDesk::holderOf(const std::string &customer, core::Time now) {
  for (const core::VmId &it : circleOf(customer)) {
    auto silent = SilentUntil.find(it);
    if (silent == SilentUntil.end() || now >= silent->second)
      return it;
  }
  return Own;
}

std::optional<bool> RateDesk::request(const std::string &customer, core::Time now, Reply reply) {
  if (Limits.count(customer) == 0)
    return true;
  core::VmId holder = holderOf(customer, now);
  if (holder == Own)
    return Shares.spend(customer, now);
  ask({customer, holder, 1, {}, std::move(reply)}, now);
  return std::nullopt;
}

void RateDesk::ask(Wait wait, core::Time now) {
  wait.Until = now + Settings.AskTimeout;
  link::RateRequest message{++Sequence, wait.Customer};
  core::VmId holder = wait.Holder;
  Waits.emplace(Sequence, std::move(wait));
  SendAsk(holder, message);
}

void RateDesk::giveBack(const std::string &customer, core::Time now) {
  if (Limits.count(customer) == 0)
    return;
  core::VmId holder = holderOf(customer, now);
  if (holder == Own)
    Shares.giveBack(customer, now);
  else
    SendAsk(holder, {0, customer});
}

link::RatePermit RateDesk::answer(const link::RateRequest &ask, core::Time now) {
  if (ask.Sequence != 0)
    return {ask.Sequence, Shares.spend(ask.Customer, now)};
  Shares.giveBack(ask.Customer, now);
  return {};
}

void RateDesk::onPermit(const core::VmId &from, const link::RatePermit &permit, core::Time now) {
  SilentUntil.erase(from);
  auto late = Abandoned.find(permit.Sequence);
  if (late != Abandoned.end()) {
    if (permit.Granted)
      SendAsk(from, {0, late->second});
    Abandoned.erase(late);
    return;
  }
  auto it = Waits.find(permit.Sequence);
  if (it == Waits.end())
    return;
  Wait wait = std::move(it->second);
  Waits.erase(it);
  wait.Done(permit.Granted);
}

void RateDesk::onTimer(core::Time now) {
  while (!Waits.empty() && Waits.begin()->second.Until <= now) {
    uint64_t sequence = Waits.begin()->first;
    Wait wait = std::move(Waits.begin()->second);
    Waits.erase(Waits.begin());
    Abandoned[sequence] = wait.Customer;
    if (Abandoned.size() > MostAbandoned)
      Abandoned.erase(Abandoned.begin());
    auto silent = SilentUntil.find(wait.Holder);
    if (silent == SilentUntil.end() || now >= silent->second)
      Silences.push_back(wait.Holder);
    SilentUntil[wait.Holder] = now + Settings.SilentSpan;
    wait.Holder = holderOf(wait.Customer, now);
    if (wait.Holder == Own || wait.Asked >= Settings.MostAsked) {
      wait.Done(Shares.spend(wait.Customer, now));
    } else {
      ++wait.Asked;
      ask(std::move(wait), now);
    }
  }
}

std::optional<core::Time> RateDesk::wakeAt() const {
  if (Waits.empty())
    return std::nullopt;
  return Waits.begin()->second.Until;
}

} // namespace briarspar::entry
