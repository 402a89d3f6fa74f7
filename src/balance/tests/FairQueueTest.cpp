#include "balance/FairQueue.h"
#include "core/testing/Property.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace briarspar::balance;
using namespace briarspar::core;

namespace {

constexpr int CustomerCount = 8;
constexpr double Utilization = 0.8; ///< Share of the slots used by all customers together.
constexpr int64_t MinServiceMs = 20;
constexpr int64_t MaxServiceMs = 80;
constexpr int64_t RunMs = 60'000;
constexpr int64_t DeadlineMs = 2000;

CustomerId customer(int n) { return CustomerId("c" + std::to_string(n)); }

struct Arrival {
  Time At;
  int Customer = 0;
  int64_t ServiceMs = 0;
};

/// Each customer has its own random generator, so that the customers within their rate send the
/// same requests whether or not another one exceeds its rate.
std::vector<Arrival> arrivalsOf(uint64_t seed, int c, double perMs) {
  pcg32 rng(seed, static_cast<uint64_t>(c));
  std::exponential_distribution<double> gap(perMs);
  std::uniform_int_distribution<int64_t> service(MinServiceMs, MaxServiceMs);
  std::vector<Arrival> arrivals;
  for (double at = gap(rng); at < RunMs; at += gap(rng))
    arrivals.push_back({Time{static_cast<int64_t>(at)}, c, service(rng)});
  return arrivals;
}

/// Results for the customers within their rate: p99 latency of the answered requests, and the
/// number of requests that were not served.
struct Measured {
  int64_t P99 = 0;
  size_t Missed = 0;
};

Measured serve(uint64_t seed, uint32_t slotCount, double overload,
               const FairQueueSettings &settings) {
  // Requests per ms of one customer.
  const double rate = Utilization * slotCount * 2 / (MinServiceMs + MaxServiceMs) / CustomerCount;
  std::vector<Arrival> arrivals;
  for (int c = 0; c < CustomerCount; ++c)
    for (const Arrival &a : arrivalsOf(seed, c, rate * (c == 0 ? overload : 1)))
      arrivals.push_back(a);
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival &a, const Arrival &b) { return a.At < b.At; });
  FairQueue queue(settings);
  std::priority_queue<int64_t, std::vector<int64_t>, std::greater<>> ends;
  std::vector<int64_t> latencies;
  Measured measured;
  const auto finish = [&](const Arrival &a, Time start) {
    ends.push(start.Ms + a.ServiceMs);
    if (a.Customer != 0)
      latencies.push_back(start.Ms + a.ServiceMs - a.At.Ms);
  };
  const auto drop = [&](uint64_t handle) { measured.Missed += arrivals[handle].Customer != 0; };
  size_t next = 0;
  for (Time now; now.Ms < RunMs; now = now + Duration{1}) {
    while (!ends.empty() && ends.top() <= now.Ms)
      ends.pop();
    for (const QueuedRequest &late : queue.expire(now))
      drop(late.Handle);
    for (; next < arrivals.size() && arrivals[next].At <= now; ++next) {
      const Arrival &a = arrivals[next];
      const PushResult result =
          queue.push({next, customer(a.Customer), a.At + Duration{DeadlineMs}}, now);
      if (!result.Queued)
        drop(next);
      if (result.Evicted)
        drop(*result.Evicted);
    }
    while (ends.size() < slotCount) {
      const std::optional<QueuedRequest> waiting =
          queue.pop(now, slotCount - static_cast<uint32_t>(ends.size()), slotCount);
      if (!waiting)
        break;
      finish(arrivals[waiting->Handle], now);
    }
  }
  auto p99 = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
  std::nth_element(latencies.begin(), p99, latencies.end());
  measured.P99 = *p99;
  return measured;
}

} // namespace

/// Guards against a customer at five times its rate that delays the others: it may add less than
/// 10% to their p99, and none of their requests may be lost. The slot counts are those of the
/// smallest pool and of a large one of the two deployments.
Test(FairQueue, overloadAddsLessThanTenPercentToOthers) {
  for (uint32_t slots : {36U, 100U})
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      const Measured normal = serve(seed, slots, 1, {});
      const Measured overloaded = serve(seed, slots, 5, {});
      cr_log_info("%u slots, seed %lu: p99 %ld ms without and %ld ms with overload", slots, seed,
                  normal.P99, overloaded.P99);
      cr_expect_lt(overloaded.P99 * 10, normal.P99 * 11,
                   "%u slots, seed %lu: p99 rose from %ld to %ld ms", slots, seed, normal.P99,
                   overloaded.P99);
      cr_expect_eq(overloaded.Missed, 0U);
    }
}

/// Guards against losing requests of other customers when a customer at five times its rate fills
/// the queue.
Test(FairQueue, overloadIsDroppedBeforeOthers) {
  FairQueueSettings settings;
  settings.MaxWaiting = 50;
  cr_expect_eq(serve(1, 100, 5, settings).Missed, 0U);
}

/// Guards against a slot reserve that blocks the only customer of a VM with few slots.
Test(FairQueue, reserveLeavesSlotsToASingleCustomer) {
  FairQueue queue;
  for (uint32_t slots = 1; slots <= 33; ++slots) {
    queue.push({slots, customer(0), Time{10}}, Time{0});
    cr_expect(queue.pop(Time{0}, 1, slots).has_value());
  }
}

/// Guards against weights without effect while all customers have queued requests.
Test(FairQueue, sharesFollowWeights) {
  FairQueue queue;
  queue.setWeight(customer(1), 3);
  for (uint64_t n = 0; n < 800; ++n)
    queue.push({n, customer(static_cast<int>(n % 2)), Time{1000}}, Time{0});
  std::map<std::string, int> served;
  for (int n = 0; n < 400; ++n)
    ++served[queue.pop(Time{0})->Customer.Value];
  cr_expect_geq(served["c1"], 299);
  cr_expect_leq(served["c1"], 301);
}

/// Guards against a customer that accumulates credit while idle and then blocks the others.
Test(FairQueue, creditIsBounded) {
  FairQueueSettings settings;
  FairQueue queue(settings);
  for (int n = 0; n < 10'000; ++n)
    queue.recordImmediate(customer(0));
  for (uint64_t n = 0; n < 500; ++n)
    queue.push({n, customer(1), Time{1000}}, Time{0});
  queue.push({1000, customer(0), Time{1000}}, Time{0});
  uint32_t before = 0;
  while (queue.pop(Time{0})->Handle != 1000)
    ++before;
  cr_expect_leq(before, settings.CreditRequests + 1);
}

/// Guards against a request that is served after its deadline, lost, reported twice or served
/// twice, and against a queue that exceeds its limits, for any order of calls.
Test(FairQueue, everyRequestLeavesOnceBeforeItsDeadline) {
  testing::checkProperty(
      "each request leaves the queue once", [](const std::vector<uint8_t> &script) {
        FairQueueSettings settings;
        settings.MaxWaiting = 12;
        settings.MaxWaitingPerCustomer = 5;
        FairQueue queue(settings);
        std::map<uint64_t, int64_t> waiting; // Handle to deadline.
        Time now{1};
        uint64_t handle = 0;
        const auto leave = [&](uint64_t h) { RC_ASSERT(waiting.erase(h) == 1U); };
        for (uint8_t byte : script) {
          now = now + Duration{byte % 3};
          if (byte < 140) {
            const QueuedRequest w{++handle, customer(byte % 4), now + Duration{byte % 11}};
            const PushResult result = queue.push(w, now);
            if (result.Evicted)
              leave(*result.Evicted);
            if (result.Queued)
              waiting[w.Handle] = w.Deadline.Ms;
          } else if (byte < 200) {
            if (auto next = queue.pop(now)) {
              RC_ASSERT(waiting.at(next->Handle) > now.Ms);
              leave(next->Handle);
            }
          } else if (byte < 230) {
            for (const QueuedRequest &late : queue.expire(now)) {
              RC_ASSERT(late.Deadline <= now);
              leave(late.Handle);
            }
          } else if (!waiting.empty() && queue.remove(waiting.begin()->first)) {
            leave(waiting.begin()->first);
          }
          RC_ASSERT(queue.size() <= settings.MaxWaiting);
          RC_ASSERT(queue.size() <= waiting.size());
        }
        for (const QueuedRequest &late : queue.expire(now + Duration{1000}))
          leave(late.Handle);
        RC_ASSERT(waiting.empty());
      });
}
