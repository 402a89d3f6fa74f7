#include "link/RateHolders.h"

#include "core/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace briarspar::link {

namespace {

/// Minimum bucket size of a holder, in requests. A bucket of one or two requests refuses callers
/// within their rate whenever a few requests arrive at the same moment.
constexpr double MinBucketRequests = 4;

/// Bound of the platform on a window: ExcessRatio above the rate and the burst, plus SlackRequests.
constexpr double WindowS = 5;
constexpr double ExcessRatio = 0.1;
constexpr double SlackRequests = 20;

/// Safety margin below the bound, in requests.
constexpr double MarginRequests = 5;

} // namespace

double burstHeadroom(const CustomerLimit &limit) {
  return (ExcessRatio - ReservePermille / 1000.0) * WindowS * limit.RatePerS +
         (1 + ExcessRatio) * limit.Burst + SlackRequests - MarginRequests;
}

double sharedBucketDepth(const CustomerLimit &limit) {
  return limit.Burst + SlackRequests - MarginRequests;
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
  double headroomPerVm =
      burstHeadroom(limit) / static_cast<double>(std::max<size_t>(1, Entries.size()));
  auto isLargeEnough = [&](size_t holders) {
    return std::max(limit.Burst / static_cast<double>(holders), headroomPerVm) >= MinBucketRequests;
  };
  return isLargeEnough(Entries.size()) ? PerVm
         : isLargeEnough(Domains)      ? Domain
         : isLargeEnough(Regions)      ? Region
                                       : All;
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
                                                   const EntryLocation &location) const {
  std::vector<core::VmId> out;
  Scope group = scope(limit);
  if (group == PerVm)
    return out;
  for (const EntryLocation &it : Entries)
    if (group == All ||
        (group == Region ? it.Region == location.Region : it.Domain == location.Domain))
      out.push_back(it.Vm);
  const uint64_t seed = core::hash64(customer);
  std::vector<std::pair<uint64_t, core::VmId>> ranked;
  ranked.reserve(out.size());
  for (core::VmId &it : out) {
    const uint64_t rank = core::hash64(it.Value, seed);
    ranked.emplace_back(rank, std::move(it));
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto &a, const auto &b) { return a.first > b.first; });
  for (size_t n = 0; n < out.size(); ++n)
    out[n] = std::move(ranked[n].second);
  return out;
}

bool RateHolders::contains(const core::VmId &vm) const {
  return std::any_of(Entries.begin(), Entries.end(),
                     [&](const EntryLocation &it) { return it.Vm == vm; });
}

} // namespace briarspar::link
