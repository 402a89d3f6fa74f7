#include "control/RateDivision.h"

#include <algorithm>

namespace briarspar::control {

namespace {

constexpr uint32_t Whole = 1000;

} // namespace

RateDivision::RateDivision(const RateDivisionSettings &settings) : Settings(settings) {}

void RateDivision::becomeLeader(core::Term term, const std::set<core::VmId> &entries,
                                core::Time now) {
  if (term == Term)
    return;
  Customers.clear();
  Term = term;
  Unheard = entries;
  SettledAt = now + Settings.Validity + Settings.Margin;
}

std::vector<link::RateShare> RateDivision::divide(const core::VmId &vm, core::Incarnation run,
                                                  core::Term heardTerm,
                                                  absl::Span<const link::CustomerUse> uses,
                                                  const link::RateHolders &holders,
                                                  core::Time now) {
  std::vector<link::RateShare> shares;
  if (heardTerm == Term)
    Unheard.erase(vm);
  bool settled = isSettled(now);
  for (const link::CustomerUse &use : uses) {
    Customer &customer = Customers[use.Customer];
    Holding &mine = customer[vm];
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
    mine.Holds = use.Holds;
    uint32_t free = others >= Whole ? 0 : Whole - others;
    uint32_t share =
        settled ? std::min(free, wanted(use.Customer, customer, mine, holders)) : use.SharePermille;
    mine.Granted = share;
    mine.Outstanding = std::max(before, share);
    mine.Until = now + Settings.Validity + Settings.Margin;
    shares.push_back({use.Customer, share});
  }
  return shares;
}

void RateDivision::setRates(const catalog::Shelf<catalog::Customer> &customers) {
  Limits.clear();
  for (const auto &[name, held] : customers)
    if (held.Value && held.Value->RatePerS > 0)
      Limits[name] = {held.Value->RatePerS, held.Value->Burst};
}

uint32_t RateDivision::wanted(const std::string &name, const Customer &customer,
                              const Holding &holding, const link::RateHolders &holders) const {
  auto limit = Limits.find(name);
  if (limit == Limits.end())
    return 0;
  auto count = static_cast<double>(holders.count(limit->second));
  double demand = 0;
  for (const auto &[vm, it] : customer)
    demand += it.Demand;
  double equal = holding.Holds ? static_cast<double>(Settings.EqualPermille) / count : 0;
  if (demand <= 0)
    return holding.Holds ? static_cast<uint32_t>(static_cast<double>(Whole) / count) : 0;
  double room = std::min(Settings.DemandRoom / limit->second.RatePerS * Whole,
                         (Whole - Settings.EqualPermille) / demand);
  return static_cast<uint32_t>(equal + room * holding.Demand);
}

} // namespace briarspar::control
