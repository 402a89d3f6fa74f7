#include "quota/QuotaHolder.h"

#include "core/Hash.h"
#include "quota/HeldReserve.h"
#include "quota/TokenBucket.h"

#include <algorithm>
#include <utility>

namespace briarspar::quota {

using core::CustomerId;
using core::Duration;
using core::Time;

namespace {

/// Round trip time assumed before the first answer.
constexpr Duration InitialRoundTrip{40};

/// Bounds of the retry hint. The minimum keeps waiting threads from spinning.
constexpr Duration MinHint{2};
constexpr Duration MaxHint{20};

/// Maximum of waiting requests per customer while tokens are not scarce.
constexpr int64_t MaxWaiting = 256;
/// Waiting requests always allowed per customer while tokens are scarce.
constexpr int64_t MinWaiting = 2;

/// Time for which an answer that a customer has no limit is cached.
constexpr Duration UnknownMemory{1000};

constexpr uint64_t ShardSeed = 1;
constexpr uint64_t GroupSeed = 2;

/// Updates a smoothed rate per millisecond, in micro-tokens, with `count` events in `span`.
int64_t smoothed(int64_t perMs, int64_t count, Duration span, Duration window) {
  return (perMs * window.Ms + count * MicroTokens) / (window.Ms + span.Ms);
}

} // namespace

/// One grant, from its request until its uses are acknowledged.
struct QuotaHolder::HeldGrant {
  core::Term Epoch;
  uint64_t Sequence = 0;
  Time SentAt;
  bool Pending = true; ///< No answer yet.
  bool Closed = false; ///< No more tokens are spent from it.
  int64_t Wanted = 0;
  int64_t Tokens = 0;
  Time From;
  Time Until;
  int64_t Used = 0;
  int64_t SeenUsed = 0; ///< Value of Used at the last tick.
  Time LastUse;

  uint64_t ReportedIn = 0; ///< Sequence of the request with the last report; 0: none.
  Time ReportedAt;
  int64_t ReportedUsed = 0;
  bool ReportedClosed = false;
  int64_t AckedUsed = 0;
  bool AckedClosed = false;

  int64_t unused(Time now) const { return Pending || Closed || now >= Until ? 0 : Tokens - Used; }
  bool isAcked() const { return AckedUsed == Used && AckedClosed == Closed; }
  bool needsReport(Time now, Duration timeout) const {
    if (Pending || isAcked())
      return false;
    bool changed = Used != ReportedUsed || Closed != ReportedClosed;
    return changed || now - ReportedAt >= timeout;
  }
};

struct QuotaHolder::Customer {
  std::vector<HeldGrant> Grants; ///< Oldest first.
  int64_t Waiting = 0;
  int64_t Arrivals = 0;     ///< Arrivals since the last tick.
  int64_t DemandPerMs = 0;  ///< Smoothed arrivals, in micro-tokens.
  int64_t Received = 0;     ///< Tokens received since the last tick.
  int64_t GrantedPerMs = 0; ///< Smoothed tokens received, in micro-tokens.
  Time LastActive;
  Time LastReport;
  Time RetryAt;      ///< The owner expects no free token before this time.
  Time UnknownUntil; ///< Until then the customer is assumed to have no limit.
  bool Scarce = false;
  HeldReserve Reserve;
  int64_t LongTermPerMs = 0; ///< Arrivals smoothed over ReserveWindow, in micro-tokens.

  bool admit(Time now) {
    for (HeldGrant &grant : Grants) {
      if (grant.unused(now) <= 0 || now < grant.From)
        continue;
      ++grant.Used;
      grant.LastUse = std::max(grant.LastUse, now);
      return true;
    }
    if (!Reserve.take(now))
      return false;
    ++Received;
    return true;
  }
  int64_t unused(Time now) const {
    int64_t n = 0;
    for (const HeldGrant &grant : Grants)
      n += grant.unused(now);
    return n;
  }
};

struct QuotaHolder::Shard {
  mutable std::mutex Mutex;
  std::unordered_map<CustomerId, Customer> Customers;
};

struct QuotaHolder::Group {
  uint64_t Sequence = 0;
  Time LastSent;
  Time LastTick;
  Duration RoundTrip = InitialRoundTrip;
  std::deque<std::pair<uint64_t, Time>> Sent; ///< Unanswered requests, oldest first. Bounded.

  /// Time after which a request counts as unanswered.
  Duration timeout() const { return RoundTrip * 2 + Duration{50}; }

  /// Removes an unanswered request, updates the round trip time and returns the send time.
  std::optional<Time> answered(uint64_t sequence, Time now) {
    auto it = std::find_if(Sent.begin(), Sent.end(),
                           [=](const auto &entry) { return entry.first == sequence; });
    if (it == Sent.end())
      return std::nullopt;
    Time sentAt = it->second;
    Sent.erase(it);
    Duration sample = now - sentAt;
    // Rises quickly and falls slowly, so that jitter does not cause timeouts.
    RoundTrip = sample > RoundTrip ? (RoundTrip + sample) / 2 : (RoundTrip * 7 + sample) / 8;
    return sentAt;
  }
};

QuotaHolder::QuotaHolder(const QuotaHolderSettings &settings, const core::VmId &vm,
                         core::Incarnation inc)
    : Settings(settings), Vm(vm), Inc(inc) {
  for (auto &shard : Shards)
    shard = std::make_unique<Shard>();
  for (uint32_t n = 0; n < std::max(1U, Settings.Groups); ++n)
    Groups.push_back(std::make_unique<Group>());
}

QuotaHolder::~QuotaHolder() = default;

QuotaHolder::Shard &QuotaHolder::shardOf(const CustomerId &customer) const {
  return *Shards[core::hash64(customer.Value, ShardSeed) % ShardCount];
}

uint32_t QuotaHolder::groupOf(const CustomerId &customer) const {
  if (Groups.size() == 1)
    return 0;
  return static_cast<uint32_t>(core::hash64(customer.Value, GroupSeed) % Groups.size());
}

Admission QuotaHolder::tryAdmit(const CustomerId &customer, Time now) {
  Shard &shard = shardOf(customer);
  std::lock_guard lock(shard.Mutex);
  Customer &state = shard.Customers[customer];
  ++state.Arrivals;
  state.LastActive = now;
  if (state.admit(now))
    return {Admission::Admitted, {}};
  if (now < state.UnknownUntil || !mayWait(state))
    return {Admission::Refused, std::max(Settings.MaxWait, state.RetryAt - now)};
  ++state.Waiting;
  return wait(state, now);
}

Admission QuotaHolder::retryAdmit(const CustomerId &customer, Time now, Time arrived) {
  Shard &shard = shardOf(customer);
  std::lock_guard lock(shard.Mutex);
  Customer &state = shard.Customers[customer];
  state.LastActive = now;
  bool admitted = state.admit(now);
  if (!admitted && now - arrived < Settings.MaxWait && now >= state.UnknownUntil)
    return wait(state, now);
  state.Waiting = std::max<int64_t>(0, state.Waiting - 1);
  if (admitted)
    return {Admission::Admitted, {}};
  return {Admission::Refused, std::max(Settings.MaxWait, state.RetryAt - now)};
}

void QuotaHolder::cancelWait(const CustomerId &customer) {
  Shard &shard = shardOf(customer);
  std::lock_guard lock(shard.Mutex);
  auto it = shard.Customers.find(customer);
  if (it != shard.Customers.end())
    it->second.Waiting = std::max<int64_t>(0, it->second.Waiting - 1);
}

Admission QuotaHolder::wait(const Customer &customer, Time now) const {
  Duration hint = MaxHint;
  for (const HeldGrant &grant : customer.Grants) {
    if (grant.unused(now) > 0)
      hint = std::min(hint, grant.From - now);
  }
  return {Admission::Wait, std::max(hint, MinHint)};
}

bool QuotaHolder::mayWait(const Customer &customer) const {
  if (!customer.Scarce)
    return customer.Waiting < MaxWaiting;
  // Requests beyond the tokens expected within MaxWait would only block threads until they are
  // refused.
  int64_t expectedTokens = customer.GrantedPerMs * Settings.MaxWait.Ms / MicroTokens;
  return customer.Waiting < std::max(MinWaiting, expectedTokens);
}

std::vector<GrantRequest> QuotaHolder::tick(Time now) {
  std::vector<GrantRequest> requests;
  for (uint32_t n = 0; n < Groups.size(); ++n)
    tickGroup(n, now, requests);
  return requests;
}

void QuotaHolder::tickGroup(uint32_t number, Time now, std::vector<GrantRequest> &out) {
  Group &group = *Groups[number];
  bool urgent = false;
  for (auto &shard : Shards) {
    std::lock_guard lock(shard->Mutex);
    for (auto it = shard->Customers.begin(); it != shard->Customers.end();) {
      Customer &customer = it->second;
      if (groupOf(it->first) != number) {
        ++it;
        continue;
      }
      refresh(customer, group, now);
      urgent = urgent || isUrgent(customer, group, now);
      bool forget = customer.Grants.empty() && now - customer.LastActive > Settings.IdleTimeout;
      it = forget ? shard->Customers.erase(it) : std::next(it);
    }
  }
  group.LastTick = now;
  if (!urgent || now - group.LastSent < Settings.RequestInterval)
    return;

  GrantRequest request;
  request.Vm = Vm;
  request.Inc = Inc;
  request.Group = number;
  request.Sequence = ++group.Sequence;
  for (auto &shard : Shards) {
    std::lock_guard lock(shard->Mutex);
    for (auto &[id, customer] : shard->Customers) {
      if (groupOf(id) != number)
        continue;
      CustomerDemand demand;
      demand.Customer = id;
      fill(customer, group, now, demand);
      bool hasContent = demand.Wanted > 0 || !demand.Reports.empty();
      if (customer.Reserve.shouldPiggybackReport(now, hasContent))
        demand.Reserve = customer.Reserve.report(request.Sequence, customer.LongTermPerMs, now);
      if (hasContent || demand.Reserve)
        request.Customers.push_back(std::move(demand));
    }
  }
  if (request.Customers.empty())
    return;
  constexpr size_t maxSent = 64;
  group.LastSent = now;
  group.Sent.emplace_back(request.Sequence, now);
  if (group.Sent.size() > maxSent)
    group.Sent.pop_front();
  out.push_back(std::move(request));
}

void QuotaHolder::refresh(Customer &customer, const Group &group, Time now) const {
  Duration span = now - group.LastTick;
  customer.DemandPerMs =
      smoothed(customer.DemandPerMs, customer.Arrivals, span, Settings.DemandWindow);
  customer.GrantedPerMs =
      smoothed(customer.GrantedPerMs, customer.Received, span, Settings.DemandWindow);
  customer.LongTermPerMs =
      smoothed(customer.LongTermPerMs, customer.Arrivals, span, Settings.ReserveWindow);
  if (now - customer.LastActive > Settings.ReserveWindow)
    customer.LongTermPerMs = 0;
  customer.Arrivals = 0;
  customer.Received = 0;
  // Requests that ended without cancelWait() must not count as waiting forever.
  if (now - customer.LastActive > Settings.MaxWait * 2)
    customer.Waiting = 0;
  for (HeldGrant &grant : customer.Grants) {
    // A thread may have been suspended between reading the clock and spending the token.
    if (grant.Used != grant.SeenUsed)
      grant.LastUse = std::max(grant.LastUse, group.LastTick);
    grant.SeenUsed = grant.Used;
  }
  customer.Reserve.dropExpired(now);
  closeGrants(customer, group, now);
  auto &grants = customer.Grants;
  auto isOver = [now](const HeldGrant &grant) {
    bool spent = grant.Closed || grant.Used == grant.Tokens;
    return !grant.Pending && ((spent && grant.isAcked()) || now >= grant.Until);
  };
  grants.erase(std::remove_if(grants.begin(), grants.end(), isOver), grants.end());
}

void QuotaHolder::closeGrants(Customer &customer, const Group &group, Time now) const {
  int64_t needed = customer.Waiting + expected(customer, group.RoundTrip + Settings.RefillAhead +
                                                             Settings.RefillAhead);
  int64_t excess = customer.unused(now) - needed;
  // Unused tokens must be returned before the owner counts them as used at their expiry.
  Duration lead = group.RoundTrip + Settings.RequestInterval * 2;
  for (HeldGrant &grant : customer.Grants) {
    if (grant.Pending && now - grant.SentAt >= group.timeout()) {
      // The owner may have granted tokens. The report tells it that none was or will be used.
      grant.Pending = false;
      grant.Closed = true;
      grant.Until = grant.SentAt + UnknownMemory;
      continue;
    }
    int64_t unused = grant.unused(now);
    bool notNeeded = customer.Scarce && unused <= excess && now - grant.SentAt > group.timeout();
    if (unused == 0 || (now + lead < grant.Until && !notNeeded))
      continue;
    grant.Closed = true;
    excess -= unused;
  }
}

int64_t QuotaHolder::expected(const Customer &customer, Duration span) const {
  return (customer.DemandPerMs * span.Ms + MicroTokens / 2) / MicroTokens;
}

int64_t QuotaHolder::wanted(const Customer &customer, const Group &group, Time now,
                            bool joining) const {
  // 1.5 times the mean demand of a round trip covers the variation of arrivals.
  Duration ahead = group.RoundTrip + Settings.RequestInterval * 2;
  int64_t have = customer.unused(now);
  for (const HeldGrant &grant : customer.Grants)
    have += grant.Pending ? grant.Wanted : 0;
  int64_t low = customer.Waiting + expected(customer, ahead + ahead / 2);
  int64_t high = customer.Waiting + expected(customer, ahead + ahead / 2 + Settings.RefillAhead);
  if (customer.Scarce)
    high = low;
  // A message that is sent anyway also requests tokens for customers that would need another
  // message soon.
  int64_t limit = joining ? (low + high) / 2 : low;
  return limit <= have || now < customer.UnknownUntil ? 0 : high - have;
}

bool QuotaHolder::isUrgent(const Customer &customer, const Group &group, Time now) const {
  if (customer.Reserve.isReportUrgent(now))
    return true;
  if (now >= customer.RetryAt && wanted(customer, group, now, false) > 0)
    return true;
  Duration interval = customer.Scarce ? Settings.ScarceInterval : Settings.ReportInterval;
  if (now - customer.LastReport < interval)
    return false;
  return std::any_of(customer.Grants.begin(), customer.Grants.end(),
                     [&](const HeldGrant &g) { return g.needsReport(now, group.timeout()); });
}

void QuotaHolder::fill(Customer &customer, Group &group, Time now, CustomerDemand &demand) const {
  for (HeldGrant &grant : customer.Grants) {
    if (!grant.needsReport(now, group.timeout()))
      continue;
    // The recorded time of a use since refresh() may be earlier than the use itself.
    if (grant.Used != grant.SeenUsed)
      grant.LastUse = std::max(grant.LastUse, now);
    grant.SeenUsed = grant.Used;
    grant.ReportedIn = group.Sequence;
    grant.ReportedAt = now;
    grant.ReportedUsed = grant.Used;
    grant.ReportedClosed = grant.Closed;
    Duration age = grant.Used > 0 ? now - grant.LastUse : Duration{0};
    demand.Reports.push_back(
        {grant.Epoch, grant.Sequence, grant.Used, std::max(age, Duration{0}), grant.Closed});
    customer.LastReport = now;
  }
  demand.Wanted = wanted(customer, group, now, true);
  if (demand.Wanted == 0)
    return;
  HeldGrant grant;
  grant.Sequence = group.Sequence;
  grant.SentAt = now;
  grant.Wanted = demand.Wanted;
  customer.Grants.push_back(grant);
}

void QuotaHolder::receive(const GrantAnswer &answer, Time now) {
  bool isAddressedHere = answer.Vm == Vm && answer.Inc == Inc && answer.Group < Groups.size();
  if (!isAddressedHere || answer.Result != GrantResult::Ok)
    return;
  auto sentAt = Groups[answer.Group]->answered(answer.Sequence, now);
  if (!sentAt)
    return;
  for (const CustomerGrant &grant : answer.Customers)
    receive(grant, answer, *sentAt, now);
}

void QuotaHolder::receive(const CustomerGrant &grant, const GrantAnswer &answer, Time sentAt,
                          Time now) {
  Shard &shard = shardOf(grant.Customer);
  std::lock_guard lock(shard.Mutex);
  auto it = shard.Customers.find(grant.Customer);
  if (it == shard.Customers.end())
    return;
  Customer &customer = it->second;
  customer.Reserve.receive(answer, grant, sentAt, now);
  customer.Scarce = grant.Scarce;
  customer.RetryAt = now + grant.RetryIn;
  customer.UnknownUntil = grant.Known ? now : now + UnknownMemory;
  for (HeldGrant &held : customer.Grants) {
    if (held.ReportedIn == answer.Sequence) {
      held.AckedUsed = held.ReportedUsed;
      held.AckedClosed = held.ReportedClosed;
    }
    if (held.Sequence != answer.Sequence || !held.Pending)
      continue;
    held.Pending = false;
    held.Epoch = answer.Epoch;
    held.Tokens = grant.Tokens;
    held.Until = sentAt + core::shortenForClockDrift(grant.Length);
    // Both clocks read whole milliseconds, hence one more.
    if (grant.Delay > Duration{0})
      held.From = now + core::lengthenForClockDrift(grant.Delay) + Duration{1};
    customer.Received += grant.Tokens;
  }
}

int64_t QuotaHolder::usable(const CustomerId &customer, Time now) const {
  Shard &shard = shardOf(customer);
  std::lock_guard lock(shard.Mutex);
  auto it = shard.Customers.find(customer);
  return it == shard.Customers.end() ? 0 : it->second.unused(now);
}

} // namespace briarspar::quota
