#include "control/RateAllocator.h"

#include <algorithm>

namespace briarspar::control {

namespace {

constexpr uint32_t FullPermille = 1000;

} // namespace

RateAllocator::RateAllocator(const RateAllocatorSettings &settings) : Settings(settings) {}

void RateAllocator::becomeLeader(core::Term term, const std::set<core::VmId> &entries,
                                 core::Time now) {
  if (term == Term)
    return;
  Customers.clear();
  Term = term;
  Unconfirmed = entries;
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
  for (const link::CustomerUsage &use : uses) {
    Customer &customer = Customers[use.Customer];
    Allocation &mine = customer[vm];
    uint32_t others = 0;
    for (const auto &[other, holding] : customer)
      if (other != vm && now < holding.Until)
        others += holding.Outstanding;
    // An answer on its way may still raise the share that the report names.
    bool confirmed = mine.Run == run && use.SharePermille == mine.Granted;
    uint32_t before = confirmed || now >= mine.Until
                          ? use.SharePermille
                          : std::max({use.SharePermille, mine.Outstanding});
    mine.Run = run;
    mine.Demand = use.ArrivalsPerS;
    mine.HoldsShare = use.HoldsShare;
    uint32_t free = others >= FullPermille ? 0 : FullPermille - others;
    uint32_t share = settled ? std::min(free, desiredShare(use.Customer, customer, mine, holders))
                             : use.SharePermille;
    mine.Granted = share;
    mine.Outstanding = std::max(before, share);
    mine.Until = now + Settings.Validity + Settings.Margin;
    shares.push_back({use.Customer, share});
  }
  return shares;
}

void RateAllocator::setRates(const catalog::ItemMap<catalog::Customer> &customers) {
  Limits.clear();
  for (const auto &[name, held] : customers)
    if (held.Value && held.Value->RatePerS > 0)
      Limits[name] = {held.Value->RatePerS, held.Value->Burst};
}

uint32_t RateAllocator::desiredShare(const std::string &name, const Customer &customer,
                                     const Allocation &holding,
                                     const link::RateHolders &holders) const {
  auto limit = Limits.find(name);
  if (limit == Limits.end())
    return 0;
  auto count = static_cast<double>(holders.count(limit->second));
  double demand = 0;
  for (const auto &[vm, it] : customer)
    demand += it.Demand;
  double equal = holding.HoldsShare ? static_cast<double>(Settings.EqualPermille) / count : 0;
  if (demand <= 0)
    return holding.HoldsShare ? static_cast<uint32_t>(static_cast<double>(FullPermille) / count)
                              : 0;
  double room = std::min(Settings.DemandHeadroom / limit->second.RatePerS * FullPermille,
                         (FullPermille - Settings.EqualPermille) / demand);
  return static_cast<uint32_t>(equal + room * holding.Demand);
}

} // namespace briarspar::control
