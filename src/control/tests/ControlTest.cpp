#include "control/ControlResponseBuilder.h"
#include "control/ControlStateMachine.h"
#include "control/DeliveryTracker.h"
#include "control/DeltaCache.h"
#include "control/DemandAggregator.h"
#include "control/EntryRegistry.h"
#include "control/RateAllocator.h"
#include "control/RolloutEvaluator.h"
#include "core/Hash.h"
#include "core/testing/Property.h"

#include <algorithm>

using namespace briarspar;
using namespace briarspar::control;
using namespace briarspar::core;

namespace {

catalog::Rollout rollout() {
  catalog::Rollout it;
  it.Service = "s";
  it.From = "v1";
  it.Target = "v2";
  it.Period = Duration{16'000};
  it.OrderedAt = LogIndex(5);
  return it;
}

/// Result of a simulated rollout at 160 requests per second.
struct Simulation {
  catalog::RolloutState State = catalog::RolloutState::Running;
  int64_t EndMs = 0;
  uint64_t NewRequests = 0;
  uint64_t BadResponses = 0;
  uint64_t AllRequests = 0;
};

/// Share of requests that time out at slow targets of each version.
struct SlowTargets {
  double Old = 0;
  double New = 0;
};

Simulation simulateRollout(const std::function<double(uint32_t share, int64_t ms)> &failureRate,
                           double latencyFactor = 1, const SlowTargets &slow = {}) {
  RolloutEvaluator evaluator;
  catalog::Rollout current = rollout();
  Simulation out;
  link::VersionCounts newCounts{"s", "v2", "r", 0, 0, 0, 0, 0, current.OrderedAt};
  link::VersionCounts oldCounts{"s", "v1", "r", 0, 0, 0, 0, 0, current.OrderedAt};
  double newCredit = 0;
  double failureCredit = 0;
  double newTimeOutCredit = 0;
  double oldTimeOutCredit = 0;
  uint32_t share = 0;
  std::vector<std::pair<int64_t, RolloutEvaluator::Step>> inTransit;
  for (int64_t ms = 0; ms < 20'000; ms += 100) {
    for (int k = 0; k < 16 && out.State == catalog::RolloutState::Running; ++k) {
      ++out.AllRequests;
      newCredit += share / 1000.0;
      if (newCredit < 1) {
        ++oldCounts.Requests;
        oldTimeOutCredit += slow.Old;
        if (oldTimeOutCredit >= 1) {
          oldTimeOutCredit -= 1;
          ++oldCounts.TimeOuts;
        } else {
          oldCounts.LatencyMs += 300;
        }
        continue;
      }
      newCredit -= 1;
      ++newCounts.Requests;
      ++out.NewRequests;
      newTimeOutCredit += slow.New;
      if (newTimeOutCredit >= 1) {
        newTimeOutCredit -= 1;
        ++newCounts.TimeOuts;
        continue;
      }
      failureCredit += failureRate(share, ms);
      if (failureCredit >= 1) {
        failureCredit -= 1;
        ++newCounts.Failures;
        ++out.BadResponses;
      } else {
        newCounts.LatencyMs += static_cast<uint64_t>(300 * latencyFactor);
      }
    }
    // Reports arrive every 400 ms, and a step takes 300 ms to reach the entry VMs.
    if (ms % 400 == 0)
      evaluator.report(VmId("vm"), Incarnation(1),
                       std::vector<link::VersionCounts>{newCounts, oldCounts});
    if (auto step = evaluator.next(current, true, Time{ms})) {
      inTransit.emplace_back(ms + 300, *step);
      current.State = step->State;
      current.SharePermille = step->SharePermille;
    }
    while (!inTransit.empty() && inTransit.front().first <= ms) {
      share = inTransit.front().second.SharePermille;
      out.State = inTransit.front().second.State;
      out.EndMs = ms;
      inTransit.erase(inTransit.begin());
    }
  }
  return out;
}

} // namespace

/// Guards against a bad version that receives more than a tenth of the requests, or is not rolled
/// back, when it fails from the start, fails later, or fails only under load.
Test(RolloutEvaluator, badVersionIsRolledBack) {
  for (int kind = 0; kind < 3; ++kind) {
    Simulation it = simulateRollout([kind](uint32_t share, int64_t ms) {
      return kind == 0 ? 0.5 : kind == 1 ? (ms > 4000 ? 0.5 : 0.0) : (share > 200 ? 0.5 : 0.0);
    });
    cr_assert(it.State == catalog::RolloutState::RolledBack, "kind %d", kind);
    cr_assert_leq(it.BadResponses, 60, "kind %d", kind);
    cr_assert_leq(it.NewRequests, it.AllRequests / 10 + 50, "kind %d", kind);
  }
  cr_assert(simulateRollout([](uint32_t, int64_t) { return 0.0; }, 8).State ==
            catalog::RolloutState::RolledBack);
}

/// Guards against a good version that does not complete in time, or is rolled back because its
/// targets start cold.
Test(RolloutEvaluator, goodVersionCompletesInTime) {
  Simulation it = simulateRollout([](uint32_t, int64_t) { return 0.004; }, 1.8);
  cr_assert(it.State == catalog::RolloutState::Completed);
  cr_assert_leq(it.EndMs, 16'000);
}

/// Guards against a bad version that passes because requests to the old version time out at slow
/// targets, and against a good version that does not complete beside the same slow targets.
Test(RolloutEvaluator, slowTargetsDoNotHideFailures) {
  for (double slow : {0.1, 0.2, 0.3}) {
    Simulation bad =
        simulateRollout([](uint32_t, int64_t) { return 0.5; }, 1, SlowTargets{slow, slow});
    cr_assert(bad.State == catalog::RolloutState::RolledBack);
    cr_assert_leq(bad.NewRequests, bad.AllRequests / 10 + 50);
    Simulation good =
        simulateRollout([](uint32_t, int64_t) { return 0.004; }, 1, SlowTargets{slow, slow});
    cr_assert(good.State == catalog::RolloutState::Completed);
    cr_assert_leq(good.EndMs, 16'000);
  }
  // Only the old version has slow targets.
  cr_assert(simulateRollout([](uint32_t, int64_t) { return 0.25; }, 1, SlowTargets{0.4, 0}).State ==
            catalog::RolloutState::RolledBack);
}

/// Guards against counters from before the order that decide on a version.
Test(RolloutEvaluator, countersOfAnotherOrderAreIgnored) {
  RolloutEvaluator evaluator;
  catalog::Rollout current = rollout();
  current.SharePermille = RolloutEvaluatorSettings().CanaryPermille;
  (void)evaluator.next(current, true, Time{0});
  evaluator.report(
      VmId("vm"), Incarnation(1),
      std::vector<link::VersionCounts>{{"s", "v1", "r", 1000, 300, 210'000, 0, 0, LogIndex(4)},
                                       {"s", "v2", "r", 40, 12, 8400, 0, 0, current.OrderedAt},
                                       {"s", "v1", "r", 400, 0, 120'000, 0, 0, current.OrderedAt}});
  cr_assert(evaluator.next(current, true, Time{100})->State == catalog::RolloutState::RolledBack);
}

/// Guards against a version that goes on by time alone, without outcomes that speak for it.
Test(RolloutEvaluator, stepIsHeldWithoutOutcomes) {
  RolloutEvaluator evaluator;
  catalog::Rollout current = rollout();
  current.SharePermille = RolloutEvaluatorSettings().RampPermille;
  evaluator.report(
      VmId("vm"), Incarnation(1),
      std::vector<link::VersionCounts>{{"s", "v2", "r", 9, 0, 2700, 0, 0, current.OrderedAt}});
  for (int64_t ms = 0; ms < 20'000; ms += 100)
    if (auto step = evaluator.next(current, true, Time{ms}))
      cr_assert_eq(step->SharePermille, RolloutEvaluatorSettings().RampPermille);
}

/// Guards against look-ups that return VMs which have stopped or no longer report.
Test(EntryRegistry, lookupReturnsOnlyLiveVms) {
  EntryRegistry registry;
  auto report = [&](const char *vm, const char *domain, uint64_t run, bool stopping, int64_t ms) {
    link::EntryReport it;
    it.Region = RegionId("r");
    it.Domain = DomainId(domain);
    it.Address = vm;
    it.Serving = true;
    it.Stopping = stopping;
    registry.report(VmId(vm), Incarnation(run), it, Time{ms});
  };
  report("a", "z1", 1, false, 0);
  report("b", "z1", 1, false, 0);
  report("c", "z2", 1, false, 0);
  auto isInLookup = [&](int64_t ms, const char *vm) {
    auto all = registry.lookup(RegionId("r"), DomainId("z1"), Time{ms});
    return std::count(all.begin(), all.end(), vm) != 0;
  };
  auto addresses = [&](int64_t ms) {
    return registry.lookup(RegionId("r"), DomainId("z1"), Time{ms});
  };
  cr_assert_eq(addresses(100).size(), 2);
  report("a", "z1", 1, true, 200);
  cr_assert_eq(addresses(300).size(), 2, "a domain with one VM falls back to its region");
  cr_assert_not(isInLookup(300, "a"));
  // A late message of the stopping process does not make the VM live again; a new process does.
  report("a", "z1", 1, false, 400);
  cr_assert_not(isInLookup(500, "a"));
  report("a", "z1", 2, false, 600);
  cr_assert_eq(addresses(700).size(), 2);
  report("c", "z2", 1, false, 4000);
  cr_assert_eq(addresses(4100).size(), 1);
  cr_assert(isInLookup(4100, "c"));
  cr_assert_eq(registry.takeLost(Time{4100}).size(), 2);
}

/// Guards against VMs that flap in the look-ups of followers, which receive fewer reports than the
/// leader, and against followers that keep returning lost VMs.
Test(EntryRegistry, followersMarkVmsUnreachable) {
  EntryRegistry registry;
  link::EntryReport report;
  report.Serving = true;
  report.Sequence = 0;
  registry.report(VmId("a"), Incarnation(1), report, Time{0});
  cr_assert_eq(registry.live(Time{2500}).size(), 1);
  cr_assert_eq(registry.live(Time{3100}).size(), 0);
  registry.report(VmId("a"), Incarnation(2), report, Time{4000});
  registry.markUnreachable({VmId("a"), Incarnation(1)});
  cr_assert_eq(registry.live(Time{4100}).size(), 1, "a notice for an earlier process is ignored");
  registry.markUnreachable({VmId("a"), Incarnation(2)});
  cr_assert_eq(registry.live(Time{4100}).size(), 0);
  registry.report(VmId("a"), Incarnation(2), report, Time{5000});
  cr_assert_eq(registry.live(Time{5100}).size(), 1);
  // The leader itself receives a report from each VM every 400 ms.
  report.Sequence = 7;
  registry.report(VmId("a"), Incarnation(2), report, Time{5200});
  cr_assert_eq(registry.live(Time{6800}).size(), 0);
}

/// Guards against a crash when a VM is both lost and removed in one call, after the host of this
/// process was suspended for a long time.
Test(EntryRegistry, longPauseRemovesVmsInOneCall) {
  EntryRegistry registry;
  link::EntryReport report;
  report.Serving = true;
  registry.report(VmId("a"), Incarnation(1), report, Time{0});
  auto lost = registry.takeLost(Time{100'000});
  cr_assert_eq(lost.size(), 1);
  cr_assert_eq(lost[0].Silent.Ms, 100'000);
  cr_assert(registry.records().empty());
}

/// Guards against shares above the full rate when a leader briefly loses its lease and regains it
/// in the same term while a response is in transit.
Test(RateAllocator, repeatedTermKeepsGrantedShares) {
  catalog::Customer customer;
  customer.Name = "c";
  customer.RatePerS = 100;
  catalog::ItemMap<catalog::Customer> shelf;
  shelf["c"] = {catalog::ItemVersion(1), LogIndex(1), customer, ""};
  RateAllocator allocator;
  allocator.setRates(shelf);
  allocator.becomeLeader(Term(3), {}, Time{0});
  link::RateHolders holders(
      {{VmId("a"), RegionId("r"), DomainId("z")}, {VmId("b"), RegionId("r"), DomainId("z")}});
  auto sendReport = [&](const char *vm, double demand, uint32_t held, int64_t ms) {
    std::vector<link::CustomerUsage> uses{{"c", demand, held}};
    return allocator.allocate(VmId(vm), Incarnation(1), Term(3), uses, holders, Time{ms})[0]
        .Permille;
  };
  uint32_t first = sendReport("a", 60, 0, 4000);
  allocator.becomeLeader(Term(3), {VmId("a"), VmId("b")}, Time{4010});
  // The report of "a" was sent before its share arrived.
  (void)sendReport("a", 0, 0, 4020);
  uint32_t second = sendReport("b", 90, 0, 4030);
  cr_assert_leq(first + second, 1000);
}

/// Guards against a reserve that grows when VMs are cut off, as these still use their part: the VMs
/// of earlier leaders and those that no longer report are counted until they are forgotten.
Test(RateAllocator, silentVmsDivideTheReserve) {
  catalog::Customer customer;
  customer.Name = "c";
  customer.RatePerS = 100;
  catalog::ItemMap<catalog::Customer> shelf;
  shelf["c"] = {catalog::ItemVersion(1), LogIndex(1), customer, ""};
  RateAllocatorSettings settings;
  settings.ReserveRetention = Duration{60'000};
  RateAllocator allocator(settings);
  allocator.setRates(shelf);
  allocator.becomeLeader(Term(3), {VmId("cut off"), VmId("a")}, Time{0});
  const link::RateHolders holders({{VmId("a"), RegionId("r"), DomainId("z")}});
  auto reserveVms = [&](const char *vm, int64_t ms) {
    const std::vector<link::CustomerUsage> uses{{"c", 0, 0}};
    return allocator.allocate(VmId(vm), Incarnation(1), Term(3), uses, holders, Time{ms})[0].Vms;
  };
  cr_assert_eq(reserveVms("a", 400), 2);
  cr_assert_eq(reserveVms("starting", 800), 3);
  cr_assert_eq(reserveVms("a", 59'000), 3);
  cr_assert_eq(reserveVms("a", 62'000), 1);
}

/// Guards against a large delta that is sent again with every response while still in transit,
/// which saturates the link of a VM. Load: 280 KB over a link of 2 Mbit/s, and a report every 400
/// ms.
Test(DeliveryTracker, largeDeltaIsSentOnce) {
  DeliveryTracker tracker;
  const VmId vm("vm");
  const SyncedVersions old{LogIndex(5), {1, 3}};
  const SyncedVersions large{LogIndex(6), {1, 3}};
  tracker.report(vm, Incarnation(1), old, Time{0});
  cr_assert_eq(tracker.base(vm, Time{0}).Catalog, LogIndex(5));
  tracker.sent(vm, large, 280'000, Time{0});
  for (int64_t ms = 400; ms <= 1600; ms += 400) {
    tracker.report(vm, Incarnation(1), old, Time{ms});
    cr_assert_eq(tracker.base(vm, Time{ms}).Catalog, LogIndex(6));
  }
  // Later deltas build on those in transit.
  tracker.sent(vm, {LogIndex(7), {1, 4}}, 500, Time{1700});
  cr_assert_eq(tracker.base(vm, Time{1800}).Catalog, LogIndex(7));
  cr_assert_eq(tracker.base(vm, Time{1800}).List.Sequence, 4);
  // A delta not confirmed by its deadline counts as lost.
  cr_assert_eq(tracker.base(vm, Time{20'000}).Catalog, LogIndex(5));
  // A new process holds nothing of what was sent to its predecessor.
  tracker.sent(vm, large, 280'000, Time{20'000});
  tracker.report(vm, Incarnation(2), {}, Time{20'100});
  cr_assert_eq(tracker.base(vm, Time{20'100}).Catalog, LogIndex());
}

/// Guards against a VM that misses a delta and never receives it, because later deltas that build
/// on it keep being sent. Load: a change of the list every 500 ms, of which the second is lost.
Test(DeliveryTracker, lostDeltaIsSentAgainDespiteLaterOnes) {
  DeliveryTracker tracker;
  const VmId vm("vm");
  tracker.report(vm, Incarnation(1), {LogIndex(5), {1, 1}}, Time{0});
  tracker.sent(vm, {LogIndex(5), {1, 2}}, 500, Time{0});
  tracker.report(vm, Incarnation(1), {LogIndex(5), {1, 2}}, Time{400});
  int64_t resentAt = 0;
  for (int64_t ms = 500; ms < 5000 && resentAt == 0; ms += 100) {
    if (ms % 400 == 0)
      tracker.report(vm, Incarnation(1), {LogIndex(5), {1, 2}}, Time{ms});
    if (tracker.base(vm, Time{ms}).List.Sequence == 2 && ms > 500)
      resentAt = ms;
    if (ms % 500 == 0)
      tracker.sent(vm, {LogIndex(5), {1, static_cast<uint64_t>(2 + ms / 500)}}, 500, Time{ms});
  }
  cr_assert_neq(resentAt, 0);
  cr_assert_leq(resentAt, 2000, "%d", static_cast<int>(resentAt));
}

/// Guards against object homes that move on a change of leader, because the new leader has samples
/// of only a few VMs.
Test(DemandAggregator, newLeaderWaitsForAllSamples) {
  DemandAggregator aggregator;
  link::ServiceSample sample{"s", {1, 2, 3}, 4};
  aggregator.report(VmId("a"), RegionId("r"), {&sample, 1}, Time{9900});
  aggregator.becomeLeader(Time{10'000});
  aggregator.report(VmId("b"), RegionId("r"), {&sample, 1}, Time{10'100});
  cr_assert(aggregator.demand(Time{10'200}).empty());
  aggregator.report(VmId("a"), RegionId("r"), {&sample, 1}, Time{10'900});
  aggregator.report(VmId("b"), RegionId("r"), {&sample, 1}, Time{11'100});
  const std::vector<link::ServiceDemand> &demand = aggregator.demand(Time{11'600});
  cr_assert_eq(demand.size(), 1);
  cr_assert_float_eq(demand[0].Slots, 8, 1e-6);
}

/// Guards against shares for a VM that later leaders would not wait for, against sending the list
/// of entry VMs in each response, and against resending the configuration while it is in transit.
Test(ControlResponseBuilder, sendsOnlyWhatTheVmLacks) {
  catalog::Catalog catalog;
  catalog::Change change;
  catalog::Customer customer;
  customer.Name = "c";
  customer.RatePerS = 100;
  customer.Burst = 100;
  customer.Keys = {"k"};
  change.Customers.push_back({catalog::ItemVersion(1), customer, "{}"});
  cr_assert(catalog.apply(change, LogIndex(1)).ok());
  discovery::TargetList targets;
  EntryRegistry registry;
  ControlResponseBuilder builder(catalog, targets, registry, 1);
  builder.becomeLeader(Term(1), {}, Time{0});
  const VmId vm("vm");
  link::EntryReport report;
  report.Sequence = 1;
  report.Region = RegionId("r");
  report.Domain = DomainId("z");
  report.LeaderTerm = Term(1);
  report.Usage = {{"c", 10, 0}};
  auto sendReport = [&](bool mayHoldShares, int64_t ms) {
    registry.report(vm, Incarnation(1), report, Time{ms});
    builder.recordSyncedVersions(vm, Incarnation(1), report, Time{ms});
    link::ControlResponse answer;
    builder.addChanges(answer, vm, Time{ms});
    cr_assert(builder.addReply(answer, vm, Incarnation(1), report, mayHoldShares, Time{ms}).ok());
    (void)builder.encodeFor(vm, answer, Time{ms});
    return answer;
  };
  link::ControlResponse first = sendReport(false, 5000);
  cr_assert(first.Shares.empty());
  cr_assert_not(first.CatalogDelta.empty());
  cr_assert_eq(first.Entries.Set.size(), 1);
  report.EntriesDigest = link::digestOf(first.Entries.Set);
  link::ControlResponse second = sendReport(true, 5400);
  cr_assert_eq(second.Shares.size(), 1);
  cr_assert_gt(second.Shares[0].Permille, 0);
  cr_assert(second.CatalogDelta.empty());
  cr_assert(second.Entries.empty());
  // Slowly changing parts are sent at intervals, and immediately to a new process.
  cr_assert(builder.claimSlowUpdate(vm, Incarnation(1), Time{5000}));
  cr_assert_not(builder.claimSlowUpdate(vm, Incarnation(1), Time{5400}));
  cr_assert(builder.claimSlowUpdate(vm, Incarnation(1), Time{5800}));
  cr_assert(builder.claimSlowUpdate(vm, Incarnation(2), Time{5900}));
  // An unconfirmed delta is sent again after its deadline.
  cr_assert_not(sendReport(true, 9000).CatalogDelta.empty());
}

/// Guards against a leader that encodes a large change separately for many VMs and loses its lease
/// meanwhile, and against cached bytes older than the configuration.
Test(DeltaCache, deltaIsEncodedOnce) {
  catalog::Catalog catalog;
  auto add = [&](const char *name, uint64_t index) {
    catalog::Change change;
    catalog::Service service;
    service.Name = name;
    change.Services.push_back({catalog::ItemVersion(1), service, "{}"});
    cr_assert(catalog.apply(change, LogIndex(index)).ok());
  };
  add("a", 1);
  DeltaCache deltas;
  const std::string *first = &deltas.catalog(catalog, LogIndex());
  const char *bytes = first->data();
  cr_assert_eq(deltas.catalog(catalog, LogIndex()).data(), bytes);
  add("b", 2);
  auto decoded = decodeCbor(deltas.catalog(catalog, LogIndex(1)));
  cr_assert(decoded.ok());
  cr_assert(*decoded == catalog.deltaSince(LogIndex(1)));
  cr_assert(*decodeCbor(deltas.catalog(catalog, LogIndex())) == catalog.deltaSince(LogIndex()));
  discovery::TargetList list;
  list.startEpoch(3);
  discovery::Target target;
  target.Id = TargetId("t");
  target.Service = "a";
  target.Host = "10.0.0.1";
  list.update({target}, Time{0});
  const char *listBytes = deltas.list(list, {2, 7}, Time{0}).data();
  cr_assert_eq(deltas.list(list, {1, 4}, Time{10}).data(), listBytes);
  cr_assert(*decodeCbor(deltas.list(list, {}, Time{20})) == list.deltaSince({}, Time{0}));
}

/// Guards against a wrong number of objects when no single VM sees all of them. Load: 27 VMs, each
/// of which sees a tenth of 800 objects; only one VM remains later.
Test(DemandAggregator, estimatesObjectsAcrossVms) {
  DemandAggregator aggregator;
  uint64_t state = 20261204;
  auto random = [&state] {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state >> 33;
  };
  auto report = [&](size_t vm, int64_t ms) {
    std::set<uint32_t> seen;
    while (seen.size() < 80)
      seen.insert(static_cast<uint32_t>(hash64(std::to_string(random() % 800)) >> 32));
    link::ServiceSample sample{"s", {seen.begin(), seen.end()}, 0.5};
    sample.MinHashes.resize(link::SketchSize);
    aggregator.report(VmId("vm" + std::to_string(vm)), RegionId("r"), {&sample, 1}, Time{ms});
  };
  for (size_t vm = 0; vm < 27; ++vm)
    report(vm, 0);
  std::vector<link::ServiceDemand> counts = aggregator.demand(Time{1000});
  cr_assert_eq(counts.size(), 1);
  cr_assert_float_eq(counts[0].Objects, 800, 200);
  cr_assert_float_eq(counts[0].Slots, 13.5, 1e-6);
  // Without new object samples, only the slots are updated.
  link::ServiceSample slots{"s", {}, 0.5};
  for (size_t vm = 0; vm < 27; ++vm)
    aggregator.report(VmId("vm" + std::to_string(vm)), RegionId("r"), {&slots, 1}, Time{1500});
  cr_assert_float_eq(aggregator.demand(Time{2000})[0].Objects, 800, 200);
  // The count of the remaining VM is exact, because it has fewer objects than the sketch size.
  link::ServiceSample few{"s", {1, 2, 3}, 0.25};
  aggregator.report(VmId("vm0"), RegionId("r"), {&few, 1}, Time{6600});
  counts = aggregator.demand(Time{6610});
  cr_assert_eq(counts.size(), 1);
  cr_assert_eq(counts[0].Objects, 3);
  cr_assert_float_eq(counts[0].Slots, 0.25, 1e-6);
}

/// Guards against state that differs between voters after a snapshot.
Test(ControlStateMachine, snapshotRestoresAllState) {
  ControlStateMachine machine;
  catalog::Change change;
  catalog::Service service;
  service.Name = "s";
  change.Services.push_back({catalog::ItemVersion(1), service, "{}"});
  cr_assert(decodeOutcome(machine.apply(LogIndex(1), encode(Command(ChangeItems{change})))).ok());
  (void)machine.apply(LogIndex(2), encode(Command(StartRollout{"s", "v1", "v2", Duration{9000}})));
  (void)machine.apply(LogIndex(3), encode(Command(SetEvacuation{DomainId("z"), true})));
  (void)machine.apply(LogIndex(4), encode(Command(SetEntry{VmId("a"), true})));
  ControlStateMachine copy;
  cr_assert(copy.restore(machine.snapshot()).ok());
  cr_assert_eq(copy.snapshot(), machine.snapshot());
  cr_assert(copy.catalog().isEvacuated("z"));
  cr_assert_eq(copy.entries().size(), 1);
  cr_assert(copy.catalog().rollouts().at("s").Target == "v2");
}

/// Guards against a malformed command in the log that crashes a voter.
Test(ControlStateMachine, malformedCommandsAreRefused) {
  testing::checkProperty("malformed commands return an error",
                         [](const std::vector<uint8_t> &bytes) {
                           ControlStateMachine machine;
                           std::string buf(bytes.begin(), bytes.end());
                           RC_ASSERT_FALSE(decodeOutcome(machine.apply(LogIndex(1), buf)).ok());
                         });
}
