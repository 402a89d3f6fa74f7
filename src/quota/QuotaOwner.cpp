#include "quota/QuotaOwner.h"

#include <algorithm>

namespace briarspar::quota {

using core::CustomerId;
using core::Duration;
using core::Time;

namespace {

/// Maximum limits, so that products of rates, bursts and times fit into 64 bits.
constexpr int64_t MaxMilliPerSecond = 10'000'000'000;
constexpr int64_t MaxBurst = 100'000'000;

/// Minimum retry time for a VM that gets no token. Also used while all tokens are granted and a
/// report may free one at any time.
constexpr Duration MinRetry{20};

constexpr Duration ForgetInterval = Duration::seconds(1);

Rate clamped(Rate rate) { return {std::clamp<int64_t>(rate.MilliPerSecond, 0, MaxMilliPerSecond)}; }

Burst clamped(Burst burst) { return {std::clamp<int64_t>(burst.Requests, 0, MaxBurst)}; }

/// Returns the latest possible time of a use of this age on the owner's clock. Both clocks read
/// whole milliseconds, so the age may be one too large and the arrival one too small.
Time latestUse(Duration age, Time arrival) {
  Duration minAge{std::max<int64_t>(0, age.Ms - 1)};
  return arrival + Duration{1} - core::shortenForClockDrift(minAge);
}

} // namespace

QuotaOwner::QuotaOwner(const QuotaOwnerSettings &settings, LeaderLeaseCheck holdsLeaderLease)
    : Settings(settings), HoldsLeaderLease(std::move(holdsLeaderLease)) {}

GrantAnswer QuotaOwner::request(const GrantRequest &request, Time now) {
  GrantAnswer answer;
  answer.Vm = request.Vm;
  answer.Inc = request.Inc;
  answer.Group = request.Group;
  answer.Epoch = Epoch;
  answer.Sequence = request.Sequence;
  answer.Result = GrantResult::NotOwner;
  if (Epoch == core::Term() || !HoldsLeaderLease(now))
    return answer;
  answer.Result = GrantResult::Stale;
  if (!accept(request, now))
    return answer;
  answer.Result = GrantResult::Ok;
  forgetIdle(now);

  VmKey vm{request.Vm, request.Inc};
  for (const CustomerDemand &demand : request.Customers) {
    answer.Customers.push_back(serve(demand, vm, request.Sequence, now));
    if (answer.Customers.back().NextReserve) {
      answer.ReserveDelay = Settings.Reserves.Delay;
      answer.ReserveLength = Settings.Reserves.Delay + Settings.Reserves.Length;
    }
  }
  return answer;
}

CustomerGrant QuotaOwner::serve(const CustomerDemand &demand, const VmKey &vm, uint64_t sequence,
                                Time now) {
  auto it = Customers.find(demand.Customer);
  if (it == Customers.end()) {
    CustomerGrant unknown;
    unknown.Customer = demand.Customer;
    unknown.Known = false;
    return unknown;
  }
  Customer &customer = it->second;
  if (customer.IsPartial)
    applyLimit(customer, now);
  expireGrants(customer, now);
  for (const GrantReport &report : demand.Reports)
    settle(customer, {vm, report.Sequence}, report, now);
  if (demand.Reserve)
    takeReserveReport(customer, vm, *demand.Reserve, now);
  CustomerGrant result = grant(customer, demand, {vm, sequence}, now);
  if (demand.Reserve)
    result.NextReserve = issueReserve(customer, vm, sequence, demand.Reserve->Demand, now);
  return result;
}

bool QuotaOwner::accept(const GrantRequest &request, Time now) {
  VmRecord &record = Vms[request.Vm];
  if (request.Inc < record.Inc)
    return false;
  if (request.Inc > record.Inc) {
    record.Inc = request.Inc;
    record.Sequence = 0;
  }
  if (request.Sequence <= record.Sequence)
    return false;
  record.Sequence = request.Sequence;
  record.LastRequestAt = now;
  return true;
}

std::optional<Reserve> QuotaOwner::issueReserve(Customer &customer, const VmKey &vm,
                                                uint64_t sequence, int64_t demand, Time now) const {
  ReserveLedger::Request request{sequence, demand, customer.Outstanding,
                                 reservableOf(customer.LimitRate),
                                 reservableOf(customer.LimitBurst)};
  if (customer.IsPartial) {
    // The rest may still belong to reserves issued by earlier owners.
    request.MaxRate.MilliPerSecond =
        std::min(request.MaxRate.MilliPerSecond, customer.ReturnedRate.MilliPerSecond);
    request.MaxDepth.Requests =
        std::min(request.MaxDepth.Requests, customer.ReturnedDepth.Requests);
  }
  return customer.Ledger.issue(Settings.Reserves, vm, request, customer.Bucket, now);
}

void QuotaOwner::takeReserveReport(Customer &customer, const VmKey &vm, const ReserveReport &report,
                                   Time now) {
  if (report.Epoch == Epoch)
    return customer.Ledger.acknowledge(vm, report.Sequence, customer.Bucket, now);
  bool isReturned = report.ReturnTo == Epoch && report.Epoch != core::Term();
  if (!isReturned || !customer.IsPartial || !customer.ReturnedBy.insert(vm).second)
    return;
  customer.ReturnedRate.MilliPerSecond += report.MilliPerSecond;
  customer.ReturnedDepth.Requests += report.Depth;
  applyLimit(customer, now);
  customer.Bucket.add(std::min(report.Tokens, report.Depth), now);
}

void QuotaOwner::applyLimit(Customer &customer, Time now) {
  customer.IsPartial = customer.IsPartial && now < ReservesEnd;
  Rate rate = customer.LimitRate;
  Burst burst = customer.LimitBurst;
  if (customer.IsPartial) {
    // The part that is never reserved becomes available when the grants of earlier owners have
    // expired.
    bool isAvailable = now >= EmptyUntil;
    int64_t unreservedRate = rate.MilliPerSecond - reservableOf(rate).MilliPerSecond;
    int64_t unreservedBurst = burst.Requests - reservableOf(burst).Requests;
    int64_t partRate = customer.ReturnedRate.MilliPerSecond + (isAvailable ? unreservedRate : 0);
    int64_t partBurst = customer.ReturnedDepth.Requests + (isAvailable ? unreservedBurst : 0);
    rate.MilliPerSecond = std::min(rate.MilliPerSecond, partRate);
    burst.Requests = std::min(burst.Requests, partBurst);
  }
  customer.Bucket.setLimit(rate, burst, now);
}

void QuotaOwner::settle(Customer &customer, const GrantKey &key, const GrantReport &report,
                        Time now) {
  if (report.Epoch != Epoch && report.Epoch != core::Term())
    return;
  auto byKey = customer.ByKey.find(key);
  if (byKey == customer.ByKey.end())
    return;
  auto it = customer.Grants.find(byKey->second);
  Grant &grant = it->second;
  int64_t used = std::clamp(report.Used, grant.Used, grant.Tokens);
  if (used > grant.Used) {
    customer.Bucket.deduct(used - grant.Used, latestUse(report.LastUse, now));
    customer.Outstanding -= used - grant.Used;
    grant.Used = used;
  }
  if (!report.Closed && grant.Used < grant.Tokens)
    return;
  // The remaining tokens of a closed grant were not used, so they stay in the bucket.
  customer.Outstanding -= grant.Tokens - grant.Used;
  customer.Grants.erase(it);
  customer.ByKey.erase(byKey);
}

void QuotaOwner::expireGrants(Customer &customer, Time now) {
  while (!customer.Grants.empty() && customer.Grants.begin()->second.Expiry <= now) {
    const Grant &grant = customer.Grants.begin()->second;
    int64_t unreported = grant.Tokens - grant.Used;
    customer.Bucket.deduct(unreported, grant.Expiry);
    customer.Outstanding -= unreported;
    customer.ByKey.erase(grant.Key);
    customer.Grants.erase(customer.Grants.begin());
  }
}

CustomerGrant QuotaOwner::grant(Customer &customer, const CustomerDemand &demand,
                                const GrantKey &key, Time now) {
  CustomerGrant result;
  result.Customer = demand.Customer;
  result.Length = Settings.GrantLength;
  int64_t held = customer.Ledger.charge(customer.Bucket, now) + customer.Outstanding * MicroTokens;
  const TokenBucket &bucket = customer.Bucket;
  // The bucket needs room for reserves that start to be used.
  int64_t room = bucket.burst().Requests - customer.Ledger.depth() - customer.Outstanding;
  auto grantable = [&](Time at) {
    return std::max<int64_t>(0, std::min((bucket.levelAt(at) - held) / MicroTokens, room));
  };
  int64_t available = grantable(now);
  int64_t soon = available;
  // Tokens that accrue while reserves are in use may belong to these.
  if (customer.Ledger.isUnusedUntil(now + Settings.MaxDelay))
    soon = std::max(available, grantable(now + Settings.MaxDelay));
  int64_t wanted = std::clamp<int64_t>(demand.Wanted, 0, customer.LimitBurst.Requests);
  setDemand(customer, key.first, wanted, 0, now);

  int64_t share = wanted;
  if (customer.TotalUnmet > soon)
    share = std::min({wanted, soon, fairShare(customer, key.first, soon)});
  result.Tokens = std::min(share, available);
  if (result.Tokens == 0 && share > 0) {
    // Granted ahead of time, so that the VM need not request them again when they have accrued.
    result.Tokens = share;
    Time at = *bucket.timeOfLevel(held + share * MicroTokens, now);
    result.Delay = at - now;
  }
  if (result.Tokens > 0) {
    uint64_t issue = NextIssue++;
    Time expiry = now + core::lengthenForClockDrift(Settings.GrantLength);
    customer.Grants.emplace(issue, Grant{key, result.Tokens, 0, expiry});
    customer.ByKey.emplace(key, issue);
    customer.Outstanding += result.Tokens;
    setDemand(customer, key.first, wanted - result.Tokens, result.Tokens, now);
  } else if (wanted > 0) {
    auto at = bucket.timeOfLevel(held + MicroTokens, now);
    // Early enough for the next request to be granted the token ahead of time.
    Duration wait = at ? *at - now - Settings.MaxDelay : MinRetry;
    result.RetryIn = std::clamp(wait, MinRetry, Settings.GrantLength);
  }
  constexpr int64_t ampleShareOfBurst = 4;
  int64_t left = bucket.levelAt(now) - customer.Outstanding * MicroTokens;
  result.Scarce =
      result.Tokens < wanted || left < bucket.burst().Requests * MicroTokens / ampleShareOfBurst;
  return result;
}

void QuotaOwner::expireDemands(Customer &customer, Time now) {
  while (!customer.DemandQueue.empty() &&
         customer.DemandQueue.front().first + Settings.DemandRetention <= now) {
    auto it = customer.Demands.find(customer.DemandQueue.front().second);
    customer.DemandQueue.pop_front();
    if (it == customer.Demands.end() || it->second.At + Settings.DemandRetention > now)
      continue;
    customer.TotalUnmet -= it->second.Unmet;
    customer.UnservedVms.erase({it->second.Served, it->first});
    customer.Demands.erase(it);
  }
}

void QuotaOwner::setDemand(Customer &customer, const VmKey &vm, int64_t unmet, int64_t served,
                           Time now) {
  expireDemands(customer, now);
  Demand &demand = customer.Demands[vm];
  customer.UnservedVms.erase({demand.Served, vm});
  // A VM whose demand was met must not accumulate a claim on later tokens.
  bool joins = demand.Unmet == 0 && unmet > 0 && !customer.UnservedVms.empty();
  if (joins)
    demand.Served = std::max(demand.Served, customer.UnservedVms.begin()->first);
  customer.TotalUnmet += unmet - demand.Unmet;
  demand.Unmet = unmet;
  demand.Served += served;
  demand.At = now;
  if (unmet > 0)
    customer.UnservedVms.emplace(demand.Served, vm);
  customer.DemandQueue.emplace_back(now, vm);
}

int64_t QuotaOwner::fairShare(const Customer &customer, const VmKey &vm, int64_t tokens) const {
  auto it = customer.Demands.find(vm);
  if (it == customer.Demands.end() || customer.UnservedVms.empty())
    return tokens;
  // Maximum lead of a VM over the least served one.
  int64_t lead = 1 + tokens / static_cast<int64_t>(customer.UnservedVms.size());
  return std::max<int64_t>(0, customer.UnservedVms.begin()->first + lead - it->second.Served);
}

void QuotaOwner::becomeOwner(Time previousLeaseEnd, core::Term epoch) {
  const ReserveTimes &times = Settings.Reserves;
  Epoch = epoch;
  EmptyUntil = previousLeaseEnd + core::lengthenForClockDrift(Settings.GrantLength);
  ReservesEnd = previousLeaseEnd + core::lengthenForClockDrift(times.Delay + times.Length);
  for (auto &[id, customer] : Customers)
    customer = startEmpty(customer.LimitRate, customer.LimitBurst, previousLeaseEnd);
}

QuotaOwner::Customer QuotaOwner::startEmpty(Rate rate, Burst burst, Time from) const {
  if (burst.Requests < MinReserveBurst || from >= ReservesEnd)
    return {rate, burst, std::max(from, EmptyUntil)};
  Customer customer(rate, burst, from);
  customer.IsPartial = true;
  customer.Bucket = TokenBucket({0}, {0}, from);
  return customer;
}

void QuotaOwner::setLimit(const CustomerId &customer, Rate rate, Burst burst, Time now) {
  rate = clamped(rate);
  burst = clamped(burst);
  auto it = Customers.find(customer);
  if (it != Customers.end()) {
    expireGrants(it->second, now);
    it->second.LimitRate = rate;
    it->second.LimitBurst = burst;
    return applyLimit(it->second, now);
  }
  Time from = now;
  auto removed = Removed.find(customer);
  if (removed != Removed.end())
    from = std::max(from, removed->second);
  Customers.emplace(customer, startEmpty(rate, burst, from));
}

void QuotaOwner::removeCustomer(const CustomerId &customer, Time now) {
  auto it = Customers.find(customer);
  if (it == Customers.end())
    return;
  Time end = now + core::lengthenForClockDrift(Settings.GrantLength);
  bool mayHaveReserves = it->second.IsPartial || it->second.Ledger.depth() > 0;
  if (mayHaveReserves)
    end = now + core::lengthenForClockDrift(Settings.Reserves.Delay + Settings.Reserves.Length);
  Customers.erase(it);
  Removed[customer] = end;
}

int64_t QuotaOwner::outstanding(const CustomerId &customer) const {
  auto it = Customers.find(customer);
  return it == Customers.end() ? 0 : it->second.Outstanding;
}

void QuotaOwner::forgetIdle(Time now) {
  if (now < NextForget)
    return;
  NextForget = now + ForgetInterval;
  for (auto it = Vms.begin(); it != Vms.end();)
    it = it->second.LastRequestAt + Settings.VmIdleTimeout < now ? Vms.erase(it) : std::next(it);
  for (auto it = Removed.begin(); it != Removed.end();)
    it = it->second < now ? Removed.erase(it) : std::next(it);
}

} // namespace briarspar::quota
