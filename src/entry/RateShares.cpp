#include "entry/RateShares.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

namespace {

/// Assumed number of entry VMs until the actual number is known.
constexpr double AssumedEntryVms = 64;

/// Upper bound for the minimum bucket depth, which applies where the platform's limit per window
/// leaves room for it on all VMs.
constexpr double MaxGuaranteedDepth = 3;

/// Arrivals per second below which a customer counts as idle.
constexpr double IdleRate = 0.05;

} // namespace

RateShares::RateShares(const RateSharesSettings &settings)
    : Settings(settings), ReserveShare(settings.ReservePermille / 1000.0 / AssumedEntryVms),
      ReserveVms(AssumedEntryVms) {}

void RateShares::setLimits(const catalog::ItemMap<catalog::Customer> &customers, core::Time now) {
  std::map<std::string, Bucket> old;
  old.swap(Buckets);
  for (const auto &[name, held] : customers) {
    if (!held.Value || held.Value->RatePerS <= 0)
      continue;
    Bucket &bucket = Buckets[name];
    auto known = old.find(name);
    if (known != old.end()) {
      bucket = known->second;
      fill(bucket, now);
    } else {
      bucket.FilledAt = now;
      bucket.ArrivalsAt = now;
    }
    bucket.RatePerS = held.Value->RatePerS;
    bucket.Burst = std::max(held.Value->Burst, 1.0);
    fill(bucket, now);
  }
}

void RateShares::setShares(absl::Span<const link::RateShare> shares, size_t entries,
                           core::Time sentAt, core::Time now) {
  // VMs that are starting, stopping or cut off are not live but use the reserve.
  for (const link::RateShare &it : shares)
    if (const size_t vms = it.Vms != 0 ? it.Vms : entries; vms != 0)
      ReserveVms = static_cast<double>(vms);
  ReserveShare = Settings.ReservePermille / 1000.0 / ReserveVms;
  for (const link::RateShare &it : shares) {
    auto bucket = Buckets.find(it.Customer);
    if (bucket == Buckets.end() || sentAt <= bucket->second.GivenUpAt)
      continue;
    fill(bucket->second, now);
    bucket->second.SharePermille = it.Permille;
    bucket->second.ShareUntil = sentAt + Settings.Validity;
    fill(bucket->second, now);
  }
}

bool RateShares::setHeldByOthers(std::set<std::string> customers, core::Time now) {
  const bool isChanged = customers != HeldByOthers;
  for (const std::string &name : customers) {
    auto it = Buckets.find(name);
    if (it == Buckets.end() || HeldByOthers.count(name) != 0)
      continue;
    Bucket &bucket = it->second;
    fill(bucket, now);
    bucket.SharePermille = 0;
    bucket.ShareUntil = {};
    bucket.GivenUpAt = now;
    bucket.ArrivalsPerS = 0;
    fill(bucket, now);
  }
  HeldByOthers = std::move(customers);
  return isChanged;
}

bool RateShares::spend(const std::string &customer, core::Time now) {
  auto it = Buckets.find(customer);
  if (it == Buckets.end())
    return true;
  Bucket &bucket = it->second;
  countArrivals(bucket, 1, now);
  fill(bucket, now);
  if (bucket.Tokens < 1)
    return false;
  bucket.Tokens -= 1;
  return true;
}

void RateShares::refund(const std::string &customer, core::Time now) {
  auto it = Buckets.find(customer);
  if (it == Buckets.end())
    return;
  it->second.Tokens += 1;
  fill(it->second, now);
}

std::vector<link::CustomerUsage> RateShares::uses(core::Time now) {
  std::vector<link::CustomerUsage> out;
  for (auto &[name, bucket] : Buckets) {
    countArrivals(bucket, 0, now);
    uint32_t held = now < bucket.ShareUntil ? bucket.SharePermille : 0;
    bool holds = HeldByOthers.count(name) == 0;
    // The leader must learn that a share has been given up, or it waits until that share expires.
    const bool wasGivenUp = bucket.GivenUpAt.Ms != 0 && now - bucket.GivenUpAt < Settings.Validity;
    if (bucket.ArrivalsPerS > IdleRate || held != 0 || holds || wasGivenUp)
      out.push_back({name, bucket.ArrivalsPerS, held, holds});
  }
  return out;
}

double RateShares::share(const Bucket &bucket, core::Time now) const {
  double held = now < bucket.ShareUntil ? bucket.SharePermille / 1000.0 : 0;
  return held + ReserveShare;
}

void RateShares::fill(Bucket &bucket, core::Time now) const {
  double fraction = share(bucket, now);
  double seconds = static_cast<double>((now - bucket.FilledAt).Ms) / 1000;
  const link::CustomerLimit limit{bucket.RatePerS, bucket.Burst};
  double room = link::burstHeadroom(limit) / ReserveVms;
  // With less than one request of room, VMs without a share can admit nothing, so the holders can
  // use the burst that the platform allows on top of the rate.
  double depth = room < 1 ? fraction * link::sharedBucketDepth(limit)
                          : std::max(fraction * bucket.Burst, std::min(room, MaxGuaranteedDepth));
  bucket.Tokens = std::min(depth, bucket.Tokens + seconds * fraction * bucket.RatePerS);
  bucket.FilledAt = now;
}

void RateShares::countArrivals(Bucket &bucket, double n, core::Time now) const {
  double window = static_cast<double>(Settings.DemandWindow.Ms);
  double span = static_cast<double>((now - bucket.ArrivalsAt).Ms);
  bucket.ArrivalsPerS = bucket.ArrivalsPerS * std::exp(-span / window) + n * 1000 / window;
  bucket.ArrivalsAt = now;
}

} // namespace briarspar::entry
