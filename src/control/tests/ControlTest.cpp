#include "control/ControlAnswerBuilder.h"
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

/// Plays a rollout at 160 requests a second of the service: `isBad` tells whether the new version
/// fails at a share and a time.
struct Played {
  catalog::RolloutState State = catalog::RolloutState::Running;
  int64_t EndMs = 0;
  uint64_t NewRequests = 0;
  uint64_t BadAnswers = 0;
  uint64_t AllRequests = 0;
};

Played play(const std::function<double(uint32_t share, int64_t ms)> &failureRate, double slow = 1) {
  RolloutEvaluator judge;
  catalog::Rollout current = rollout();
  Played out;
  link::VersionCounts news{"s", "v2", "r", 0, 0, 0};
  link::VersionCounts olds{"s", "v1", "r", 0, 0, 0};
  double credit = 0;
  double bad = 0;
  uint32_t share = 0;
  std::vector<std::pair<int64_t, RolloutEvaluator::Step>> onTheWay;
  for (int64_t ms = 0; ms < 20'000; ms += 100) {
    for (int k = 0; k < 16 && out.State == catalog::RolloutState::Running; ++k) {
      ++out.AllRequests;
      credit += share / 1000.0;
      if (credit < 1) {
        ++olds.Requests;
        olds.LatencyMs += 300;
        continue;
      }
      credit -= 1;
      ++news.Requests;
      ++out.NewRequests;
      bad += failureRate(share, ms);
      if (bad >= 1) {
        bad -= 1;
        ++news.Failures;
        ++out.BadAnswers;
      } else {
        news.LatencyMs += static_cast<uint64_t>(300 * slow);
      }
    }
    // Reports come every 400 ms, and a step takes 300 ms to reach the entry VMs.
    if (ms % 400 == 0)
      judge.report(VmId("vm"), Incarnation(1), std::vector<link::VersionCounts>{news, olds});
    if (auto step = judge.next(current, true, Time{ms})) {
      onTheWay.emplace_back(ms + 300, *step);
      current.State = step->State;
      current.SharePermille = step->SharePermille;
    }
    while (!onTheWay.empty() && onTheWay.front().first <= ms) {
      share = onTheWay.front().second.SharePermille;
      out.State = onTheWay.front().second.State;
      out.EndMs = ms;
      onTheWay.erase(onTheWay.begin());
    }
  }
  return out;
}

} // namespace

/// Guards against a bad version that gets more than a tenth of the requests, or that stays after it
/// has shown itself bad, when it fails from the start, later or only under load.
Test(RolloutEvaluator, aBadVersionIsRolledBack) {
  for (int kind = 0; kind < 3; ++kind) {
    Played it = play([kind](uint32_t share, int64_t ms) {
      return kind == 0 ? 0.5 : kind == 1 ? (ms > 4000 ? 0.5 : 0.0) : (share > 200 ? 0.5 : 0.0);
    });
    cr_assert(it.State == catalog::RolloutState::RolledBack, "kind %d", kind);
    cr_assert_leq(it.BadAnswers, 60, "kind %d", kind);
    cr_assert_leq(it.NewRequests, it.AllRequests / 10 + 50, "kind %d", kind);
  }
  cr_assert(play([](uint32_t, int64_t) { return 0.0; }, 8).State ==
            catalog::RolloutState::RolledBack);
}

/// Guards against a good version that is not done in time, or is taken back because it starts cold.
Test(RolloutEvaluator, aGoodVersionCompletesInTime) {
  Played it = play([](uint32_t, int64_t) { return 0.004; }, 1.8);
  cr_assert(it.State == catalog::RolloutState::Completed);
  cr_assert_leq(it.EndMs, 16'000);
}

/// Guards against a look-up that names VMs which have stopped or fallen silent.
Test(EntryRegistry, onlyLiveVmsAreNamed) {
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
  auto isNamed = [&](int64_t ms, const char *vm) {
    auto all = registry.lookup(RegionId("r"), DomainId("z1"), Time{ms});
    return std::count(all.begin(), all.end(), vm) != 0;
  };
  auto names = [&](int64_t ms) { return registry.lookup(RegionId("r"), DomainId("z1"), Time{ms}); };
  cr_assert_eq(names(100).size(), 2);
  report("a", "z1", 1, true, 200);
  cr_assert_eq(names(300).size(), 2, "one VM of the domain is too few: its region is named");
  cr_assert_not(isNamed(300, "a"));
  // A late message of the run that stops does not bring it back; a new run does.
  report("a", "z1", 1, false, 400);
  cr_assert_not(isNamed(500, "a"));
  report("a", "z1", 2, false, 600);
  cr_assert_eq(names(700).size(), 2);
  report("c", "z2", 1, false, 4000);
  cr_assert_eq(names(4100).size(), 1);
  cr_assert(isNamed(4100, "c"));
  cr_assert_eq(registry.takeLost(Time{4100}).size(), 2);
}

/// Guards against VMs that come and go in the look-ups of control VMs that hear from them less
/// often than the leader, and against lost VMs that these go on naming.
Test(EntryRegistry, theLeaderTellsOthersOfLostVms) {
  EntryRegistry registry;
  link::EntryReport report;
  report.Serving = true;
  report.Sequence = 0;
  registry.report(VmId("a"), Incarnation(1), report, Time{0});
  cr_assert_eq(registry.live(Time{2500}).size(), 1);
  cr_assert_eq(registry.live(Time{3100}).size(), 0);
  registry.report(VmId("a"), Incarnation(2), report, Time{4000});
  registry.markUnreachable({VmId("a"), Incarnation(1)});
  cr_assert_eq(registry.live(Time{4100}).size(), 1, "the next run is another one");
  registry.markUnreachable({VmId("a"), Incarnation(2)});
  cr_assert_eq(registry.live(Time{4100}).size(), 0);
  registry.report(VmId("a"), Incarnation(2), report, Time{5000});
  cr_assert_eq(registry.live(Time{5100}).size(), 1);
  // The leader itself hears from each VM every 400 ms.
  report.Sequence = 7;
  registry.report(VmId("a"), Incarnation(2), report, Time{5200});
  cr_assert_eq(registry.live(Time{6800}).size(), 0);
}

/// Guards against a process that ends because a VM is lost and forgotten at once, after its own
/// host was suspended for long.
Test(EntryRegistry, aLongPauseLosesEverythingAtOnce) {
  EntryRegistry registry;
  link::EntryReport report;
  report.Serving = true;
  registry.report(VmId("a"), Incarnation(1), report, Time{0});
  auto lost = registry.takeLost(Time{100'000});
  cr_assert_eq(lost.size(), 1);
  cr_assert_eq(lost[0].Silent.Ms, 100'000);
  cr_assert(registry.records().empty());
}

/// Guards against shares beyond the whole rate when a leader loses its lease for a moment and gains
/// it again in the same term, while an answer is on its way.
Test(RateAllocator, theSameTermKeepsWhatWasGranted) {
  catalog::Customer customer;
  customer.Name = "c";
  customer.RatePerS = 100;
  catalog::ItemMap<catalog::Customer> shelf;
  shelf["c"] = {catalog::ItemVersion(1), LogIndex(1), customer, ""};
  RateAllocator division;
  division.setRates(shelf);
  division.becomeLeader(Term(3), {}, Time{0});
  link::RateHolders holders(
      {{VmId("a"), RegionId("r"), DomainId("z")}, {VmId("b"), RegionId("r"), DomainId("z")}});
  auto ask = [&](const char *vm, double demand, uint32_t held, int64_t ms) {
    std::vector<link::CustomerUsage> uses{{"c", demand, held}};
    return division.allocate(VmId(vm), Incarnation(1), Term(3), uses, holders, Time{ms})[0]
        .Permille;
  };
  uint32_t first = ask("a", 60, 0, 4000);
  division.becomeLeader(Term(3), {VmId("a"), VmId("b")}, Time{4010});
  // The report of "a" was sent before its share arrived.
  (void)ask("a", 0, 0, 4020);
  uint32_t second = ask("b", 90, 0, 4030);
  cr_assert_leq(first + second, 1000);
}

/// Guards against a large change that is sent again with every answer while it is on its way, which
/// fills the link of a VM. The load: 280 KB over a link of 2 Mbit/s, and a report every 400 ms.
Test(DeliveryTracker, aLargeChangeIsSentOnce) {
  DeliveryTracker versions;
  const VmId vm("vm");
  const SyncedVersions old{LogIndex(5), {1, 3}};
  const SyncedVersions big{LogIndex(6), {1, 3}};
  versions.report(vm, Incarnation(1), old, Time{0});
  cr_assert_eq(versions.base(vm, Time{0}).Catalog, LogIndex(5));
  versions.sent(vm, big, 280'000, Time{0});
  for (int64_t ms = 400; ms <= 1600; ms += 400) {
    versions.report(vm, Incarnation(1), old, Time{ms});
    cr_assert_eq(versions.base(vm, Time{ms}).Catalog, LogIndex(6));
  }
  // Later changes build on what is on its way.
  versions.sent(vm, {LogIndex(7), {1, 4}}, 500, Time{1700});
  cr_assert_eq(versions.base(vm, Time{1800}).Catalog, LogIndex(7));
  cr_assert_eq(versions.base(vm, Time{1800}).List.Sequence, 4);
  // What has not arrived after its time was lost.
  cr_assert_eq(versions.base(vm, Time{20'000}).Catalog, LogIndex(5));
  // A new process holds nothing of what the one before it was sent.
  versions.sent(vm, big, 280'000, Time{20'000});
  versions.report(vm, Incarnation(2), {}, Time{20'100});
  cr_assert_eq(versions.base(vm, Time{20'100}).Catalog, LogIndex());
}

/// Guards against a VM that misses one change and then never gets it, because changes that build on
/// it go on being sent. The load: a change of the list every 500 ms, of which the second is lost.
Test(DeliveryTracker, aLostChangeIsSentAgainBetweenOthers) {
  DeliveryTracker versions;
  const VmId vm("vm");
  versions.report(vm, Incarnation(1), {LogIndex(5), {1, 1}}, Time{0});
  versions.sent(vm, {LogIndex(5), {1, 2}}, 500, Time{0});
  versions.report(vm, Incarnation(1), {LogIndex(5), {1, 2}}, Time{400});
  int64_t again = 0;
  for (int64_t ms = 500; ms < 5000 && again == 0; ms += 100) {
    if (ms % 400 == 0)
      versions.report(vm, Incarnation(1), {LogIndex(5), {1, 2}}, Time{ms});
    if (versions.base(vm, Time{ms}).List.Sequence == 2 && ms > 500)
      again = ms;
    if (ms % 500 == 0)
      versions.sent(vm, {LogIndex(5), {1, static_cast<uint64_t>(2 + ms / 500)}}, 500, Time{ms});
  }
  cr_assert_neq(again, 0);
  cr_assert_leq(again, 2000, "%d", static_cast<int>(again));
}

/// Guards against homes that move when the leader changes, because the new one has heard of few of
/// the callers yet.
Test(DemandAggregator, aNewLeaderWaitsForAllSamples) {
  DemandAggregator census;
  link::ServiceSample sample{"s", {1, 2, 3}, 4};
  census.report(VmId("a"), RegionId("r"), {&sample, 1}, Time{9900});
  census.becomeLeader(Time{10'000});
  census.report(VmId("b"), RegionId("r"), {&sample, 1}, Time{10'100});
  cr_assert(census.demand(Time{10'200}).empty());
  census.report(VmId("a"), RegionId("r"), {&sample, 1}, Time{10'900});
  census.report(VmId("b"), RegionId("r"), {&sample, 1}, Time{11'100});
  const std::vector<link::ServiceDemand> &demand = census.demand(Time{11'600});
  cr_assert_eq(demand.size(), 1);
  cr_assert_float_eq(demand[0].Slots, 8, 1e-6);
}

/// Guards against shares for a VM that no later leader would wait for, against the list of entry
/// VMs in each answer, and against the configuration sent again while it is on its way.
Test(ControlAnswerBuilder, saysWhatAVmDoesNotHold) {
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
  ControlAnswerBuilder answers(catalog, targets, registry, 1);
  answers.becomeLeader(Term(1), {}, Time{0});
  const VmId vm("vm");
  link::EntryReport report;
  report.Sequence = 1;
  report.Region = RegionId("r");
  report.Domain = DomainId("z");
  report.LeaderTerm = Term(1);
  report.Usage = {{"c", 10, 0}};
  auto ask = [&](bool mayHoldShares, int64_t ms) {
    registry.report(vm, Incarnation(1), report, Time{ms});
    answers.recordSyncedVersions(vm, Incarnation(1), report, Time{ms});
    link::ControlAnswer answer;
    answers.addChanges(answer, vm, Time{ms});
    cr_assert(answers.addReply(answer, vm, Incarnation(1), report, mayHoldShares, Time{ms}).ok());
    (void)answers.encodeFor(vm, answer, Time{ms});
    return answer;
  };
  link::ControlAnswer first = ask(false, 5000);
  cr_assert(first.Shares.empty());
  cr_assert_not(first.CatalogDelta.empty());
  cr_assert_eq(first.Entries.size(), 1);
  report.EntriesDigest = link::digestOf(first.Entries);
  link::ControlAnswer second = ask(true, 5400);
  cr_assert_eq(second.Shares.size(), 1);
  cr_assert_gt(second.Shares[0].Permille, 0);
  cr_assert(second.CatalogDelta.empty());
  cr_assert(second.Entries.empty());
  // What changes slowly goes to a VM once in a while, and at once to a process that starts.
  cr_assert(answers.claimSlowUpdate(vm, Incarnation(1), Time{5000}));
  cr_assert_not(answers.claimSlowUpdate(vm, Incarnation(1), Time{5400}));
  cr_assert(answers.claimSlowUpdate(vm, Incarnation(1), Time{5800}));
  cr_assert(answers.claimSlowUpdate(vm, Incarnation(2), Time{5900}));
  // What has not arrived after its time is sent again.
  cr_assert_not(ask(true, 9000).CatalogDelta.empty());
}

/// Guards against a leader that encodes a large change for each of many VMs and loses its lease
/// meanwhile, and against bytes that are older than the configuration.
Test(DeltaCache, aChangeIsEncodedOnce) {
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

/// Guards against a fleet in which no VM knows how many objects the region's callers ask for. The
/// load: 27 VMs, each of which meets a tenth of 800 objects; 8 of the VMs are lost later.
Test(DemandAggregator, countsWhatNoVmSeesWhole) {
  DemandAggregator census;
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
    census.report(VmId("vm" + std::to_string(vm)), RegionId("r"), {&sample, 1}, Time{ms});
  };
  for (size_t vm = 0; vm < 27; ++vm)
    report(vm, 0);
  std::vector<link::ServiceDemand> counts = census.demand(Time{1000});
  cr_assert_eq(counts.size(), 1);
  cr_assert_float_eq(counts[0].Objects, 800, 200);
  cr_assert_float_eq(counts[0].Slots, 13.5, 1e-6);
  // Between the samples of objects the demand alone is told.
  link::ServiceSample slots{"s", {}, 0.5};
  for (size_t vm = 0; vm < 27; ++vm)
    census.report(VmId("vm" + std::to_string(vm)), RegionId("r"), {&slots, 1}, Time{1500});
  cr_assert_float_eq(census.demand(Time{2000})[0].Objects, 800, 200);
  // A single VM that is left is known whole only below the size of a sample.
  link::ServiceSample few{"s", {1, 2, 3}, 0.25};
  census.report(VmId("vm0"), RegionId("r"), {&few, 1}, Time{6600});
  counts = census.demand(Time{6610});
  cr_assert_eq(counts.size(), 1);
  cr_assert_eq(counts[0].Objects, 3);
  cr_assert_float_eq(counts[0].Slots, 0.25, 1e-6);
}

/// Guards against state that differs between voters after a snapshot.
Test(ControlStateMachine, snapshotsKeepEverything) {
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

/// Guards against a malformed order in the log that ends a voter.
Test(ControlStateMachine, malformedOrdersAreRefused) {
  testing::checkProperty("orders return an outcome", [](const std::vector<uint8_t> &bytes) {
    ControlStateMachine machine;
    std::string buf(bytes.begin(), bytes.end());
    RC_ASSERT_FALSE(decodeOutcome(machine.apply(LogIndex(1), buf)).ok());
  });
}
