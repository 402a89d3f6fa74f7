#include "link/RateHolders.h"

#include "core/Hash.h"

#include <algorithm>
#include <set>

namespace briarspar::link {

namespace {

/// Requests that the bucket of one holder takes at least: a bucket of one or two refuses callers
/// within the rate whenever a few of them come at the same moment.
constexpr double MinBucketRequests = 4;

/// The platform's bound: in a window, so much more than the rate and the burst allow, and so many
/// requests on top.
constexpr double WindowS = 5;
constexpr double ExcessRatio = 0.1;
constexpr double SlackRequests = 20;

/// A margin to the bound, in requests.
constexpr double MarginRequests = 5;

} // namespace

double burstHeadroom(const CustomerLimit &limit) {
  return (ExcessRatio - ReservePermille / 1000.0) * WindowS * limit.RatePerS +
         (1 + ExcessRatio) * limit.Burst + SlackRequests - MarginRequests;
}

RateHolders::RateHolders(std::vector<EntryLocation> entries) : Entries(std::move(entries)) {
  std::set<core::DomainId> domains;
  std::set<core::RegionId> regions;
  for (const EntryLocation &it : Entries) {
    domains.insert(it.Domain);
    regions.insert(it.Region);
  }
  Domains = domains.size();
  Regions = regions.size();
}

RateHolders::Scope RateHolders::scope(const CustomerLimit &limit) const {
  double ownRoom = burstHeadroom(limit) / static_cast<double>(std::max<size_t>(1, Entries.size()));
  auto fits = [&](size_t holders) {
    return std::max(limit.Burst / static_cast<double>(holders), ownRoom) >= MinBucketRequests;
  };
  return fits(Entries.size()) ? PerVm : fits(Domains) ? Domain : fits(Regions) ? Region : All;
}

size_t RateHolders::count(const CustomerLimit &limit) const {
  switch (scope(limit)) {
  case PerVm:
    return std::max<size_t>(1, Entries.size());
  case Domain:
    return Domains;
  case Region:
    return Regions;
  case All:
    break;
  }
  return 1;
}

std::vector<core::VmId> RateHolders::failoverOrder(const std::string &customer,
                                                   const CustomerLimit &limit,
                                                   const core::VmId &vm) const {
  std::vector<core::VmId> out;
  Scope kind = scope(limit);
  auto own = std::find_if(Entries.begin(), Entries.end(),
                          [&](const EntryLocation &it) { return it.Vm == vm; });
  if (kind == PerVm || own == Entries.end())
    return out;
  for (const EntryLocation &it : Entries)
    if (kind == All || (kind == Region ? it.Region == own->Region : it.Domain == own->Domain))
      out.push_back(it.Vm);
  uint64_t seed = core::hash64(customer);
  std::sort(out.begin(), out.end(), [seed](const core::VmId &a, const core::VmId &b) {
    return core::hash64(a.Value, seed) > core::hash64(b.Value, seed);
  });
  return out;
}

} // namespace briarspar::link
