#include "MoveSimulation.h"

#include <algorithm>

using namespace briarspar::core;
using namespace briarspar::moves;
using namespace briarspar::moves::testing;

namespace {

constexpr int64_t LimitMs = 240'000;
constexpr BasisPoints Cap = 2'000;
constexpr Duration Window{10'000};

MoveSettings shortSettings() {
  MoveSettings settings;
  settings.Budget.Ttl = Duration{2'000};
  settings.Drain.MaxRequestDuration = Duration{20'000};
  settings.MaxReturnDuration = Duration{300'000};
  return settings;
}

MoveRecord shift() {
  MoveRecord record;
  record.Id = MoveId("shift");
  record.Kind = MoveKind::Shift;
  record.Limit = Duration{LimitMs};
  record.From = RegionId("a");
  record.To = RegionId("b");
  record.Goal = 7'000;
  return record;
}

MoveRecord drain(DrainScope scope) {
  MoveRecord record;
  record.Id = MoveId("drain");
  record.Kind = MoveKind::Drain;
  record.Limit = Duration{LimitMs};
  record.Scope = scope;
  record.Name = "c";
  return record;
}

MoveRecord version() {
  MoveRecord record;
  record.Id = MoveId("version");
  record.Kind = MoveKind::Version;
  record.Limit = Duration{LimitMs};
  record.OldVersion = VersionId("v1");
  record.NewVersion = VersionId("v2");
  record.Routes = {RouteId("r0"), RouteId("r1")};
  return record;
}

std::vector<Fault> drawFaults(std::initializer_list<FaultKind> kinds) {
  std::vector<Fault> faults(*rc::gen::inRange<size_t>(2, 6));
  for (Fault &fault : faults) {
    fault.Kind = *rc::gen::elementOf(std::vector<FaultKind>(kinds));
    fault.FromMs = *rc::gen::inRange<int64_t>(0, LimitMs);
    fault.ToMs = fault.FromMs + *rc::gen::inRange<int64_t>(1'000, 60'000);
  }
  return faults;
}

std::vector<Fault> drawAnyFaults() {
  return drawFaults({FaultKind::LeaderChange, FaultKind::StepLoss, FaultKind::StatsStop,
                     FaultKind::StatsLate, FaultKind::LoadStop, FaultKind::RegionFail,
                     FaultKind::VmCrash, FaultKind::Cancel, FaultKind::LeaderChange});
}

uint64_t drawSeed() { return *rc::gen::arbitrary<uint32_t>(); }

// Most callers that may move within any window, by the log alone: the callers of a step move
// between its commit and the end of the cached lookups of the VM that applied it last.
uint64_t largestWindow(const std::vector<Accepted> &log, const MoveId &id, const MoveSettings &s) {
  Duration settles = s.Propagation + s.Budget.Ttl;
  uint64_t largest = 0;
  for (const Accepted &last : log) {
    uint64_t sum = 0;
    for (const Accepted &step : log) {
      if (!step.Planned || step.Step.Id != id || step.At > last.At ||
          step.At + settles + Window < last.At)
        continue;
      sum += std::max(step.Step.Share, step.Before) - std::min(step.Step.Share, step.Before);
    }
    largest = std::max(largest, sum);
  }
  return largest;
}

} // namespace

/// Guards against a cap that is exceeded, a step that is applied twice, a drain that cuts work or
/// accepts it late, and a move that never ends, under lost and repeated steps, changes of leader,
/// late and missing reports, failing regions and VMs, and cancels.
Test(MoveController, keepsItsGuaranteesUnderFaults) {
  briarspar::core::testing::checkProperty("every move ends within its guarantees", [] {
    MoveSettings settings = shortSettings();
    DrainScope scope = *rc::gen::element(DrainScope::Target, DrainScope::Vm, DrainScope::Region);
    MoveSimulation world(drawSeed(), {shift(), drain(scope), version()}, drawAnyFaults(), settings,
                         0.01);
    world.run(3 * LimitMs + settings.MaxReturnDuration.Ms);
    RC_ASSERT(world.allEnded());
    RC_ASSERT(!world.DrainedWithWork);
    RC_ASSERT(!world.AssignedLate);
    for (const auto &[id, record] : world.Records) {
      if (record.Kind != MoveKind::Version)
        RC_ASSERT(largestWindow(world.Log, id, settings) <= Cap);
      RC_ASSERT(record.Reason != MoveReason::None);
    }
    std::map<MoveId, uint64_t> applied;
    for (const Accepted &step : world.Log)
      if (step.Applied)
        RC_ASSERT(step.Step.Expected == applied[step.Step.Id]++);
    RC_ASSERT(world.Records[MoveId("shift")].Share <= 7'000U);
  });
}

/// Guards against a good version that is taken back for its errors because reports are late, lost,
/// repeated or out of order, or because the leader changes.
Test(MoveController, goodVersionIsNotRejectedUnderReportFaults) {
  briarspar::core::testing::checkProperty("a good version ends as done or for lack of data", [] {
    auto faults = drawFaults({FaultKind::LeaderChange, FaultKind::StepLoss, FaultKind::StatsLate});
    MoveSimulation world(drawSeed(), {version()}, faults, shortSettings(), 0.01);
    world.run(3 * LimitMs);
    const MoveRecord &record = world.Records[MoveId("version")];
    RC_ASSERT(record.ended());
    RC_ASSERT(record.Reason == MoveReason::Completed ||
              record.Reason == MoveReason::MeasurementsStopped ||
              record.Reason == MoveReason::DeadlinePassed);
  });
}

/// Guards against a bad version that completes while two or more other faults hide it.
Test(MoveController, badVersionNeverCompletesUnderFaults) {
  briarspar::core::testing::checkProperty("a failing version is taken back at a small share", [] {
    MoveSimulation world(drawSeed(), {version()}, drawAnyFaults(), shortSettings(), 0.4);
    world.run(3 * LimitMs);
    const MoveRecord &record = world.Records[MoveId("version")];
    RC_ASSERT(record.Phase == MovePhase::RolledBack);
    RC_ASSERT(record.Share == 0U);
  });
}

/// Guards against moves that cannot finish on time when nothing goes wrong.
Test(MoveController, allMovesCompleteWithoutFaults) {
  MoveSimulation world(7, {shift(), drain(DrainScope::Region), version()}, {}, shortSettings(),
                       0.01);
  world.run(LimitMs + 10'000);
  for (const auto &[id, record] : world.Records) {
    cr_assert(record.Phase == MovePhase::Done, "%s: %s", id.Value.c_str(), record.Detail.c_str());
    cr_assert_leq(record.Elapsed.Ms, LimitMs);
  }
}

/// Guards against callers that stay on a failed destination, and against a stuck shift.
Test(MoveController, shiftToAFailedRegionReturnsAtOnce) {
  MoveSimulation world(3, {shift()}, {{FaultKind::RegionFail, 30'000, 200'000}}, shortSettings(),
                       0.01);
  world.run(40'000);
  const MoveRecord &record = world.Records[MoveId("shift")];
  cr_assert(record.Phase == MovePhase::RolledBack);
  cr_assert(record.Reason == MoveReason::RegionFailed);
  cr_assert_eq(record.Share, 0);
}

/// Guards against a version that stays in service unobserved when measurements stop for good.
Test(MoveController, stoppedMeasurementsTakeAVersionBack) {
  MoveSimulation world(4, {version()}, {{FaultKind::StatsStop, 60'000, 10 * LimitMs}},
                       shortSettings(), 0.01);
  world.run(2 * LimitMs);
  const MoveRecord &record = world.Records[MoveId("version")];
  cr_assert(record.Reason == MoveReason::MeasurementsStopped);
  cr_assert_eq(record.Share, 0);
  cr_assert_leq(record.Elapsed.Ms, 60'000 + 35'000);
}

/// Guards against a drain that cuts or waits forever when a VM never reports.
Test(MoveController, drainWithASilentVmIsTakenBackAtItsDeadline) {
  MoveController controller(shortSettings());
  controller.setVms(std::vector<VmId>{VmId("silent")});
  controller.start(drain(DrainScope::Target), Time{0});
  for (int64_t now = 0; now <= LimitMs + 1'000; now += 500)
    for (const MoveStep &step : controller.tick(Time{now}))
      controller.committed(step, Time{now});
  auto outcome = controller.outcome(MoveId("drain"));
  cr_assert(outcome.has_value());
  cr_assert(outcome->End == MoveOutcome::Kind::RolledBack);
  cr_assert(outcome->Reason == MoveReason::DeadlinePassed);
  cr_assert_eq(controller.takeOutcomes().size(), 1);
}

/// Guards against a repeated start that resets a move, and against a step of an earlier leader that
/// moves callers without a charge.
Test(MoveController, stepOfAnEarlierLeaderIsCharged) {
  MoveController controller(shortSettings());
  controller.start(shift(), Time{0});
  MoveStep step;
  step.Id = shift().Id;
  step.Kind = StepKind::SetShare;
  step.Share = 300;
  controller.committed(step, Time{0});
  controller.committed(step, Time{0});
  controller.start(shift(), Time{1});
  cr_assert_eq(controller.find(step.Id)->Version, 1);
  cr_assert_eq(controller.budget().charged(RegionId("a"), Time{1}), 300);
}

/// Guards against one bad interval that is delivered many times and counted each time.
Test(MoveController, repeatedReportIsCountedOnce) {
  MoveController controller(shortSettings());
  controller.start(version(), Time{0});
  for (int64_t now = 0; now < 20'000; now += 1'000) {
    for (const char *name : {"v1", "v2"}) {
      VersionStats stats;
      stats.Source = VmId("vm");
      stats.Route = RouteId("r0");
      stats.Version = VersionId(name);
      stats.Counts.Requests = 100;
      stats.Counts.Errors = name == std::string("v2") ? 60 : 0;
      controller.observe(stats, Time{now});
    }
    for (const MoveStep &step : controller.tick(Time{now})) {
      cr_assert(step.Kind != StepKind::RollBack, "at %ld ms", static_cast<long>(now));
      controller.committed(step, Time{now});
    }
  }
}

/// Guards against a conflicting move that displaces the accepted one after a change of leader.
Test(MoveController, secondShiftOfARegionIsTakenBack) {
  MoveRecord second = shift();
  second.Id = MoveId("another");
  MoveController controller(shortSettings());
  controller.start(shift(), Time{0});
  controller.start(second, Time{0});
  auto steps = controller.tick(Time{0});
  cr_assert_eq(steps.size(), 1);
  cr_assert(steps[0].Id == second.Id && steps[0].Kind == StepKind::RollBack);
}

/// Guards against a snapshot that loses or changes a record, and against malformed snapshots.
Test(MoveController, snapshotRoundTrip) {
  briarspar::core::testing::checkProperty("restore(snapshot()) keeps every record", [] {
    MoveSimulation world(drawSeed(), {shift(), drain(DrainScope::Target), version()},
                         drawAnyFaults(), shortSettings(), 0.01);
    world.run(*rc::gen::inRange<int64_t>(0, LimitMs));
    std::vector<MoveRecord> records;
    for (const auto &[id, record] : world.Records)
      records.push_back(record);
    MoveController first(shortSettings());
    first.becomeLeader(records, Time{0});
    MoveController second(shortSettings());
    RC_ASSERT(second.restore(first.snapshot(), Time{5}).ok());
    for (const MoveRecord &record : records)
      RC_ASSERT(Json(*second.find(record.Id)) == Json(record));
    std::string cut = first.snapshot();
    cut.resize(*rc::gen::inRange<size_t>(0, cut.size()));
    RC_ASSERT(!second.restore(cut, Time{6}).ok());
  });
}
