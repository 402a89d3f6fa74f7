#include "entry/TargetTable.h"
#include "core/testing/Property.h"
#include "entry/testing/OneService.h"

#include <set>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;

namespace {

/// One region with two targets of four slots, and a route.
struct World {
  /// `domains` are those of the two targets; each is a region of its own.
  explicit World(const std::vector<std::string> &domains = {"z", "z"})
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

/// Guards against overloaded targets that are ejected because requests wait in their queues, which
/// sends the load of a region to the others at once.
Test(TargetTable, timeoutsBehindAQueueDoNotEject) {
  World world;
  std::optional<Pick> pick = world.pick();
  cr_assert(pick.has_value());
  pick->Load = 6; // Of four slots.
  for (int i = 0; i < 6; ++i)
    world.Table.record(*pick, world.Route, TargetOutcome::TimedOut, Duration{1000}, 0, Time{1000});
  cr_assert(world.Table.takeEjections().empty());
}

/// Guards against the same where the queue grew only after the requests were sent, as other VMs
/// sent theirs: a target that has answered meanwhile is not silent.
Test(TargetTable, timeoutsOfATargetThatAnswersOthersDoNotEject) {
  World world;
  std::vector<Pick> picks(3);
  for (Pick &it : picks)
    it = *world.pick();
  for (Pick &it : picks) {
    it.Id = picks[0].Id;
    it.Load = 1;
  }
  world.Table.record(picks[0], world.Route, TargetOutcome::Success, Duration{100}, 0, Time{500});
  for (const Pick &it : picks)
    world.Table.record(it, world.Route, TargetOutcome::TimedOut, Duration{1000}, 0, Time{1000});
  cr_assert(world.Table.takeEjections().empty());
  // None of the next ones is answered, nor is any other.
  for (const Pick &it : picks)
    world.Table.record(it, world.Route, TargetOutcome::TimedOut, Duration{1000}, 0, Time{2500});
  cr_assert_eq(world.Table.takeEjections().size(), 1);
}

/// Guards against an overload that is taken for a loss of targets: requests would leave the region
/// at once. Only lost connections show that targets have failed.
Test(TargetTable, onlyLostConnectionsReleaseTheBoundOnRegions) {
  for (TargetOutcome outcome : {TargetOutcome::TimedOut, TargetOutcome::ConnectFailed}) {
    World world({"z", "far"});
    std::optional<Pick> own = world.pick();
    cr_assert_eq(own->Region.Value, "z");
    for (int i = 0; i < 3; ++i)
      world.Table.record(*own, world.Route, outcome, Duration{1000}, 0, Time{1500});
    cr_assert_eq(world.Table.takeEjections().size(), 1);
    int far = 0;
    for (int64_t ms = 1500; ms < 2500; ms += 25) {
      std::optional<Pick> pick = world.pick(std::nullopt, Time{ms});
      if (!pick)
        continue;
      ++far;
      world.Table.record(*pick, world.Route, TargetOutcome::Success, Duration{100}, 0, Time{ms});
    }
    if (outcome == TargetOutcome::TimedOut)
      cr_assert_leq(far, 20);
    else
      cr_assert_geq(far, 35);
  }
}

/// Guards against requests that come before the first list and make the VM take the service to have
/// no version, so that it finds no target from then on: after a restart of the whole system the
/// configuration arrives before the list.
Test(TargetTable, aRequestBeforeTheListChangesNothing) {
  World world;
  TargetTable table({VmId("vm"), RegionId("z"), DomainId("z"), {{DomainId("z"), RegionId("z")}}});
  PickRequest request;
  request.Route = &world.Route;
  request.Service = "s";
  request.Left = Duration{1000};
  cr_assert_not(table.pick(request, Time{0}).has_value());
  table.setTargets(entry::testing::targetsIn({"z"}, 4), Time{10});
  cr_assert(table.pick(request, Time{20}).has_value());
}

/// Guards against a silent target that goes on getting requests.
Test(TargetTable, timeoutsOfAnIdleTargetEject) {
  World world;
  std::map<TargetId, int> timeouts;
  for (int i = 0; i < 8; ++i) {
    std::optional<Pick> pick = world.pick();
    if (!pick)
      break;
    ++timeouts[pick->Id];
    world.Table.record(*pick, world.Route, TargetOutcome::TimedOut, Duration{1000}, 0, Time{1500});
  }
  cr_assert_geq(world.Table.takeEjections().size(), 1);
}

/// Guards against a target that is left out for long because it failed several times long ago, and
/// against one that fails by turns and is tried again each second.
Test(TargetTable, ejectionsGrowAndAreForgotten) {
  World world;
  std::optional<Pick> pick = world.pick();
  cr_assert(pick.has_value());
  int64_t ms = 1000;
  auto fail = [&] {
    world.Table.record(*pick, world.Route, TargetOutcome::ConnectFailed, Duration{1}, 0, Time{ms});
    std::vector<TargetTable::Ejection> ejections = world.Table.takeEjections();
    cr_assert_eq(ejections.size(), 1);
    ms += ejections[0].Span.Ms;
    world.Table.recordProbe(pick->Id, true, Duration{0}, Time{ms});
    return ejections[0].Span.Ms;
  };
  auto serve = [&] {
    world.Table.record(*pick, world.Route, TargetOutcome::Success, Duration{100}, 0, Time{ms});
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

/// Guards against an object that is served by several targets while its home has room: each of them
/// would work on it as long as on an unknown one.
Test(TargetTable, anObjectStaysAtItsHome) {
  World world;
  for (uint64_t object = 1; object < 20; ++object) {
    std::set<TargetId> used;
    for (int i = 0; i < 10; ++i) {
      std::optional<Pick> pick = world.pick(object);
      cr_assert(pick.has_value());
      used.insert(pick->Id);
      world.Table.record(*pick, world.Route, TargetOutcome::Success, Duration{100}, 500, Time{0});
    }
    cr_assert_eq(used.size(), 1);
  }
}

/// Guards against requests that are held at full targets until their time is over: beyond the
/// queues that can be served in time, a request is refused at once.
Test(TargetTable, beyondTheQueuesNothingIsTaken) {
  World world;
  size_t taken = 0;
  while (taken < 100 && world.pick())
    ++taken;
  cr_assert_leq(taken, 2 * 4 * 3);
  cr_assert_geq(taken, 2 * 4);
}
