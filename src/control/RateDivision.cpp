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
                                                  size_t entries, core::Time now) {
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
    uint32_t free = others >= Whole ? 0 : Whole - others;
    uint32_t share =
        settled ? std::min(free, wanted(use.Customer, customer, mine, entries)) : use.SharePermille;
    mine.Granted = share;
    mine.Outstanding = std::max(before, share);
    mine.Until = now + Settings.Validity + Settings.Margin;
    shares.push_back({use.Customer, share});
  }
  return shares;
}

void RateDivision::setRates(const catalog::Shelf<catalog::Customer> &customers) {
  RatePerS.clear();
  for (const auto &[name, held] : customers)
    if (held.Value && held.Value->RatePerS > 0)
      RatePerS[name] = held.Value->RatePerS;
}

uint32_t RateDivision::wanted(const std::string &name, const Customer &customer,
                              const Holding &holding, size_t entries) const {
  auto rate = RatePerS.find(name);
  if (rate == RatePerS.end())
    return 0;
  double demand = 0;
  for (const auto &[vm, it] : customer)
    demand += it.Demand;
  double equal = static_cast<double>(Settings.EqualPermille) /
                 static_cast<double>(std::max<size_t>(1, entries));
  if (demand <= 0)
    return static_cast<uint32_t>(static_cast<double>(Whole) /
                                 static_cast<double>(std::max<size_t>(1, entries)));
  double room = std::min(Settings.DemandRoom / rate->second * Whole,
                         (Whole - Settings.EqualPermille) / demand);
  return static_cast<uint32_t>(equal + room * holding.Demand);
}

} // namespace briarspar::control
