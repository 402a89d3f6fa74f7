#pragma once

#include "core/testing/FaultNetwork.h"
#include "core/testing/Property.h"
#include "moves/MoveController.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace briarspar::moves::testing {

using core::Duration;
using core::Time;

constexpr int64_t TickMs = 500;
constexpr uint32_t LogNode = 100;
constexpr uint32_t ReportNode = 101;

enum class FaultKind : uint8_t {
  LeaderChange,
  StepLoss,   ///< Proposals are lost and repeated.
  StatsStop,  ///< Version statistics stop.
  StatsLate,  ///< Reports are delayed by seconds, reordered and repeated.
  LoadStop,   ///< Region loads stop.
  RegionFail, ///< A region is down for a while.
  VmCrash,    ///< A VM dies; what it has in flight runs on.
  Cancel
};

struct Fault {
  FaultKind Kind = FaultKind::LeaderChange;
  int64_t FromMs = 0;
  int64_t ToMs = 0;
};

struct Accepted {
  Time At;
  MoveStep Step;
  BasisPoints Before = 0;
  bool Applied = true; ///< The record expected the step.
  bool Planned = true; ///< A SetShare; not the forced return from a failed region.
};

/// A VM that assigns work to what is drained and reports what it has in flight.
struct WorldVm {
  core::VmId Id;
  core::Incarnation Incarnation{1};
  uint64_t Sequence = 0;
  bool Up = true;
  int64_t DownAt = 0;
  bool Expired = false;
  std::vector<int64_t> EndsAt; ///< Of work in flight, also of earlier incarnations.
  std::vector<int64_t> Own;    ///< Of work in flight of this incarnation.
  int64_t AppliedAt = -1;      ///< When it applied the drain.
};

struct Report {
  std::optional<VersionStats> Stats;
  std::optional<InFlightReport> InFlight;
};

/// The log, the leaders, the VMs and the traffic around a MoveController, on injected time. The log
/// accepts proposals of the current leader only, and each leader reads committed steps in order.
class MoveSimulation {
public:
  MoveSimulation(uint64_t seed, std::vector<MoveRecord> records, std::vector<Fault> faults,
                 const MoveSettings &settings, double newErrorRate)
      : Settings(settings), Steps(seed, {Duration{5}, Duration{400}, 0, 50}),
        Reports(seed + 1, {Duration{50}, Duration{600}, 10, 20}), Rng(seed + 2),
        Faults(std::move(faults)), NewErrorRate(newErrorRate) {
    Vms.resize(3);
    for (size_t n = 0; n < Vms.size(); ++n)
      Vms[n].Id = core::VmId("vm" + std::to_string(n));
    for (const MoveRecord &record : records)
      Records[record.Id] = record;
    newLeader();
  }

  void run(int64_t untilMs) {
    for (; Now < untilMs && !allEnded(); Now += TickMs)
      tick();
  }

  bool allEnded() const {
    return std::all_of(Records.begin(), Records.end(),
                       [](const auto &entry) { return entry.second.ended(); });
  }

  std::map<core::MoveId, MoveRecord> Records; ///< As replicated.
  std::vector<Accepted> Log;
  bool DrainedWithWork = false; ///< A drain was Done while work was in flight.
  bool AssignedLate = false;    ///< Work was assigned 3 s after the drain was committed.

private:
  bool active(FaultKind kind) const {
    return std::any_of(Faults.begin(), Faults.end(), [&](const Fault &f) {
      return f.Kind == kind && f.FromMs <= Now && Now < f.ToMs;
    });
  }
  bool begins(FaultKind kind) const {
    return std::any_of(Faults.begin(), Faults.end(), [&](const Fault &f) {
      return f.Kind == kind && f.FromMs <= Now && Now < f.FromMs + TickMs;
    });
  }

  void newLeader() {
    ++Leader;
    NextToApply = Log.size();
    Controller = std::make_unique<MoveController>(Settings);
    for (const char *region : {"a", "b", "c"})
      Controller->setCap(core::RegionId(region), {2'000, Duration{10'000}});
    std::vector<core::VmId> ids;
    for (const WorldVm &vm : Vms)
      ids.push_back(vm.Id);
    Controller->setVms(ids);
    std::vector<MoveRecord> records;
    for (const auto &[id, record] : Records)
      records.push_back(record);
    if (Leader == 1) {
      for (const MoveRecord &record : records)
        Controller->start(record, {Now});
    } else {
      Controller->becomeLeader(records, {Now});
    }
  }

  void tick() {
    if (begins(FaultKind::LeaderChange))
      newLeader();
    if (begins(FaultKind::Cancel))
      for (auto &[id, record] : Records) {
        record.CancelRequested = true;
        Controller->cancel(id, {Now});
      }
    Steps.settings().LossPermille = active(FaultKind::StepLoss) ? 600 : 20;
    Steps.settings().DuplicatePermille = active(FaultKind::StepLoss) ? 400 : 50;
    Steps.settings().MaxDelay = Duration{active(FaultKind::StepLoss) ? 5'000 : 400};
    Reports.settings().MaxDelay = Duration{active(FaultKind::StatsLate) ? 8'000 : 600};
    Reports.settings().DuplicatePermille = active(FaultKind::StatsLate) ? 300 : 20;

    while (auto proposal = Steps.receive({Now}))
      if (proposal->From == Leader)
        accept(proposal->Body);
    // The leader sees a commit up to one tick after the log.
    for (size_t n = Log.size() - std::min<size_t>(Log.size(), Rng(2)); NextToApply < n;)
      Controller->committed(Log[NextToApply++].Step, {Now});
    loads();
    vms();
    versions();
    while (auto report = Reports.receive({Now})) {
      if (report->Body.Stats)
        Controller->observe(*report->Body.Stats, {Now});
      if (report->Body.InFlight)
        Controller->observe(*report->Body.InFlight, {Now});
    }
    for (const MoveStep &step : Controller->tick({Now}))
      Steps.send(Leader, LogNode, step, {Now});
  }

  void accept(const MoveStep &step) {
    MoveRecord &record = Records[step.Id];
    BasisPoints before = record.Share;
    bool applied = applyStep(record, step);
    // Rejected entries are in the log too; the controller must reject them as well.
    Log.push_back({{Now}, step, before, applied, applied && step.Kind == StepKind::SetShare});
    if (applied && record.Kind == MoveKind::Drain && step.Kind == StepKind::BeginDrain) {
      DrainId = step.Id;
      for (WorldVm &vm : Vms)
        vm.AppliedAt = Now + static_cast<int64_t>(Rng(2'900));
      DrainAt = Now;
    }
    if (applied && record.Kind == MoveKind::Drain && record.Phase == MovePhase::Done)
      for (const WorldVm &vm : Vms)
        DrainedWithWork = DrainedWithWork || !vm.EndsAt.empty();
  }

  void loads() {
    if (active(FaultKind::LoadStop))
      return;
    bool down = active(FaultKind::RegionFail);
    for (const char *region : {"a", "b", "c"}) {
      RegionLoad load{core::RegionId(region), 3'000, 1'000, !(down && region[0] == 'b')};
      Controller->observe(load, {Now});
    }
  }

  void vms() {
    for (WorldVm &vm : Vms) {
      auto finished = [this](int64_t end) { return end <= Now; };
      vm.EndsAt.erase(std::remove_if(vm.EndsAt.begin(), vm.EndsAt.end(), finished),
                      vm.EndsAt.end());
      vm.Own.erase(std::remove_if(vm.Own.begin(), vm.Own.end(), finished), vm.Own.end());
      bool crash = begins(FaultKind::VmCrash) && &vm == &Vms[0];
      if (crash && vm.Up) {
        vm.Up = false;
        vm.DownAt = Now;
        vm.Own.clear();
      }
      if (!vm.Up) {
        restartLater(vm);
        continue;
      }
      bool applied = vm.AppliedAt >= 0 && Now >= vm.AppliedAt;
      if (!applied && Rng(3) == 0) {
        AssignedLate = AssignedLate || (DrainAt >= 0 && Now - DrainAt >= 3'000);
        vm.EndsAt.push_back(
            Now + 1 +
            static_cast<int64_t>(Rng(static_cast<uint32_t>(Settings.Drain.MaxRequestDuration.Ms))));
        vm.Own.push_back(vm.EndsAt.back());
      }
      Report report;
      report.InFlight =
          InFlightReport{vm.Id, vm.Incarnation, ++vm.Sequence, DrainId, applied, vm.Own.size()};
      Reports.send(0, ReportNode, report, {Now});
    }
  }

  // The serving lease of a dead VM ends after 3 s; a new incarnation starts after 20 s.
  void restartLater(WorldVm &vm) {
    if (Now - vm.DownAt >= 3'000)
      Controller->vmExpired(vm.Id, {Now});
    if (Now - vm.DownAt < 20'000)
      return;
    vm.Up = true;
    vm.Incarnation = vm.Incarnation.next();
    vm.Sequence = 0;
  }

  void versions() {
    if (Now % 1'000 != 0)
      return;
    ++Interval;
    if (active(FaultKind::StatsStop))
      return;
    for (const auto &[id, record] : Records) {
      if (record.Kind != MoveKind::Version)
        continue;
      for (const core::RouteId &route : record.Routes)
        for (bool isNew : {false, true})
          reportVersion(record, route, isNew);
    }
  }

  void reportVersion(const MoveRecord &record, const core::RouteId &route, bool isNew) {
    uint32_t requests = 200 * (isNew ? record.Share : FullShare - record.Share) / FullShare;
    std::binomial_distribution<uint32_t> errors(requests, isNew ? NewErrorRate : 0.01);
    VersionStats stats;
    stats.Source = Vms[0].Id;
    stats.Interval = Interval;
    stats.Route = route;
    stats.Version = isNew ? record.NewVersion : record.OldVersion;
    stats.Counts.Requests = requests;
    stats.Counts.Errors = errors(Rng);
    stats.Counts.Latency[4] = requests - stats.Counts.Errors;
    Report report;
    report.Stats = stats;
    Reports.send(0, ReportNode, report, {Now});
  }

  MoveSettings Settings;
  core::testing::FaultNetwork<MoveStep> Steps;
  core::testing::FaultNetwork<Report> Reports;
  pcg32 Rng;
  std::vector<Fault> Faults;
  double NewErrorRate;
  int64_t Now = 0;
  uint32_t Leader = 0;
  size_t NextToApply = 0;
  uint64_t Interval = 0;
  core::MoveId DrainId;
  int64_t DrainAt = -1;
  std::vector<WorldVm> Vms;
  std::unique_ptr<MoveController> Controller;
};

} // namespace briarspar::moves::testing
