#include "balance/SlotHolder.h"
#include "balance/SlotLedger.h"
#include "core/testing/Property.h"

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace briarspar::balance;
using namespace briarspar::core;

namespace {

const TargetId Target("t");
const PoolId TestPool("pool");

struct Permission final : ServingPermission {
  bool valid(Time) const override { return true; }
};

struct Fixture {
  ManualClock Clock;
  Permission Serving;
  SlotHolder Holder{VmId("a"), Incarnation(1), Clock, Serving};

  Fixture() { setSlots(5); }
  void setSlots(uint32_t n) {
    const TargetInfo info{Target, TestPool, VersionId("v"), Locality{}, n};
    Holder.setTargets({info}, 2);
  }
  /// Advances the clock by a report interval and returns the report.
  SlotReport report() {
    Clock.advance(Duration{500});
    auto report = Holder.tick(Term(1), Clock.now());
    cr_assert(report.has_value());
    return *report;
  }
  void answer(uint64_t sequence, uint32_t limit) {
    Holder.receive({VmId("a"), Incarnation(1), Term(1), sequence, {{Target, limit}}}, Clock.now());
  }
};

} // namespace

/// Guards against a revoked slot that is used again after the report that returns it.
Test(SlotHolder, revokedSlotsStopBeforeTheReport) {
  Fixture f;
  f.answer(f.report().Sequence, 5);
  for (int n = 0; n < 3; ++n)
    cr_assert(f.Holder.acquire(Target));
  f.answer(f.report().Sequence, 1);
  f.Holder.release(Target);
  cr_expect_not(f.Holder.acquire(Target));
  cr_expect_eq(f.report().Held.at(Target), 2U);
  f.Holder.release(Target);
  cr_expect_not(f.Holder.acquire(Target));
  f.Holder.release(Target);
  cr_expect(f.Holder.acquire(Target));
}

/// Guards against returned slots that are only reported after the steady-state interval, and
/// against urgent reports that continue after the leader has answered.
Test(SlotHolder, returnedSlotsAreReportedSoon) {
  Fixture f;
  const Duration urgent{20};
  f.answer(f.report().Sequence, 5);
  for (int n = 0; n < 3; ++n)
    cr_assert(f.Holder.acquire(Target));
  f.answer(f.report().Sequence, 1);
  for (uint32_t held : {3U, 2U, 1U}) {
    f.Clock.advance(urgent);
    const auto report = f.Holder.tick(Term(1), f.Clock.now());
    cr_assert(report.has_value());
    cr_expect_eq(report->Held.at(Target), held);
    f.answer(report->Sequence, 1);
    f.Clock.advance(urgent);
    cr_expect_not(f.Holder.tick(Term(1), f.Clock.now()).has_value());
    f.Holder.release(Target);
  }
}

/// Guards against a separate report shortly after another message, and against a report with every
/// message.
Test(SlotHolder, reportIsSentEarlyWithAnotherMessage) {
  Fixture f;
  f.answer(f.report().Sequence, 5);
  f.Clock.advance(Duration{399});
  cr_expect_not(f.Holder.tick(Term(1), f.Clock.now(), Duration{100}).has_value());
  f.Clock.advance(Duration{1});
  cr_expect(f.Holder.tick(Term(1), f.Clock.now(), Duration{100}).has_value());
}

/// Guards against limits that stay valid too long because the answer arrived late or the process
/// was paused: they expire relative to the report, and acquire() itself reads the clock.
Test(SlotHolder, limitsExpireRelativeToTheReport) {
  Fixture f;
  const SlotReport report = f.report();
  f.Clock.advance(Duration{900});
  f.answer(report.Sequence, 5);
  f.Clock.advance(shortenForClockDrift(Duration{3000}) - Duration{901});
  cr_expect(f.Holder.acquire(Target));
  f.Clock.advance(Duration{1});
  cr_expect_not(f.Holder.acquire(Target));
  cr_expect_eq(f.report().Held.at(Target), 1U);
}

/// Guards against new requests to a draining target, and against a drain that releases the slots of
/// running requests.
Test(SlotLedger, drainedTargetGetsNoNewRequests) {
  Fixture f;
  SlotLedger ledger;
  const TargetInfo open{Target, TestPool, VersionId("v"), Locality{}, 5};
  ledger.setVms({VmInfo{VmId("a"), Locality{}}});
  ledger.setTargets({open});
  ledger.becomeLeader(Term(1), Time{0});
  const auto exchange = [&] {
    if (auto answer = ledger.report(f.report(), f.Clock.now()))
      f.Holder.receive(*answer, f.Clock.now());
  };
  f.Holder.setWaiting(TestPool, 3);
  // A VM that started this recently may have had an earlier run, whose slots must be waited for.
  f.Clock.advance(Duration{40'000});
  exchange();
  cr_assert(f.Holder.acquire(Target));
  TargetInfo drained = open;
  drained.Slots = 0;
  ledger.setTargets({drained});
  // The VM applies a drain before the leader has revoked its slots.
  f.setSlots(0);
  cr_expect_not(f.Holder.acquire(Target));
  cr_expect_eq(f.Holder.available(Target), 0U);
  exchange();
  cr_expect_not(f.Holder.acquire(Target));
  cr_expect_geq(ledger.granted(Target), 1U);
  f.Holder.release(Target);
  exchange();
  cr_expect_eq(ledger.granted(Target), 0U);
}

/// Guards against a paused VM that regains limits, by its requests in flight or a delayed report,
/// that another VM holds by now.
Test(SlotLedger, requestsThatOutliveTheirLimitDoNotRenewIt) {
  for (uint32_t usable : {0U, 5U}) {
    SlotLedger ledger;
    ledger.setVms({VmInfo{VmId("a"), Locality{}}, VmInfo{VmId("b"), Locality{}}});
    ledger.setTargets({TargetInfo{Target, TestPool, VersionId("v"), Locality{}, 5}});
    ledger.becomeLeader(Term(1), Time{0});
    const auto report = [&](const char *vm, uint64_t sequence, uint32_t held, uint32_t limit,
                            Time now) {
      SlotReport r{VmId(vm), Incarnation(1), Term(1), sequence, Duration{90'000}, {}, {}, {}, {}};
      r.Held[Target] = held;
      r.Usable[Target] = limit;
      r.Demand[TestPool] = 9;
      return ledger.report(r, now)->Limits[Target];
    };
    // The earlier leader had granted all slots to a.
    cr_expect_eq(report("a", 1, 5, 5, Time{0}), 5U);
    const Time later{40'000};
    cr_expect_geq(report("b", 1, 0, 0, later), 1U);
    cr_expect_eq(report("a", 2, 5, usable, later), 0U);
  }
}

/// Guards against two traffic threads that acquire the same slot.
Test(SlotHolder, threadsShareTheLimit) {
  Fixture f;
  f.answer(f.report().Sequence, 3);
  std::atomic<int> inFlight{0};
  std::atomic<int> maxInFlight{0};
  std::vector<std::thread> threads;
  for (int n = 0; n < 6; ++n)
    threads.emplace_back([&] {
      for (int round = 0; round < 5000; ++round) {
        if (!f.Holder.acquire(Target))
          continue;
        const int now = ++inFlight;
        for (int seen = maxInFlight; seen < now && !maxInFlight.compare_exchange_weak(seen, now);) {
        }
        --inFlight;
        f.Holder.release(Target);
      }
    });
  for (std::thread &t : threads)
    t.join();
  cr_expect_leq(maxInFlight, 3);
  cr_expect_geq(maxInFlight, 1);
  cr_expect_eq(f.Holder.inUse(Target), 0U);
}

/// Guards against a new target that gets no requests until every VM has reported or can hold no
/// slots any more, and against slots of an earlier leader that are granted twice.
Test(SlotLedger, slotsOfANewTargetAreGrantedAtOnce) {
  SlotLedger ledger;
  ledger.setVms({{VmId("a"), {}}, {VmId("b"), {}}});
  TargetInfo old{TargetId("old"), PoolId("p"), {}, {}, 4};
  TargetInfo added{TargetId("new"), PoolId("p"), {}, {}, 4};
  ledger.setTargets({old});
  ledger.becomeLeader(Term(2), Time{0});
  ledger.setTargets({old});
  ledger.setTargets({old, added});
  SlotReport report;
  report.Vm = VmId("a");
  report.Run = Incarnation(1);
  report.Leader = Term(2);
  report.Sequence = 1;
  report.Demand[PoolId("p")] = 8;
  auto answer = ledger.report(report, Time{10});
  cr_assert(answer.has_value());
  cr_assert_gt(answer->Limits[TargetId("new")], 0);
  cr_assert_eq(answer->Limits[TargetId("old")], 0);
}

/// Guards against slots that stay idle at a VM because of a short peak in its use.
Test(SlotHolder, shortPeakIsNotDemand) {
  Fixture f;
  f.answer(f.report().Sequence, 5);
  for (int n = 0; n < 5; ++n)
    cr_assert(f.Holder.acquire(Target));
  f.Clock.advance(Duration{10});
  for (int n = 0; n < 5; ++n)
    f.Holder.release(Target);
  const SlotReport idle = f.report();
  cr_expect_eq(idle.Demand.count(TestPool), 0U);
  f.answer(idle.Sequence, 5);
  f.Holder.setWaiting(TestPool, 3);
  cr_expect_eq(f.report().Demand.at(TestPool), 3U);
}

/// Guards against equal shares of scarce slots for VMs with unequal demand, which leave requests
/// waiting at one VM while slots are idle at another, and against a VM that takes all slots.
Test(SlotLedger, scarceSlotsFollowTheDemand) {
  SlotLedger ledger;
  ledger.setVms({VmInfo{VmId("a"), Locality{}}, VmInfo{VmId("b"), Locality{}}});
  ledger.setTargets({});
  ledger.becomeLeader(Term(1), Time{0});
  ledger.setTargets({});
  ledger.setTargets({TargetInfo{Target, TestPool, VersionId("v"), Locality{}, 40}});
  std::map<std::string, uint32_t> limits;
  const auto round = [&](uint64_t sequence, uint32_t demandOfB) {
    for (const char *vm : {"a", "b"}) {
      SlotReport r{VmId(vm), Incarnation(1), Term(1), sequence, Duration{90'000}, {}, {}, {}, {}};
      r.Held[Target] = r.Usable[Target] = limits[vm];
      r.Demand[TestPool] = std::string(vm) == "a" ? 20 : demandOfB;
      limits[vm] = ledger.report(r, Time{static_cast<int64_t>(sequence) * 500})->Limits[Target];
    }
  };
  for (uint64_t n = 1; n < 10; ++n)
    round(n, 60);
  cr_expect_geq(limits["b"], 2 * limits["a"]);
  for (uint64_t n = 10; n < 20; ++n)
    round(n, 100'000);
  cr_expect_geq(limits["a"], 4U);
}
