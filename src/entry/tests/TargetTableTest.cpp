#include "entry/TargetTable.h"
#include "core/testing/Property.h"
#include "entry/testing/OneService.h"

#include <set>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;

namespace {

/// A service with two targets of four slots, and a route.
struct Fixture {
  /// `domains` are the failure domains of the two targets; each is in a region of its own.
  explicit Fixture(const std::vector<std::string> &domains = {"z", "z"})
      : Table({VmId("vm"),
               RegionId("z"),
               DomainId("z"),
               {{DomainId("z"), RegionId("z")}, {DomainId("far"), RegionId("far")}}}) {
    Table.setCatalog(entry::testing::oneService(), Time{0});
    Table.setTargets(entry::testing::targetsIn(domains, 4), Time{0});
    Route.Name = "route";
    Route.Idempotent = true;
    Route.Sticky = true;
    Route.Timeout = Duration{1000};
    Route.LatencyGoal = Duration{400};
    Route.Services = {{"s", 1}};
  }

  std::optional<Pick> pick(std::optional<uint64_t> object = std::nullopt, Time now = Time{0}) {
    PickRequest request;
    request.Route = &Route;
    request.Service = "s";
    request.Object = object;
    request.Priority = 2;
    request.Left = Duration{1000};
    return Table.pick(request, now);
  }

  TargetTable Table;
  catalog::Route Route;
};

} // namespace

/// Guards against ejecting overloaded targets because requests time out in their queues, which
/// would move the load of a region to the others at once.
Test(TargetTable, timeoutsBehindAQueueDoNotEject) {
  Fixture fixture;
  std::optional<Pick> pick = fixture.pick();
  cr_assert(pick.has_value());
  pick->Load = 6; // Of four slots.
  for (int i = 0; i < 6; ++i)
    fixture.Table.record(*pick, fixture.Route, TargetOutcome::TimedOut, Duration{1000}, 0,
                         Time{1000});
  cr_assert(fixture.Table.takeEjections().empty());
}

/// Guards against the same when the queue grew only after the requests were sent, by requests of
/// other VMs: a target that has responded in the meantime is not unresponsive.
Test(TargetTable, timeoutsOfATargetThatAnswersOthersDoNotEject) {
  Fixture fixture;
  std::vector<Pick> picks(3);
  for (Pick &it : picks)
    it = *fixture.pick();
  for (Pick &it : picks) {
    it.Id = picks[0].Id;
    it.Load = 1;
  }
  fixture.Table.record(picks[0], fixture.Route, TargetOutcome::Success, Duration{100}, 0,
                       Time{500});
  for (const Pick &it : picks)
    fixture.Table.record(it, fixture.Route, TargetOutcome::TimedOut, Duration{1000}, 0, Time{1000});
  cr_assert(fixture.Table.takeEjections().empty());
  // Neither these requests nor any others get a response.
  for (const Pick &it : picks)
    fixture.Table.record(it, fixture.Route, TargetOutcome::TimedOut, Duration{1000}, 0, Time{2500});
  cr_assert_eq(fixture.Table.takeEjections().size(), 1);
}

/// Guards against treating an overload as a loss of targets, which would let requests leave the
/// region without a rate limit. Only lost connections show that targets have failed.
Test(TargetTable, onlyLostConnectionsLiftShiftLimit) {
  for (TargetOutcome outcome : {TargetOutcome::TimedOut, TargetOutcome::ConnectFailed}) {
    Fixture fixture({"z", "far"});
    std::optional<Pick> own = fixture.pick();
    cr_assert_eq(own->Region.Value, "z");
    for (int i = 0; i < 3; ++i)
      fixture.Table.record(*own, fixture.Route, outcome, Duration{1000}, 0, Time{1500});
    cr_assert_eq(fixture.Table.takeEjections().size(), 1);
    int far = 0;
    for (int64_t ms = 1500; ms < 2500; ms += 25) {
      std::optional<Pick> pick = fixture.pick(std::nullopt, Time{ms});
      if (!pick)
        continue;
      ++far;
      fixture.Table.record(*pick, fixture.Route, TargetOutcome::Success, Duration{100}, 0,
                           Time{ms});
    }
    if (outcome == TargetOutcome::TimedOut)
      cr_assert_leq(far, 20);
    else
      cr_assert_geq(far, 35);
  }
}

/// Guards against requests before the first target list that set an empty baseline version for the
/// service, after which no target is ever found: after a restart of the whole system, the
/// configuration arrives before the list.
Test(TargetTable, requestBeforeTargetListSetsNoBaseline) {
  Fixture fixture;
  TargetTable table({VmId("vm"), RegionId("z"), DomainId("z"), {{DomainId("z"), RegionId("z")}}});
  PickRequest request;
  request.Route = &fixture.Route;
  request.Service = "s";
  request.Left = Duration{1000};
  cr_assert_not(table.pick(request, Time{0}).has_value());
  table.setTargets(entry::testing::targetsIn({"z"}, 4), Time{10});
  cr_assert(table.pick(request, Time{20}).has_value());
}

/// Guards against an unresponsive target that keeps getting requests.
Test(TargetTable, timeoutsOfAnIdleTargetEject) {
  Fixture fixture;
  std::map<TargetId, int> timeouts;
  for (int i = 0; i < 8; ++i) {
    std::optional<Pick> pick = fixture.pick();
    if (!pick)
      break;
    ++timeouts[pick->Id];
    fixture.Table.record(*pick, fixture.Route, TargetOutcome::TimedOut, Duration{1000}, 0,
                         Time{1500});
  }
  cr_assert_geq(fixture.Table.takeEjections().size(), 1);
}

/// Guards against a long ejection because of failures long ago, and against an unstable target that
/// is retried every second.
Test(TargetTable, ejectionsGrowAndReset) {
  Fixture fixture;
  std::optional<Pick> pick = fixture.pick();
  cr_assert(pick.has_value());
  int64_t ms = 1000;
  auto fail = [&] {
    fixture.Table.record(*pick, fixture.Route, TargetOutcome::ConnectFailed, Duration{1}, 0,
                         Time{ms});
    std::vector<TargetTable::Ejection> ejections = fixture.Table.takeEjections();
    cr_assert_eq(ejections.size(), 1);
    ms += ejections[0].Span.Ms;
    fixture.Table.recordProbe(pick->Id, ProbeResult::Passed, Duration{0}, Time{ms});
    return ejections[0].Span.Ms;
  };
  auto serve = [&] {
    fixture.Table.record(*pick, fixture.Route, TargetOutcome::Success, Duration{100}, 0, Time{ms});
  };
  cr_assert_eq(fail(), 1000);
  serve();
  cr_assert_eq(fail(), 2000);
  serve();
  cr_assert_eq(fail(), 4000);
  ms += 60'000;
  serve();
  cr_assert_eq(fail(), 1000);
}

/// Guards against an object that is served by several targets while its primary target has room:
/// each of them would have a cache miss.
Test(TargetTable, objectStaysAtPrimaryTarget) {
  Fixture fixture;
  for (uint64_t object = 1; object < 20; ++object) {
    std::set<TargetId> used;
    for (int i = 0; i < 10; ++i) {
      std::optional<Pick> pick = fixture.pick(object);
      cr_assert(pick.has_value());
      used.insert(pick->Id);
      fixture.Table.record(*pick, fixture.Route, TargetOutcome::Success, Duration{100}, 500,
                           Time{0});
    }
    cr_assert_eq(used.size(), 1);
  }
}

/// Guards against requests that wait at full targets until they time out: beyond the queues that
/// can be served in time, a request is refused immediately.
Test(TargetTable, fullQueuesRefuseRequests) {
  Fixture fixture;
  size_t taken = 0;
  while (taken < 100 && fixture.pick())
    ++taken;
  cr_assert_leq(taken, 2 * 4 * 3);
  cr_assert_geq(taken, 2 * 4);
}

/// Guards against outcomes of another time or cause that decide on a version: those from before the
/// order of a rollout, and time-outs that count as failures of the version.
Test(TargetTable, rolloutCountsOutcomesSinceItsOrderByCause) {
  Fixture fixture;
  auto record = [&](TargetOutcome outcome, int64_t ms) {
    std::optional<Pick> pick = fixture.pick();
    cr_assert(pick.has_value());
    fixture.Table.record(*pick, fixture.Route, outcome, Duration{ms}, 0, Time{1000});
  };
  record(TargetOutcome::Failed, 100);
  catalog::Catalog catalog = entry::testing::oneService();
  cr_assert(catalog.startRollout("s", "v1", "v2", Duration{16'000}, LogIndex(7)).ok());
  fixture.Table.setCatalog(catalog, Time{1000});
  cr_assert(fixture.Table.versionCounts().empty());
  record(TargetOutcome::Success, 100);
  record(TargetOutcome::Success, 9000);
  record(TargetOutcome::Failed, 100);
  record(TargetOutcome::DeadlineExceeded, 1000);
  std::vector<link::VersionCounts> counts = fixture.Table.versionCounts();
  cr_assert_eq(counts.size(), 1);
  cr_assert_eq(counts[0].OrderedAt.Value, 7);
  cr_assert_eq(counts[0].Requests, 4);
  cr_assert_eq(counts[0].Failures, 1);
  cr_assert_eq(counts[0].TimeOuts, 1);
  cr_assert_eq(counts[0].Slow, 1);
  // A later order starts again.
  cr_assert(catalog.startRollout("s", "v1", "v3", Duration{16'000}, LogIndex(9)).ok());
  fixture.Table.setCatalog(catalog, Time{2000});
  cr_assert(fixture.Table.versionCounts().empty());
}
