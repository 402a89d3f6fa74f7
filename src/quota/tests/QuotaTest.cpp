#include "quota/HeldReserve.h"
#include "quota/tests/QuotaSimulation.h"

#include <atomic>
#include <cstdio>
#include <thread>

using namespace briarspar::core;
using namespace briarspar::quota;
using briarspar::quota::testing::Limit;
using briarspar::quota::testing::Simulation;
using briarspar::quota::testing::withinBound;

namespace {

using briarspar::core::testing::checkProperty;
using briarspar::core::testing::FaultSettings;

/// Eight customers of very different rates.
std::vector<Limit> exampleLimits() {
  return {{300, 300}, {200, 200}, {120, 120}, {60, 60}, {40, 40}, {20, 20}, {10, 10}, {5, 5}};
}

FaultSettings roundTrip(int64_t ms) {
  FaultSettings settings;
  settings.MinDelay = Duration{std::max<int64_t>(0, ms / 2)};
  settings.MaxDelay = Duration{std::max<int64_t>(1, (ms + 1) / 2)};
  return settings;
}

/// Seed of a fault schedule. Not shrunk, because a smaller seed does not give a simpler schedule.
uint64_t anySeed() { return *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>()); }

/// Makes the holder request tokens at 1,000 ms and answers with a grant at 1,001 ms.
void receiveGrant(QuotaHolder &holder, const CustomerId &customer, int64_t tokens,
                  Duration length) {
  (void)holder.tryAdmit(customer, Time{1000});
  std::vector<GrantRequest> requests = holder.tick(Time{1000});
  cr_assert_eq(requests.size(), 1);
  GrantResponse answer;
  answer.Vm = requests[0].Vm;
  answer.Inc = requests[0].Inc;
  answer.Epoch = Term(1);
  answer.Sequence = requests[0].Sequence;
  answer.Result = GrantResult::Ok;
  CustomerGrant grant;
  grant.Customer = customer;
  grant.Tokens = tokens;
  grant.Length = length;
  answer.Customers.push_back(grant);
  holder.receive(answer, Time{1001});
}

/// Runs 30 s of load. Prints and returns the admitted share of the requests within the rate.
double measure(const char *name, int64_t rtt, const Simulation::Load &load) {
  std::vector<Limit> limits = exampleLimits();
  Simulation sim(rtt, roundTrip(rtt), limits, load);
  sim.run(3000);
  sim.measure();
  uint64_t bytes = sim.SentBytes;
  uint64_t messages = sim.SentMessages;
  sim.run(30'000);
  std::printf("%s, round trip %ld ms: grants %.4f, static split %.4f of %ld requests within the "
              "rate; %.1f requests and %.0f bytes per VM and second\n",
              name, long(rtt), sim.Measured.share(), sim.Measured.staticShare(),
              long(sim.Measured.WithinLimit), (sim.SentMessages - messages) / 360.0,
              (sim.SentBytes - bytes) / 360.0);
  for (size_t c = 0; c < limits.size(); ++c)
    cr_assert(withinBound(sim.Log[c], limits[c], 0, sim.Now + 1));
  return sim.Measured.share();
}

/// Injects a random fault or event.
void injectFault(Simulation &sim) {
  uint32_t vm = sim.random(Simulation::Vms);
  uint32_t other = sim.random(Simulation::Nodes);
  switch (sim.random(7)) {
  case 0:
    return sim.Network.cut(vm, Simulation::Vms + sim.random(2));
  case 1:
    return sim.Network.cut(other, vm);
  case 2:
    return sim.Network.healAll();
  case 3:
    return sim.Network.setPaused(vm, !sim.Network.isPaused(vm));
  case 4:
    return sim.start(vm);
  default:
    return sim.elect(static_cast<int>(sim.random(3)) - 1);
  }
}

FaultSettings heavyFaults(uint64_t seed) {
  FaultSettings faults;
  faults.LossPermille = 100;
  faults.DuplicatePermille = 200;
  faults.MinDelay = Duration{0};
  faults.MaxDelay = Duration{seed % 3 == 0 ? 300 : 40};
  return faults;
}

} // namespace

/// Guards against more than burst + rate * length admissions in any interval under loss,
/// duplication, reordering, partitions, pauses, restarts, owner changes and a clock drift of 1%, at
/// a load above the rate.
Test(Quota, boundHoldsInEveryIntervalUnderFaults) {
  checkProperty("quota bound", [] {
    uint64_t seed = anySeed();
    std::vector<Limit> limits{{200, 100}, {50, 10}, {30, 2}, {3, 1}, {2, 5}};
    // Steady load, or pulses between which the buckets fill up and grants stay unused.
    bool pulses = seed % 2 == 1;
    auto load = [&, pulses](uint32_t, size_t c, int64_t ms) {
      double steady = limits[c].PerSecond * 3 / 12.0;
      return !pulses ? steady : ms % 1700 < 150 ? steady * 8 : 0.0;
    };
    Simulation sim(seed, heavyFaults(seed), limits, load, /*adverse=*/true);
    // With rare faults, owners can issue reserves and VMs can use them up.
    int64_t meanGapMs = seed / 2 % 2 == 0 ? 150 : 1000;
    for (int64_t n = 0; n < 6000; ++n) {
      if (sim.random(meanGapMs) == 0)
        injectFault(sim);
      sim.step();
    }
    size_t before = sim.Log[0].size();
    sim.heal();
    sim.run(4000);
    for (size_t c = 0; c < limits.size(); ++c)
      RC_ASSERT(withinBound(sim.Log[c], limits[c], 0, sim.Now + 1));
    // Service resumes: at least one burst is admitted in the 4 s after the faults end.
    RC_ASSERT(static_cast<int64_t>(sim.Log[0].size() - before) >= limits[0].Burst);
  });
}

/// Guards against a limit change or removal at run time after which more is admitted than the
/// larger of the two limits allows, or more than the new one allows once the old grants and
/// reserves have expired. The second customer's burst is too small for reserves.
Test(Quota, boundHoldsAcrossLimitChanges) {
  checkProperty("quota bound with limit changes", [] {
    uint64_t seed = anySeed();
    std::vector<Limit> largest{{100, 50}, {100, 3}};
    Simulation sim(
        seed, heavyFaults(seed), largest, [](uint32_t, size_t, int64_t) { return 50.0; },
        /*adverse=*/true);
    for (int change = 0; change < 6; ++change) {
      Limit next[] = {{10 + sim.random(300), 1 + sim.random(100)},
                      {10 + sim.random(300), 1 + sim.random(3)}};
      for (size_t c = 0; c < 2; ++c) {
        largest[c].PerSecond = std::max(largest[c].PerSecond, next[c].PerSecond);
        largest[c].Burst = std::max(largest[c].Burst, next[c].Burst);
        if (sim.random(3) == 0)
          sim.remove(c);
        sim.setLimit(c, next[c]);
      }
      int64_t changed = sim.Now;
      sim.run(sim.random(1000));
      sim.elect(sim.random(2));
      sim.run(500 + sim.random(change % 2 == 0 ? 1500 : 4000));
      // 3000: a serving lease. 506: one grant length with the clock-rate margin.
      RC_ASSERT(withinBound(sim.Log[0], next[0], changed + 3000, sim.Now + 1));
      RC_ASSERT(withinBound(sim.Log[1], next[1], changed + 506, sim.Now + 1));
    }
    for (size_t c = 0; c < 2; ++c)
      RC_ASSERT(withinBound(sim.Log[c], largest[c], 0, sim.Now + 1));
  });
}

/// Guards against refusals within the rate under steady load that is uneven over the VMs.
Test(Quota, steadyLoadIsAdmitted) {
  std::vector<Limit> limits = exampleLimits();
  auto uneven = [&](uint32_t vm, size_t c, int64_t) {
    return limits[c].PerSecond * 0.95 * (vm + 1) / 78.0; // 78 = 1 + 2 + ... + 12
  };
  for (int64_t rtt : {1, 20, 35})
    cr_expect_geq(measure("steady", rtt, uneven), 0.99);
}

/// Guards against refusals within the rate when the load of a customer moves from VM to VM.
Test(Quota, jumpingLoadIsAdmitted) {
  std::vector<Limit> limits = exampleLimits();
  auto jumping = [&](uint32_t vm, size_t c, int64_t ms) {
    bool here = (ms / 2000 * 5 + static_cast<int64_t>(c)) % Simulation::Vms == vm;
    return here ? limits[c].PerSecond * 0.95 : 0.0;
  };
  for (int64_t rtt : {1, 20, 35})
    cr_expect_geq(measure("jump every 2 s", rtt, jumping), 0.98);
}

/// Measures the 5 s after the loss of the owner at 70% load, and the following 10 s. As in the
/// daemon, the new owner does not know when the old lease ended.
double measureOwnerLoss(int64_t rtt, int64_t outageMs, uint64_t seed) {
  std::vector<Limit> limits = exampleLimits();
  Simulation sim(seed, roundTrip(rtt), limits, [&](uint32_t vm, size_t c, int64_t) {
    return limits[c].PerSecond * 0.7 * (vm + 1) / 78.0;
  });
  sim.run(5000);
  sim.measure();
  sim.elect(-1);
  sim.run(outageMs);
  sim.elect(1, /*knowsLeaseEnd=*/false);
  sim.run(5000 - outageMs);
  Simulation::Share during = sim.Measured;
  sim.measure();
  sim.run(10'000);
  std::printf("owner lost for %ld ms, round trip %ld ms, seed %lu: grants %.4f, static split %.4f "
              "in the 5 s from the loss; %.4f and %.4f in the 10 s after\n",
              long(outageMs), long(rtt), (unsigned long)seed, during.share(), during.staticShare(),
              sim.Measured.share(), sim.Measured.staticShare());
  cr_expect_geq(sim.Measured.share(), 0.99);
  for (size_t c = 0; c < limits.size(); ++c)
    cr_assert(withinBound(sim.Log[c], limits[c], 0, sim.Now + 1));
  return during.share();
}

/// Guards against refusals within the rate while there is no owner, and against an owner change
/// after which grants do not resume.
Test(Quota, ownerLossKeepsRates) {
  for (int64_t outageMs : {1200, 2500})
    for (int64_t rtt : {1, 20, 35})
      for (uint64_t seed : {1, 2, 3})
        cr_expect_geq(measureOwnerLoss(rtt, outageMs, seed), 0.9);
}

/// Guards against a customer with a small rate and burst that is starved, because no whole token
/// fits into the bucket or because tokens expire before their use. At 30 requests per second, the
/// time between two admissions must not exceed the ideal one by more than a round trip and 60 ms,
/// which is three intervals at which a VM reports uses and requests tokens.
Test(Quota, smallRatesAreServed) {
  std::vector<Limit> limits{{1, 1}, {2, 1}, {3, 1}, {5, 1}, {3, 2}, {5, 3}};
  for (int64_t rtt : {1, 20, 35}) {
    Simulation sim(rtt, roundTrip(rtt), limits, [](uint32_t, size_t, int64_t) { return 2.5; });
    sim.run(60'000);
    std::printf("small rates, 30 requests per second, round trip %ld ms, share of the rate:",
                long(rtt));
    for (size_t c = 0; c < limits.size(); ++c) {
      double ideal = double(limits[c].PerSecond);
      double admitted = double(sim.Log[c].size());
      std::printf(" %ld/s burst %ld: %.3f", long(ideal), long(limits[c].Burst),
                  admitted / 60 / ideal);
      cr_expect_geq(admitted, 60 / (1 / ideal + double(rtt + 60) / 1000) - 2);
      cr_assert(withinBound(sim.Log[c], limits[c], 0, sim.Now + 1));
    }
    std::printf("\n");
  }
}

/// Guards against VMs that are starved when the demand is several times the rate: each must get at
/// least half of an equal share, also in the second after the demand of one VM rises from below its
/// share to eight times that of the others. The rate must be used up, and the messages must stay
/// within the 4 KB/s that control traffic may use per node.
Test(Quota, scarceTokensAreSharedFairly) {
  for (int64_t rtt : {1, 20, 35}) {
    Limit limit{120, 120};
    constexpr int64_t lightUntil = 11'000; // Until then VM 0 demands less than its share.
    Simulation sim(rtt, roundTrip(rtt), {limit}, [](uint32_t vm, size_t, int64_t ms) {
      return vm != 0 ? 30.0 : ms < lightUntil ? 4.0 : 240.0;
    });
    sim.run(lightUntil - sim.Now);
    std::vector<int64_t> before(std::begin(sim.AdmittedBy), std::end(sim.AdmittedBy));
    sim.run(1000);
    for (uint32_t vm = 1; vm < Simulation::Vms; ++vm)
      cr_assert_geq(sim.AdmittedBy[vm] - before[vm], 120 / Simulation::Vms / 2);
    sim.run(20'000);
    int64_t total = static_cast<int64_t>(sim.Log[0].size());
    int64_t least = *std::min_element(std::begin(sim.AdmittedBy), std::end(sim.AdmittedBy));
    double bytes = double(sim.SentBytes) / Simulation::Vms / 31;
    std::printf("scarce, round trip %ld ms: %.4f of the rate, least VM %.2f of an "
                "equal share, %.0f bytes per VM and second\n",
                long(rtt), double(total) / (120 * 31),
                double(least) * Simulation::Vms / double(total), bytes);
    cr_assert_geq(least * Simulation::Vms * 2, total);
    cr_assert_geq(total, 120 * 31 * 99 / 100);
    cr_assert_leq(bytes, 4096);
  }
}

/// Guards against a token that is spent after its expiry while the control thread does not run, or
/// by a thread that was suspended between reading the clock and the call.
Test(Quota, expiredGrantsAreNotSpent) {
  CustomerId customer("a");
  QuotaHolder holder({}, VmId("vm"), Incarnation(1));
  receiveGrant(holder, customer, 3, Duration{500});
  cr_assert(holder.tryAdmit(customer, Time{1494}).Result == Admission::Admitted);
  cr_assert(holder.tryAdmit(customer, Time{1495}).Result != Admission::Admitted);
  (void)holder.tick(Time{1500});
  cr_assert(holder.tryAdmit(customer, Time{1494}).Result != Admission::Admitted, "stale clock");
}

/// Guards against a token that is spent by two traffic threads, or lost between them.
Test(Quota, threadsSpendEachTokenOnce) {
  constexpr int64_t tokens = 200'000;
  CustomerId customer("a");
  QuotaHolder holder({}, VmId("vm"), Incarnation(1));
  receiveGrant(holder, customer, tokens, Duration::seconds(1000));

  std::atomic<int64_t> admitted{0};
  std::vector<std::thread> threads;
  for (int n = 0; n < 4; ++n) {
    threads.emplace_back([&] {
      while (holder.tryAdmit(customer, Time{1002}).Result == Admission::Admitted)
        ++admitted;
    });
  }
  for (int64_t ms = 1002; admitted < tokens / 2 && ms < 100'000; ms += 10)
    (void)holder.tick(Time{ms});
  for (auto &thread : threads)
    thread.join();
  cr_assert_eq(admitted.load(), tokens);
}

/// Guards against a refill that starts before the latest possible time of a use, and against a
/// customer that is removed and added again while its old grants are still valid.
Test(Quota, ownerAssumesTheLatestUse) {
  CustomerId customer("a");
  QuotaOwner owner({}, [](Time) { return true; });
  owner.becomeOwner(Time{0}, Term(1));
  owner.setLimit(customer, Rate::perSecond(1), {1}, Time{0});
  GrantRequest request;
  request.Vm = VmId("vm");
  auto sendRequest = [&](int64_t ms, int64_t wanted, std::vector<GrantReport> reports) {
    ++request.Sequence;
    request.Customers = {{customer, wanted, std::move(reports)}};
    return owner.request(request, Time{ms}).Customers[0];
  };
  cr_assert_eq(sendRequest(2000, 1, {}).Tokens, 1);
  // Used 51 ms before the report, which is at 2,103 - 49 at the latest on the owner's clock.
  (void)sendRequest(2102, 0, {{Term(1), 1, 1, Duration{51}, false}});
  CustomerGrant next = sendRequest(2970, 1, {});
  cr_assert_eq(next.Tokens, 1);
  cr_assert_eq(next.Delay.Ms, 2103 - 49 + 1000 - 2970);

  owner.removeCustomer(customer, Time{3000});
  owner.setLimit(customer, Rate::perSecond(100), {1}, Time{3000});
  cr_assert_eq(sendRequest(3400, 1, {}).Tokens, 0);
  cr_assert_eq(sendRequest(3505, 1, {}).Delay.Ms, 10);
}

/// Guards against a returned reserve that is credited twice because its message was repeated, or by
/// an owner to which it was not returned.
Test(Quota, returnedReserveCountsOnce) {
  CustomerId customer("a");
  QuotaOwner owner({}, [](Time) { return true; });
  owner.becomeOwner(Time{0}, Term(3));
  owner.setLimit(customer, Rate::perSecond(100), {100}, Time{0});
  GrantRequest request;
  request.Vm = VmId("vm");
  auto returnReserve = [&](Term to) {
    ++request.Sequence;
    request.Customers = {{customer, 100, {}, ReserveReport{Term(1), 1, 0, to, 10'000, 5, 5}}};
    return owner.request(request, Time{100}).Customers[0].Tokens;
  };
  cr_assert_eq(returnReserve(Term(2)), 0);
  cr_assert_eq(returnReserve(Term(3)), 5);
  cr_assert_eq(returnReserve(Term(3)), 0);
}

/// Guards against grants that use up the bucket and leave no room for reserves of other VMs that
/// start to be used.
Test(Quota, grantsLeaveRoomForReserves) {
  CustomerId customer("a");
  QuotaOwner owner({}, [](Time) { return true; });
  owner.becomeOwner(Time{-10'000}, Term(1));
  owner.setLimit(customer, Rate::perSecond(100), {100}, Time{0});
  GrantRequest request;
  request.Vm = VmId("vm1");
  request.Sequence = 1;
  request.Customers = {{customer, 0, {}, ReserveReport{Term(), 0, 1000, Term(), 0, 0, 0}}};
  GrantResponse answer = owner.request(request, Time{200});
  cr_assert(answer.Customers[0].NextReserve.has_value());
  cr_assert_eq(answer.Customers[0].NextReserve->Depth, 50);
  // Half of the content; the bucket has 79 tokens below.
  cr_assert_eq(answer.Customers[0].NextReserve->InitialTokens, 10);
  request.Vm = VmId("vm2");
  request.Customers = {{customer, 100, {}}};
  cr_assert_eq(owner.request(request, Time{790}).Customers[0].Tokens, 50);
}

/// Guards against a used reserve that is not deducted when the VM acknowledges the next one.
Test(Quota, replacedReserveCountsAsUsed) {
  VmKey vm{VmId("vm"), Incarnation(1)};
  TokenBucket bucket(Rate::perSecond(100), {100}, Time{0});
  ReserveLedger ledger;
  ReserveLedger::Request request{1, 1000, 0, Rate::perSecond(85), {50}};
  cr_assert_eq(ledger.issue({}, vm, request, bucket, Time{1000})->InitialTokens, 50);
  // In use from 1,600 on: 50 initial tokens and 34 that accrued.
  (void)ledger.charge(bucket, Time{2000});
  request.Sequence = 2;
  (void)ledger.issue({}, vm, request, bucket, Time{2000});
  ledger.acknowledge(vm, 2, bucket, Time{2000});
  cr_assert_leq(bucket.levelAt(Time{2000}), (100 - 50 - 34) * MicroTokens);
}

/// Guards against a reserve that is used before its start, after its end or after its return, and
/// against one that is returned to two owners.
Test(Quota, heldReserveIsUsedOrReturned) {
  GrantResponse answer;
  answer.Epoch = Term(1);
  answer.Sequence = 1;
  answer.ReserveDelay = Duration{600};
  answer.ReserveLength = Duration{3000};
  CustomerGrant grant;
  grant.NextReserve = Reserve{10'000, 5, 5};
  HeldReserve held;
  held.receive(answer, grant, Time{0}, Time{10});
  HeldReserve other = held;
  cr_assert(!held.take(Time{616})); // 10 + 600 + clock-rate margin + 1 for rounding to whole ms.
  cr_assert(held.take(Time{617}));
  cr_assert(other.take(Time{2969}));
  cr_assert(!other.take(Time{2970}));

  CustomerGrant none;
  answer.Epoch = Term(2);
  answer.Sequence = 2;
  held.receive(answer, none, Time{690}, Time{700});
  cr_assert(!held.take(Time{701}));
  ReserveReport report = held.report(3, 0, Time{701});
  cr_assert_eq(report.ReturnTo.Value, 2);
  cr_assert_eq(report.Tokens, 4);
  answer.Epoch = Term(3);
  answer.Sequence = 4;
  held.receive(answer, none, Time{710}, Time{720});
  cr_assert_eq(held.report(5, 0, Time{720}).ReturnTo.Value, 0);
  cr_assert(!held.take(Time{721}));
}

/// Guards against requests that wait for a customer without a limit.
Test(Quota, unknownCustomerIsRefused) {
  QuotaOwner owner({}, [](Time) { return true; });
  owner.becomeOwner(Time{0}, Term(1));
  QuotaHolder holder({}, VmId("vm"), Incarnation(1));
  CustomerId unknown("b");
  cr_assert(holder.tryAdmit(unknown, Time{1000}).Result == Admission::Wait);
  for (const GrantRequest &request : holder.tick(Time{1000}))
    holder.receive(owner.request(request, Time{1000}), Time{1001});
  cr_assert(holder.tryAdmit(unknown, Time{1001}).Result == Admission::Refused);
  cr_assert(holder.retryAdmit(unknown, Time{1001}, Time{1000}).Result == Admission::Refused);
}

/// Guards against a malformed message that crashes the process or grants a negative number of
/// tokens.
Test(Quota, malformedMessagesAreErrors) {
  GrantRequest request;
  request.Vm = VmId("vm");
  request.Customers.push_back({CustomerId("a"), 3, {{Term(1), 7, 2, Duration{5}, true}}});
  GrantResponse answer;
  answer.Vm = request.Vm;
  CustomerGrant grant;
  grant.Customer = CustomerId("a");
  grant.Tokens = 9;
  answer.Customers.push_back(grant);
  cr_assert_eq(decodeGrantRequest(encode(request))->Customers[0].Reports[0].LastUse.Ms, 5);
  cr_assert_eq(decodeGrantResponse(encode(answer))->Customers[0].Tokens, 9);
  checkProperty("changed bytes return a status", [&](uint8_t value, uint16_t at) {
    std::string buf = encode(answer);
    buf[at % buf.size()] = static_cast<char>(value);
    auto decoded = decodeGrantResponse(buf);
    if (decoded.ok() && !decoded->Customers.empty())
      RC_ASSERT(decoded->Customers[0].Tokens >= 0);
    buf = encode(request);
    buf[at % buf.size()] = static_cast<char>(value);
    auto other = decodeGrantRequest(buf);
    if (other.ok() && !other->Customers.empty())
      RC_ASSERT(other->Customers[0].Wanted >= 0);
  });
}
