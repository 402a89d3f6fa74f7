#include "control/RateAllocator.h"

#include <algorithm>

namespace briarspar::control {

namespace {

constexpr uint32_t FullPermille = 1000;

/// Interval at which VMs that no longer report are searched for.
constexpr core::Duration ForgetInterval{1000};

} // namespace

RateAllocator::RateAllocator(const RateAllocatorSettings &settings) : Settings(settings) {}

void RateAllocator::becomeLeader(core::Term term, const std::set<core::VmId> &entries,
                                 core::Time now) {
  if (term == Term)
    return;
  Customers.clear();
  Term = term;
  Unconfirmed = entries;
  for (const core::VmId &vm : entries)
    LastReportAt[vm] = now;
  SettledAt = now + Settings.Validity + Settings.Margin;
}

std::vector<link::RateShare> RateAllocator::allocate(const core::VmId &vm, core::Incarnation run,
                                                     core::Term heardTerm,
                                                     absl::Span<const link::CustomerUsage> uses,
                                                     const link::RateHolders &holders,
                                                     core::Time now) {
  std::vector<link::RateShare> shares;
  if (heardTerm == Term)
    Unconfirmed.erase(vm);
  bool settled = isSettled(now);
  const uint32_t reserveVms = countReserveVms(vm, now);
  // A VM that has just started or is stopping may consider itself the holder for other VMs.
  const bool isListed = holders.entries() == 0 || holders.contains(vm);
  for (const link::CustomerUsage &use : uses) {
    Customer &customer = Customers[use.Customer];
    auto [known, isNew] = customer.try_emplace(vm);
    Allocation &own = known->second;
    uint32_t others = 0;
    for (auto it = customer.begin(); it != customer.end();) {
      if (it->first == vm) {
        ++it;
      } else if (now >= it->second.Until) {
        it = customer.erase(it);
      } else {
        others += it->second.Outstanding;
        ++it;
      }
    }
    // A restarted VM no longer uses the share of its previous process.
    if (own.Run < run)
      own.Outstanding = 0;
    // The reported share is final only if it equals the last granted one, or if the VM has given it
    // up; otherwise a response in transit may still raise it.
    const bool isGivenUp = use.SharePermille == 0 && !use.HoldsShare;
    bool confirmed = own.Run == run && (use.SharePermille == own.Granted || isGivenUp);
    uint32_t usable = confirmed || now >= own.Until
                          ? use.SharePermille
                          : std::max({use.SharePermille, own.Outstanding});
    own.Demand = use.ArrivalsPerS;
    auto limit = Limits.find(use.Customer);
    const bool isShared = limit != Limits.end() && holders.count(limit->second) < holders.entries();
    const bool holds = use.HoldsShare && (isListed || !isShared);
    // After a change of leaders all VMs are unknown, though they hold shares.
    const bool wasHolding = isNew ? now < SettledAt : own.HoldsShare && own.Run == run;
    if (isShared && holds && !wasHolding)
      own.NewUntil = now + Settings.TakeOverPeriod;
    own.HoldsShare = holds;
    own.Run = run;
    uint32_t free = others >= FullPermille ? 0 : FullPermille - others;
    uint32_t share = settled
                         ? std::min(free, desiredShare(use.Customer, customer, own, holders, now))
                         : use.SharePermille;
    own.Granted = share;
    own.Outstanding = std::max(usable, share);
    own.Until = now + Settings.Validity + Settings.Margin;
    shares.push_back({use.Customer, share, reserveVms});
  }
  return shares;
}

void RateAllocator::setRates(const catalog::ItemMap<catalog::Customer> &customers) {
  Limits.clear();
  for (const auto &[name, held] : customers)
    if (held.Value && held.Value->RatePerS > 0)
      Limits[name] = {held.Value->RatePerS, held.Value->Burst};
}

uint32_t RateAllocator::countReserveVms(const core::VmId &vm, core::Time now) {
  LastReportAt[vm] = now;
  if (now - CountedAt >= ForgetInterval) {
    CountedAt = now;
    for (auto it = LastReportAt.begin(); it != LastReportAt.end();)
      it = now - it->second > Settings.ReserveRetention ? LastReportAt.erase(it) : std::next(it);
  }
  return static_cast<uint32_t>(LastReportAt.size());
}

uint32_t RateAllocator::desiredShare(const std::string &name, const Customer &customer,
                                     const Allocation &allocation, const link::RateHolders &holders,
                                     core::Time now) const {
  auto limit = Limits.find(name);
  if (limit == Limits.end())
    return 0;
  auto count = static_cast<double>(holders.count(limit->second));
  // A single holder decides for all VMs, so no part of the rate is kept for others.
  if (count <= 1 && allocation.HoldsShare)
    return FullPermille;
  double demand = 0;
  for (const auto &[vm, it] : customer)
    demand += it.Demand;
  double evenShare =
      allocation.HoldsShare ? static_cast<double>(Settings.EqualPermille) / count : 0;
  if (demand <= 0)
    return allocation.HoldsShare ? static_cast<uint32_t>(static_cast<double>(FullPermille) / count)
                                 : 0;
  double sharePerDemand = std::min(Settings.DemandHeadroom / limit->second.RatePerS * FullPermille,
                                   (FullPermille - Settings.EqualPermille) / demand);
  const double share = evenShare + sharePerDemand * allocation.Demand;
  const bool isTakingOver = allocation.HoldsShare && now < allocation.NewUntil;
  return static_cast<uint32_t>(isTakingOver ? std::max(share, FullPermille / count) : share);
}

} // namespace briarspar::control
