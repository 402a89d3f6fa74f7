#include "core/testing/Property.h"
#include "moves/DrainTracker.h"
#include "moves/SequentialTest.h"
#include "moves/ShiftBudget.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace briarspar::core;
using namespace briarspar::moves;

namespace {

RequestCounts drawCounts(pcg32 &rng, uint32_t requests, double errorRate, size_t bucket) {
  RequestCounts counts;
  counts.Requests = requests;
  counts.Errors = std::binomial_distribution<uint32_t>(requests, errorRate)(rng);
  uint32_t ok = requests - counts.Errors;
  uint32_t tail = std::binomial_distribution<uint32_t>(ok, 0.05)(rng);
  counts.Latency[bucket] = ok - tail;
  counts.Latency[bucket + 2] = tail;
  return counts;
}

// Intervals until rejection, or -1.
int rejectedAfter(SequentialTest &test, pcg32 &rng, int intervals, double oldErrors,
                  double newErrors, size_t newBucket = 5) {
  for (int n = 0; n < intervals; ++n) {
    // The share and the common error rate change from interval to interval.
    uint32_t newRequests = 2 + rng(100);
    double outage = n % 50 < 5 ? 4 : 1;
    test.add(drawCounts(rng, 100, oldErrors * outage, 5),
             drawCounts(rng, newRequests, newErrors * outage, newBucket), false);
    if (test.rejected())
      return n;
  }
  return -1;
}

RegionLoad load(const char *region, uint64_t requests, uint64_t capacity) {
  return {RegionId(region), capacity, requests, true};
}

} // namespace

/// Guards against a false alarm rate above the stated one at the edge of the tolerance, with looks
/// after every interval and outages of both versions.
Test(SequentialTest, falseAlarmsStayWithinTheStatedRate) {
  constexpr int Runs = 400;
  int rejected = 0;
  pcg32 rng(20261204);
  for (int run = 0; run < Runs; ++run) {
    SequentialTestSettings settings;
    settings.FalseAlarmRate = 0.05;
    settings.Horizon = 500;
    settings.ErrorDifference = 0;
    SequentialTest test(settings);
    rejected += rejectedAfter(test, rng, 500, 0.02, 0.02 * settings.ErrorRatio) >= 0;
  }
  // 5% of the runs and three standard deviations.
  cr_assert_leq(rejected, 20 + 13, "%d of %d runs", rejected, Runs);
}

/// Guards against a good past that hides a late fault.
Test(SequentialTest, lateFaultIsFoundSoon) {
  pcg32 rng(1);
  SequentialTest test;
  cr_assert_eq(rejectedAfter(test, rng, 900, 0.01, 0.01), -1);
  int late = rejectedAfter(test, rng, 100, 0.01, 0.2);
  cr_assert(late >= 0 && late < 20, "%d", late);
  cr_assert(test.rejected() == SequentialTest::Cause::Errors);
}

/// Guards against a slow version that passes because it has no errors.
Test(SequentialTest, doubledLatencyIsFound) {
  pcg32 rng(2);
  SequentialTest test;
  int found = rejectedAfter(test, rng, 100, 0.01, 0.01, 6);
  cr_assert(found >= 0 && found < 30, "%d", found);
  cr_assert(test.rejected() == SequentialTest::Cause::Latency);
}

/// Guards against requests that crash any target being counted against the new version, and against
/// a version that crashes on ordinary requests being excused.
Test(SequentialTest, crashErrorsCountOnlyBeyondTheVersionsPart) {
  SequentialTest shared;
  SequentialTest own;
  for (int n = 0; n < 300; ++n) {
    RequestCounts oldCounts;
    oldCounts.Requests = oldCounts.Latency[5] = 100;
    RequestCounts newCounts = oldCounts;
    newCounts.Errors = newCounts.CrashErrors = 20;
    own.add(oldCounts, newCounts, false);
    oldCounts.Errors = oldCounts.CrashErrors = n % 2 == 0 ? 20 : 0;
    newCounts.Errors = newCounts.CrashErrors = n % 2 == 0 ? 0 : 20;
    shared.add(oldCounts, newCounts, false);
  }
  cr_assert_not(shared.rejected().has_value());
  cr_assert(own.rejected() == SequentialTest::Cause::Crashes);
}

/// Guards against merged statistics that differ from the sum of their parts.
Test(VersionStats, mergeAddsEveryMember) {
  pcg32 rng(3);
  RequestCounts a = drawCounts(rng, 50, 0.1, 3);
  RequestCounts b = drawCounts(rng, 70, 0.1, 3);
  RequestCounts sum = a;
  sum.merge(b);
  cr_assert_eq(sum.Requests, 120);
  cr_assert_eq(sum.Errors, a.Errors + b.Errors);
  cr_assert_eq(sum.Latency[3], a.Latency[3] + b.Latency[3]);
  cr_assert_eq(latencyBucket(0), 0);
  cr_assert_eq(latencyBucket(1), 1);
  cr_assert_eq(latencyBucket(1'000'000), LatencyBuckets - 1);
}

/// Guards against a region that is loaded beyond its capacity by planned and forced moves together,
/// two failing regions included, and against planned moves above the cap.
Test(ShiftBudget, neverExceedsCapsOrCapacity) {
  testing::checkProperty("granted and forced moves fit", [] {
    ShiftBudgetSettings settings;
    settings.DefaultCap = {1'000, Duration{20'000}};
    settings.MaxLoadAge = Duration{600'000};
    ShiftBudget budget(settings);
    const std::vector<std::string> names{"a", "b", "c", "d"};
    std::map<std::string, uint64_t> room;
    std::map<std::string, uint64_t> arrived;
    for (const std::string &name : names) {
      auto capacity = *rc::gen::inRange<uint64_t>(1'000, 3'000);
      room[name] = capacity - 1'000;
      budget.observe(load(name.c_str(), 1'000, capacity), Time{0});
    }
    struct Granted {
      std::string From;
      BasisPoints Share;
      int64_t From_, To_;
    };
    std::vector<Granted> planned;
    std::map<uint64_t, size_t> open;
    int64_t now = 0;
    for (int n = 0; n < 60; ++n) {
      now += *rc::gen::inRange<int64_t>(0, 4'000);
      std::string from = *rc::gen::elementOf(names);
      std::string to = *rc::gen::elementOf(names);
      int action = *rc::gen::inRange(0, 12);
      if (action == 0) {
        budget.failRegion(RegionId(from), Time{now});
      } else if (action < 5 && !open.empty()) {
        auto [id, index] = *open.begin();
        open.erase(open.begin());
        if (budget.renew(id, Time{now})) {
          budget.commit(id, Time{now});
          planned[index].To_ = now + settings.Propagation.Ms + settings.Ttl.Ms;
        }
      } else if (from != to && budget.isUp(RegionId(to)) && budget.isUp(RegionId(from))) {
        auto wanted = *rc::gen::inRange<BasisPoints>(1, 3'000);
        auto lease = budget.lease(RegionId(from), RegionId(to), wanted, 1'000, Time{now});
        if (!lease)
          continue;
        RC_ASSERT(lease->Share <= wanted);
        open[lease->Id] = planned.size();
        // A lease that is never settled may be used until its end.
        planned.push_back({from, lease->Share, now,
                           lease->Expires.Ms + settings.Propagation.Ms + settings.Ttl.Ms});
        arrived[to] += (lease->Share * 1'000 + FullShare - 1) / FullShare;
      }
      std::map<std::string, uint64_t> forced;
      for (const std::string &name : names)
        for (const ForcedShare &move : budget.forcedShares(RegionId(name)))
          forced[move.To.Value] += move.Share * 1'000 / FullShare;
      for (const std::string &name : names)
        if (budget.isUp(RegionId(name)))
          RC_ASSERT(arrived[name] + forced[name] <= room[name]);
      for (const std::string &name : names) {
        uint64_t sum = 0;
        for (const Granted &grant : planned)
          if (grant.From == name && grant.To_ + 20'000 >= now)
            sum += grant.Share;
        RC_ASSERT(sum <= 1'000U);
      }
    }
  });
}

/// Guards against a new leader that grants what its predecessor has already granted.
Test(ShiftBudget, newLeaderWaitsForTheChargesOfTheOldOne) {
  ShiftBudget budget;
  budget.becomeLeader(Time{0});
  Time free = Time{0} + Duration{3'000 + 10'000 + 60'000};
  for (Time now : {Time{0}, free, free + Duration{1}})
    budget.observe(load("b", 0, 1'000), now);
  cr_assert_not(budget.lease(RegionId("a"), RegionId("b"), 100, 1'000, free).has_value());
  cr_assert(budget.lease(RegionId("a"), RegionId("b"), 100, 1'000, free + Duration{1}).has_value());
}

/// Guards against a change of leader that sends the callers of a failed region to other places, and
/// against a region that gets all its callers back at once when it returns.
Test(ShiftBudget, forcedMovesSurviveALeaderAndReturnUnderTheCap) {
  ShiftBudget budget;
  budget.setForcedShares(RegionId("c"), {{RegionId("a"), 2'000}}, 1'000);
  for (const char *region : {"a", "b"})
    budget.observe(load(region, 100, 5'000), Time{0});
  cr_assert_eq(budget.failRegion(RegionId("c"), Time{0}).size(), 1);
  cr_assert_eq(budget.forcedShares(RegionId("c"))[0].Share, 2'000);
  budget.observe(load("c", 0, 5'000), Time{20'000});
  cr_assert_eq(budget.returnForcedShares(RegionId("c"), Time{20'000})[0].Share, 1'500);
  cr_assert_eq(budget.returnForcedShares(RegionId("c"), Time{20'000})[0].Share, 1'500);
}

/// Guards against callers who are refused because of rounding while other regions have room.
Test(ShiftBudget, forcedMovesLeaveNobodyBehind) {
  ShiftBudget budget;
  for (const char *region : {"a", "b", "c", "d"})
    budget.observe(load(region, 100, 1'000), Time{0});
  BasisPoints sum = 0;
  for (const ForcedShare &move : budget.failRegion(RegionId("d"), Time{0}))
    sum += move.Share;
  cr_assert_eq(sum, FullShare);
}

/// Guards against two steps of a return in one window when the first one took long to commit.
Test(ShiftBudget, aReturnCountsFromItsCommit) {
  ShiftBudget budget;
  budget.setForcedShares(RegionId("c"), {{RegionId("a"), 2'000}}, 1'000, /*down=*/false);
  auto returnAt = [&budget](int64_t now) {
    budget.observe(load("c", 0, 5'000), Time{now});
    return budget.returnForcedShares(RegionId("c"), Time{now})[0].Share;
  };
  constexpr int64_t Start = 100'000;
  constexpr int64_t CommitAfter = 5'000;
  // Propagation, TTL and the window of the default cap.
  constexpr int64_t Lasts = 3'000 + 10'000 + 60'000;
  cr_assert_eq(returnAt(Start), 1'500);
  budget.commitReturn(RegionId("c"), Time{Start + CommitAfter});
  cr_assert_eq(returnAt(Start + Lasts + CommitAfter), 1'500);
  cr_assert_eq(returnAt(Start + Lasts + CommitAfter + 1), 1'000);
}

/// Guards against planned shifts while forced callers are still arriving, and on stale loads.
Test(ShiftBudget, plannedShiftsWaitForForcedOnesAndFreshLoads) {
  ShiftBudget budget;
  for (const char *region : {"a", "b", "c"})
    budget.observe(load(region, 100, 1'000), Time{0});
  auto forced = budget.failRegion(RegionId("c"), Time{0});
  cr_assert_eq(forced.size(), 2);
  cr_assert_eq(forced[0].Share + forced[1].Share, FullShare);
  auto lease = [&budget](int64_t now) {
    return budget.lease(RegionId("a"), RegionId("b"), 100, 1'000, Time{now}).has_value();
  };
  cr_assert_not(lease(12'999));
  cr_assert(lease(13'000));
  cr_assert_not(lease(15'001));
}

/// Guards against a drain of targets that waits although every VM has applied it, and against one
/// of VMs that ends while callers still act on cached lookups.
Test(DrainTracker, endsWithTheLastReport) {
  DrainSettings settings;
  for (Duration ttl : {Duration{0}, Duration{10'000}}) {
    settings.LookupTtl = ttl;
    DrainTracker tracker(settings, {VmId("x"), VmId("y")}, Time{0});
    tracker.report({VmId("x"), Incarnation(1), 1, MoveId("m"), true, 0}, Time{500});
    cr_assert(tracker.mayAssign(Time{500}));
    cr_assert_not(tracker.drained(Time{500}));
    tracker.report({VmId("y"), Incarnation(1), 1, MoveId("m"), true, 0}, Time{600});
    cr_assert_eq(tracker.drained(Time{600}), ttl == Duration{0});
    cr_assert_not(tracker.drained(Time{ttl.Ms + 2'999}) && ttl != Duration{0});
    cr_assert(tracker.drained(Time{ttl.Ms + 3'000}));
  }
}

/// Guards against a drain that ends on a count from before the drain, on an old or repeated report,
/// or without the work of a VM that died.
Test(DrainTracker, waitsForEveryVm) {
  DrainSettings settings;
  std::vector<VmId> vms{VmId("x"), VmId("y")};
  DrainTracker tracker(settings, vms, Time{0});
  auto report = [&](const char *vm, uint64_t sequence, bool applied, uint64_t inFlight) {
    tracker.report({VmId(vm), Incarnation(1), sequence, MoveId("m"), applied, inFlight},
                   Time{1'000});
  };
  report("x", 1, false, 0);
  report("y", 2, true, 0);
  cr_assert_not(tracker.drained(Time{2'999}));
  cr_assert_not(tracker.drained(Time{10'000}), "x has not applied the drain");
  report("x", 3, true, 2);
  report("x", 2, true, 0);
  cr_assert_not(tracker.drained(Time{10'000}), "a late report hides two requests");
  tracker.vmExpired(VmId("x"), Time{20'000});
  report("x", 4, true, 0);
  cr_assert_not(tracker.drained(Time{79'999}), "work of a dead VM may run until its deadline");
  cr_assert(tracker.drained(Time{80'000}));
}
