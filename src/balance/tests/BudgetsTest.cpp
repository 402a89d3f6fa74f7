#include "balance/CrashGuard.h"
#include "balance/HedgePolicy.h"
#include "balance/RetryBudget.h"
#include "core/testing/Property.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

using namespace briarspar::balance;
using namespace briarspar::core;

/// Guards against retries and hedges that together exceed 10% of the first attempts at any time,
/// and against a budget that grants nothing.
Test(RetryBudget, extraRequestsStayWithinTheShare) {
  testing::checkProperty("extra <= 10% of first attempts", [](const std::vector<uint8_t> &script) {
    RetryBudget budget;
    HedgePolicy hedges(budget);
    uint64_t firstAttempts = 0;
    uint64_t extraRequests = 0;
    for (uint8_t byte : script) {
      for (int n = 0; n < byte % 8; ++n) {
        budget.onRequest();
        ++firstAttempts;
      }
      RC_ASSERT_FALSE(budget.tryAcquire(false));
      HedgedRequest request;
      if (byte % 3 == 0)
        request.answered(HedgeAttempt::Primary);
      const bool sent = byte % 2 == 0 ? hedges.tryHedge(request, true) : budget.tryAcquire(true);
      RC_ASSERT_FALSE(sent && byte % 2 == 0 && byte % 3 == 0);
      extraRequests += sent;
      RC_ASSERT(extraRequests * 10 <= firstAttempts);
    }
    for (int n = 0; n < 10; ++n)
      budget.onRequest();
    RC_ASSERT(budget.tryAcquire(true));
  });
}

/// Guards against hedges before enough latencies are known, hedges of requests that are not
/// idempotent, and a delay based on outdated latencies.
Test(HedgePolicy, delayFollowsTheQuantile) {
  RetryBudget budget;
  HedgePolicy hedges(budget);
  const RouteId route("r");
  pcg32 rng(7);
  std::uniform_int_distribution<int64_t> latency(1, 200);
  for (int n = 0; n < 99; ++n)
    hedges.record(route, Duration{latency(rng)});
  cr_assert_not(hedges.delay(route, true).has_value());
  for (int n = 0; n < 901; ++n)
    hedges.record(route, Duration{latency(rng)});
  cr_assert_not(hedges.delay(route, false).has_value());
  cr_expect_geq(hedges.delay(route, true)->Ms, 180);
  cr_expect_leq(hedges.delay(route, true)->Ms, 200);
  for (int n = 0; n < 1000; ++n)
    hedges.record(route, Duration{400 + latency(rng)});
  cr_expect_geq(hedges.delay(route, true)->Ms, 580);
  for (int n = 0; n < 1000; ++n)
    hedges.record(route, Duration{latency(rng)});
  cr_expect_leq(hedges.delay(route, true)->Ms, 200);
}

/// Guards against two answers or none to one caller, and against an attempt that is not cancelled
/// after the other one was answered.
Test(HedgedRequest, exactlyOneAttemptDelivers) {
  testing::checkProperty(
      "one answer of two attempts",
      [](bool hedged, bool hedgeFirst, bool primarySucceeds, bool hedgeSucceeds) {
        HedgedRequest request;
        if (hedged)
          RC_ASSERT(request.startHedge());
        std::vector<HedgeAttempt> order = {HedgeAttempt::Primary};
        if (hedged)
          order.insert(hedgeFirst ? order.begin() : order.end(), HedgeAttempt::Hedge);
        int delivered = 0;
        bool otherIsRunning = hedged;
        for (HedgeAttempt attempt : order) {
          const bool succeeds = attempt == HedgeAttempt::Primary ? primarySucceeds : hedgeSucceeds;
          if (succeeds) {
            const HedgedRequest::AnswerAction action = request.answered(attempt);
            RC_ASSERT(action.CancelOther == (action.Deliver && otherIsRunning));
            delivered += action.Deliver;
          } else {
            delivered += request.failed(attempt);
          }
          otherIsRunning = false;
        }
        RC_ASSERT(delivered == 1);
        RC_ASSERT_FALSE(request.startHedge());
      });
}

namespace {

const VersionId Version("v1");
constexpr uint64_t CrashingRequest = 666;

TargetId targetId(uint64_t n) { return TargetId("t" + std::to_string(n)); }

} // namespace

/// Guards against a request that crashes a third process because its resends arrive at other VMs
/// while reports are lost, duplicated and delayed. Other requests must not be refused.
Test(CrashGuard, atMostTwoCrashesOverAllVms) {
  testing::checkProperty("two crashes at most", [](const std::vector<uint8_t> &script) {
    CrashGuard leader(0);
    std::array<CrashGuard, 3> vms = {CrashGuard(1), CrashGuard(2), CrashGuard(3)};
    std::vector<CrashReport> delayed;
    Time now{1000};
    uint64_t crashes = 0;
    const auto exchangeReports = [&](const CrashReport &report) {
      const auto received = decodeCrashReport(encode(report));
      RC_ASSERT(received.ok());
      leader.merge(*received, now);
      for (CrashGuard &vm : vms)
        vm.merge(leader.report(now), now + Duration{20});
    };
    for (uint8_t byte : script) {
      now = now + Duration{2000};
      CrashGuard &vm = vms[byte % 3];
      if (vm.admits(CrashingRequest, now)) {
        vm.recordCrash(CrashingRequest, targetId(byte % 2), Version, now);
        ++crashes;
        exchangeReports(vm.report(now));
      }
      const uint64_t otherRequest = byte;
      RC_ASSERT(vm.admits(otherRequest, now));
      vm.recordSuccess(otherRequest);
      delayed.push_back(vm.report(now));
      exchangeReports(delayed[delayed.size() - 1 - byte % std::min<size_t>(delayed.size(), 10)]);
      RC_ASSERT(crashes <= 2U);
    }
    // The records expire although reports that repeat them were exchanged.
    now = now + CrashGuardSettings().Quarantine + Duration{20};
    RC_ASSERT(vms[0].admits(CrashingRequest, now));
  });
}

/// Guards against a request that stays refused indefinitely because VMs that exchange reports renew
/// each other's records.
Test(CrashGuard, recordsExpireWhileReportsAreExchanged) {
  CrashGuardSettings settings;
  settings.Quarantine = Duration{1000};
  CrashGuard a(1, settings);
  CrashGuard b(2, settings);
  a.recordCrash(CrashingRequest, targetId(1), Version, Time{0});
  a.recordCrash(CrashingRequest, targetId(2), Version, Time{0});
  CrashReport toA;
  CrashReport toB;
  for (Time now; now.Ms < 3000; now = now + Duration{10}) {
    a.merge(toA, now);
    b.merge(toB, now);
    toA = b.report(now);
    toB = a.report(now);
    if (now.Ms == 500)
      cr_expect_not(b.admits(CrashingRequest, now));
  }
  cr_expect_eq(a.size() + b.size(), 0U);
}

/// Guards against crashes counted against a version that are caused by one request, or by requests
/// in flight with it, and against a version that crashes on every request without being charged.
Test(CrashGuard, onlyUnrelatedCrashesCountAgainstTheVersion) {
  CrashGuard guard(1);
  uint32_t charged = 0;
  for (uint64_t target : {1, 2, 3}) {
    const Time now{static_cast<int64_t>(target) * 2000};
    charged += guard.recordCrash(CrashingRequest, targetId(target), Version, now);
    for (uint64_t n = 0; n < 4; ++n)
      charged += guard.recordCrash(10 * target + n, targetId(target), Version, now + Duration{5});
  }
  cr_expect_eq(charged, 0U);
  const VersionId bad("v2");
  for (uint64_t n = 0; n < 5; ++n)
    charged += guard.recordCrash(100 + n, targetId(n), bad, Time{static_cast<int64_t>(n) * 2000});
  cr_expect_eq(charged, 5U);
}

/// Guards against a delayed duplicate of a report being counted as a second crash.
Test(CrashGuard, duplicatedReportCountsOnce) {
  CrashGuard reporter(1);
  CrashGuard receiver(2);
  reporter.recordCrash(CrashingRequest, targetId(1), Version, Time{0});
  for (int64_t delay : {0, 5000, 20'000})
    receiver.merge(reporter.report(Time{0}), Time{delay});
  cr_expect(receiver.admits(CrashingRequest, Time{20'000}));
  cr_expect_eq(receiver.report(Time{20'000}).Entries.at(0).Crashes.size(), 1U);
}

/// Guards against memory that grows with the number of crashing requests, and against a request
/// that stays under suspicion after it succeeded.
Test(CrashGuard, recordsAreBoundedAndCleared) {
  CrashGuardSettings settings;
  settings.MaxEntries = 10;
  settings.MaxReportEntries = 5;
  CrashGuard guard(1, settings);
  for (uint64_t n = 0; n < 100; ++n)
    guard.recordCrash(n, targetId(n), Version, Time{static_cast<int64_t>(n)});
  cr_expect_eq(guard.size(), 10U);
  cr_expect_eq(guard.report(Time{100}).Entries.size(), 5U);
  guard.recordSuccess(99);
  guard.recordCrash(99, targetId(1), Version, Time{5000});
  cr_expect(guard.admits(99, Time{5000}));
}
