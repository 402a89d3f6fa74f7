#include "quota/ReserveLedger.h"

#include <algorithm>

namespace briarspar::quota {

using core::Duration;
using core::Time;

namespace {

/// Maximum number of unacknowledged reserves of one VM.
constexpr size_t MaxUnacknowledged = 8;

/// A smaller value causes refusals while there is no owner. With a larger one, a new owner that is
/// in contact with few VMs can grant little.
constexpr int64_t ReservablePercent = 85;

/// Maximum of numbers in a message.
constexpr int64_t MaxShare = 1'000'000'000;

/// Returns `part` / `whole` of `amount`. The amount is limited so that the product fits into 64
/// bits.
int64_t shareOf(int64_t amount, int64_t part, int64_t whole) {
  return whole <= 0 ? 0 : std::min(amount, MaxShare) * part / whole;
}

} // namespace

Rate reservableOf(Rate rate) { return {rate.MilliPerSecond / 100 * ReservablePercent}; }

Burst reservableOf(Burst burst) {
  return burst.Requests < MinReserveBurst ? Burst() : Burst{burst.Requests / 2};
}

void ReserveLedger::update(Entry &entry) {
  TotalMilliPerSecond -= entry.MilliPerSecond;
  TotalDepth -= entry.Depth;
  TotalInitialTokens -= entry.InitialTokens;
  entry.MilliPerSecond = 0;
  entry.Depth = 0;
  entry.InitialTokens = 0;
  entry.From = Never;
  for (const Issued &issued : entry.PossiblyHeld) {
    if (issued.MilliPerSecond == 0)
      continue;
    entry.MilliPerSecond = std::max(entry.MilliPerSecond, issued.MilliPerSecond);
    entry.Depth = std::max(entry.Depth, issued.Depth);
    entry.InitialTokens = std::max(entry.InitialTokens, issued.InitialTokens);
    entry.From = std::min(entry.From, issued.From);
    entry.Until = std::max(entry.Until, issued.Until);
  }
  TotalMilliPerSecond += entry.MilliPerSecond;
  TotalDepth += entry.Depth;
  TotalInitialTokens += entry.InitialTokens;
  NextStart = std::min(NextStart, entry.From);
}

void ReserveLedger::setDemand(Entry &entry, int64_t demand) {
  TotalDemand += demand - entry.Demand;
  entry.Demand = demand;
}

std::map<VmKey, ReserveLedger::Entry>::iterator
ReserveLedger::erase(std::map<VmKey, Entry>::iterator it) {
  it->second.PossiblyHeld.clear();
  update(it->second);
  setDemand(it->second, 0);
  return Entries.erase(it);
}

void ReserveLedger::acknowledge(const VmKey &vm, uint64_t sequence, TokenBucket &bucket, Time now) {
  auto it = Entries.find(vm);
  if (it == Entries.end())
    return;
  Entry &entry = it->second;
  if (entry.PossiblyHeld.empty() || entry.PossiblyHeld.front().Sequence >= sequence)
    return;
  // All tokens received from earlier reserves count as used; the VM has dropped the rest.
  bucket.deductMicro(std::max<int64_t>(0, entry.received(now) - entry.Deducted), now);
  entry.Deducted = 0;
  while (!entry.PossiblyHeld.empty() && entry.PossiblyHeld.front().Sequence < sequence)
    entry.PossiblyHeld.pop_front();
  update(entry);
}

std::optional<Reserve> ReserveLedger::issue(const ReserveTimes &times, const VmKey &vm,
                                            const Request &request, const TokenBucket &bucket,
                                            Time now) {
  Entry &entry = Entries[vm];
  if (entry.PossiblyHeld.size() >= MaxUnacknowledged)
    return std::nullopt;
  setDemand(entry, request.Demand);
  int64_t rate = request.MaxRate.MilliPerSecond;
  int64_t depths = request.MaxDepth.Requests;
  int64_t burst = bucket.burst().Requests;
  int64_t freeRate = rate - (TotalMilliPerSecond - entry.MilliPerSecond);
  int64_t freeDepth = std::min(depths, burst - request.Outstanding) - (TotalDepth - entry.Depth);
  int64_t perMs = std::min({shareOf(rate, entry.Demand, TotalDemand), freeRate, MaxShare});
  int64_t depth = std::max<int64_t>(1, shareOf(depths, entry.Demand, TotalDemand));
  depth = std::min({depth, freeDepth, MaxShare});
  if (perMs <= 0 || depth <= 0)
    perMs = depth = 0;
  if (perMs == 0 && entry.MilliPerSecond == 0) {
    if (entry.Demand == 0)
      erase(Entries.find(vm));
    return std::nullopt;
  }
  Duration length = times.Delay + times.Length;
  int64_t start = std::clamp<int64_t>(initialTokensOf(entry, request, bucket, now), 0, depth);
  entry.PossiblyHeld.push_back({request.Sequence, perMs, depth, start, now + times.Delay,
                                now + core::lengthenForClockDrift(length)});
  update(entry);
  return Reserve{perMs, depth, start};
}

int64_t ReserveLedger::initialTokensOf(const Entry &entry, const Request &request,
                                       const TokenBucket &bucket, Time now) const {
  // Prepaid like a grant, so the tokens must be in the bucket now. Half of it is left for grants.
  // While any reserve is in use, no other one gets initial tokens, because the remaining tokens may
  // belong to the one in use.
  if (now >= NextStart)
    return 0;
  int64_t prepayable = bucket.levelAt(now) / MicroTokens - request.Outstanding;
  int64_t others = TotalInitialTokens - entry.InitialTokens;
  return std::min(shareOf(prepayable / 2, entry.Demand, TotalDemand), prepayable / 2 - others);
}

int64_t ReserveLedger::charge(TokenBucket &bucket, Time now) {
  if (now + Lookahead < NextStart)
    return TotalInitialTokens * MicroTokens;
  NextStart = Never;
  int64_t held = 0;
  for (auto it = Entries.begin(); it != Entries.end();) {
    Entry &entry = it->second;
    NextStart = std::min(NextStart, entry.From);
    bool isOver = entry.From != Never && now >= entry.Until;
    int64_t received = entry.received(now);
    int64_t unused = isOver ? 0 : std::min(received, entry.Depth * MicroTokens);
    int64_t used = received - unused;
    if (used > entry.Deducted) {
      bucket.deductMicro(used - entry.Deducted, now);
      entry.Deducted = used;
    }
    held += now < entry.From ? entry.InitialTokens * MicroTokens : unused;
    it = isOver ? erase(it) : std::next(it);
  }
  return held;
}

} // namespace briarspar::quota
