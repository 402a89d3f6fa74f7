#include "ManagedVm.h"
#include "RoutingPolicy.h"
#include "balance/SlotLedger.h"
#include "moves/MoveController.h"
#include "quota/QuotaOwner.h"

#include <array>
#include <cmath>

namespace briarspar::tools {

using core::Duration;
using core::Time;

namespace {

constexpr int64_t ControlTickMs = 10;
/// Interval at which VMs renew their serving leases and apply new settings.
constexpr int64_t RenewalMs = 500;
constexpr int64_t MoveTickMs = 100;
constexpr Duration ServingLease{3'000};
/// Longest time without a leader that the design document allows.
constexpr Duration LeaderFailover{2'500};
constexpr Duration MoveLimit{100'000};
constexpr Duration DrainLimit{30'000};

/// Control classes of one leader.
struct Leader {
  Leader(bool &isLeading, uint32_t region, Duration longestDeadline)
      : Region(region), Quota({}, [&isLeading](Time) { return isLeading; }),
        Moves(settingsFor(longestDeadline)) {
    Slots.setLongestDeadline(longestDeadline);
  }

  static moves::MoveSettings settingsFor(Duration longestDeadline) {
    moves::MoveSettings settings;
    settings.Drain.MaxRequestDuration = longestDeadline;
    return settings;
  }

  uint32_t Region;
  quota::QuotaOwner Quota;
  balance::SlotLedger Slots;
  moves::MoveController Moves;
};

class ManagedPolicy final : public RoutingPolicy {
public:
  explicit ManagedPolicy(Simulation &simulation);

  void onRequest(const Request &request) override { Vms[request.Vm]->onRequest(request); }
  void tick() override;
  void onRegionLost(uint32_t region) override;
  std::vector<double> failoverShares(uint32_t lostRegion) override;
  void onOwnerLost() override;
  void startDrain(const core::DomainId &domain) override;
  void startVersionMove() override;
  void onLoadReport(const core::TargetId &target, uint32_t permille) override;

private:
  void configure(Leader &leader);
  void tickVm(uint32_t number);
  void renew(uint32_t number);
  void reportRegionLoads();
  void tickMoves();
  void commit(const moves::MoveStep &step);
  void applyAtAllVms(const std::function<void(ManagedVm &)> &change);
  void recordMoveOutcomes();
  /// Run an action at the current leader or at a VM after the one-way network delay.
  template <class Action> void toLeader(uint32_t vm, Action action);
  template <class Action> void toVm(uint32_t vm, Action action);
  Duration oneWayDelay(uint32_t vm) const {
    return Sim.CurrentDeployment.oneWayDelay(regionOfVm(vm), Leaders[CurrentLeader]->Region);
  }

  Simulation &Sim;
  std::vector<std::unique_ptr<ManagedVm>> Vms;
  std::array<bool, 2> IsLeading{};
  std::array<std::unique_ptr<Leader>, 2> Leaders;
  size_t CurrentLeader = 0;
  core::Term Term{1};
  std::vector<balance::TargetInfo> Targets;
  std::array<uint64_t, VmCount> InFlightSequence{};
  Time MoveStarted;
};

ManagedPolicy::ManagedPolicy(Simulation &simulation)
    : Sim(simulation), Targets(simulation.targetInfos()) {
  for (uint32_t n = 0; n < VmCount; ++n)
    Vms.push_back(std::make_unique<ManagedVm>(Sim, n));
  for (uint32_t n = 0; n < Leaders.size(); ++n) {
    Leaders[n] = std::make_unique<Leader>(IsLeading[n], n, Sim.CurrentDeployment.longestDeadline());
    configure(*Leaders[n]);
  }
  IsLeading[0] = true;
  Leader &first = *Leaders[0];
  first.Quota.becomeOwner({-1'000}, Term);
  // The targets are added in the term of the first leader, so that it does not wait for the expiry
  // of grants of earlier leaders.
  first.Slots.setTargets({});
  first.Slots.becomeLeader(Term, {0});
  first.Slots.setTargets({});
  first.Slots.setTargets(Targets);
  for (auto &vm : Vms) {
    vm->setTargets(Targets);
    if (Sim.CurrentScene.Event == SceneEvent::BadVersion)
      vm->Chooser.setVersionShares(balance::PoolId(Sim.CurrentDeployment.Services.front().Name),
                                   {{core::VersionId("v1"), moves::FullShare}});
  }
}

void ManagedPolicy::configure(Leader &leader) {
  std::vector<balance::VmInfo> infos;
  std::vector<core::VmId> ids;
  for (uint32_t n = 0; n < VmCount; ++n) {
    infos.push_back({vmId(n), localityOfVm(n)});
    ids.push_back(vmId(n));
  }
  leader.Slots.setVms(infos);
  leader.Slots.setTargets(Targets);
  leader.Moves.setVms(ids);
  for (uint32_t from = 0; from < RegionCount; ++from)
    for (uint32_t to = 0; to < RegionCount; ++to)
      if (from != to)
        leader.Slots.regions().setLink(regionId(from), regionId(to),
                                       Sim.CurrentDeployment.LinkCapacity);
  const std::vector<RateLimit> limits = rateLimits(Sim.CurrentDeployment, Sim.CurrentScene);
  for (uint32_t c = 0; c < limits.size(); ++c)
    leader.Quota.setLimit(customerId(c), {std::llround(limits[c].PerSecond * 1000)},
                          {limits[c].Burst}, {-1'000});
}

template <class Action> void ManagedPolicy::toLeader(uint32_t vm, Action action) {
  Sim.schedule(oneWayDelay(vm), [this, action] {
    if (IsLeading[CurrentLeader])
      action(*Leaders[CurrentLeader]);
  });
}

template <class Action> void ManagedPolicy::toVm(uint32_t vm, Action action) {
  Sim.schedule(oneWayDelay(vm), [this, vm, action] {
    if (Vms[vm]->Alive)
      action(*Vms[vm]);
  });
}

void ManagedPolicy::tick() {
  const int64_t ms = Sim.Clock.now().Ms;
  for (uint32_t n = 0; n < VmCount; ++n) {
    if (!Vms[n]->Alive)
      continue;
    Vms[n]->expire();
    if ((ms + n) % ControlTickMs == 0)
      tickVm(n);
    if ((ms + n * RenewalMs / VmCount) % RenewalMs == 0)
      renew(n);
  }
  if (ms % 1'000 == 0)
    reportRegionLoads();
  if (ms % MoveTickMs == 0 && IsLeading[CurrentLeader])
    tickMoves();
}

void ManagedPolicy::tickVm(uint32_t n) {
  const Time now = Sim.Clock.now();
  for (const quota::GrantRequest &request : Vms[n]->Quota.tick(now))
    toLeader(n, [this, n, request](Leader &leader) {
      quota::GrantResponse answer = leader.Quota.request(request, Sim.Clock.now());
      toVm(n, [this, answer](ManagedVm &vm) { vm.Quota.receive(answer, Sim.Clock.now()); });
    });
  if (std::optional<balance::SlotReport> report = Vms[n]->slotReport(Term))
    toLeader(n, [this, n, report](Leader &leader) {
      std::optional<balance::SlotResponse> answer = leader.Slots.report(*report, Sim.Clock.now());
      if (answer)
        toVm(n, [this, answer](ManagedVm &vm) {
          vm.Slots.receive(*answer, Sim.Clock.now());
          vm.serveQueues();
        });
    });
}

/// Reports what a lease renewal carries: request counts by version and requests in flight to
/// drained targets.
void ManagedPolicy::renew(uint32_t n) {
  for (const moves::VersionStats &stats : Vms[n]->takeStats())
    if (Sim.CurrentScene.Event == SceneEvent::BadVersion)
      toLeader(n, [this, stats](Leader &l) { l.Moves.observe(stats, Sim.Clock.now()); });
  ++InFlightSequence[n];
  for (const core::TargetId &target : Vms[n]->drainedTargets()) {
    moves::InFlightReport report;
    report.Source = vmId(n);
    report.SourceIncarnation = Vms[n]->Incarnation;
    report.Sequence = InFlightSequence[n];
    report.Move = core::MoveId(target.Value);
    report.AppliedDrain = true;
    report.InFlight = Vms[n]->Slots.inUse(target);
    toLeader(n, [this, report](Leader &l) { l.Moves.observe(report, Sim.Clock.now()); });
  }
}

void ManagedPolicy::reportRegionLoads() {
  for (uint32_t region = 0; region < RegionCount; ++region) {
    moves::RegionLoad load;
    load.Region = regionId(region);
    double capacity = 0;
    for (const Service &service : Sim.CurrentDeployment.Services)
      capacity += service.slots() * 1000 / service.meanMs() / RegionCount;
    load.Capacity = static_cast<uint64_t>(capacity);
    load.Load = static_cast<uint64_t>(Sim.CurrentDeployment.rateAtLoad(Sim.CurrentScene.Load) *
                                      Sim.CurrentScene.RegionShares[region]);
    load.Up = Vms[region * VmsPerRegion]->Alive;
    if (IsLeading[CurrentLeader] && load.Up)
      Leaders[CurrentLeader]->Moves.observe(load, Sim.Clock.now());
  }
}

void ManagedPolicy::onLoadReport(const core::TargetId &target, uint32_t permille) {
  for (uint32_t n = 0; n < VmCount; ++n)
    Vms[n]->Chooser.recordLoad(target, permille, Sim.Clock.now());
}

void ManagedPolicy::onRegionLost(uint32_t region) {
  for (uint32_t n = 0; n < VmCount; ++n) {
    if (regionOfVm(n) != region)
      continue;
    Vms[n]->fail();
    Sim.schedule(ServingLease, [this, n] {
      Leaders[CurrentLeader]->Slots.vmExpired(vmId(n), Vms[n]->Incarnation, Sim.Clock.now());
      Leaders[CurrentLeader]->Moves.vmExpired(vmId(n), Sim.Clock.now());
    });
  }
}

std::vector<double> ManagedPolicy::failoverShares(uint32_t lostRegion) {
  std::vector<double> shares(RegionCount, 0);
  for (const moves::ForcedShare &forced :
       Leaders[CurrentLeader]->Moves.regionFailed(regionId(lostRegion), Sim.Clock.now()))
    for (uint32_t n = 0; n < RegionCount; ++n)
      if (forced.To == regionId(n))
        shares[n] = static_cast<double>(forced.Share) / moves::FullShare;
  return shares;
}

void ManagedPolicy::onOwnerLost() {
  IsLeading[0] = false;
  Sim.schedule(LeaderFailover, [this] {
    const Time now = Sim.Clock.now();
    CurrentLeader = 1;
    IsLeading[1] = true;
    Term = Term.next();
    Leaders[1]->Quota.becomeOwner(now, Term);
    Leaders[1]->Slots.becomeLeader(Term, now);
  });
}

void ManagedPolicy::startDrain(const core::DomainId &domain) {
  MoveStarted = Sim.Clock.now();
  for (const balance::TargetInfo &target : Targets) {
    if (target.Where.Domain != domain)
      continue;
    moves::MoveRecord record;
    record.Id = core::MoveId(target.Id.Value);
    record.Kind = moves::MoveKind::Drain;
    record.Limit = DrainLimit;
    record.Scope = moves::DrainScope::Target;
    record.Name = target.Id.Value;
    Leaders[CurrentLeader]->Moves.start(record, MoveStarted);
  }
}

void ManagedPolicy::startVersionMove() {
  moves::MoveRecord record;
  record.Id = core::MoveId("version");
  record.Kind = moves::MoveKind::Version;
  record.Limit = MoveLimit;
  record.OldVersion = core::VersionId("v1");
  record.NewVersion = core::VersionId("v2");
  record.Routes = {core::RouteId(Sim.CurrentDeployment.Services.front().Name)};
  MoveStarted = Sim.Clock.now();
  Leaders[CurrentLeader]->Moves.start(record, MoveStarted);
}

void ManagedPolicy::tickMoves() {
  for (const moves::MoveStep &step : Leaders[CurrentLeader]->Moves.tick(Sim.Clock.now()))
    // Committing a step takes one round trip to another region.
    Sim.schedule(Sim.CurrentDeployment.InterRegionRtt, [this, step] { commit(step); });
}

void ManagedPolicy::commit(const moves::MoveStep &step) {
  moves::MoveController &moves = Leaders[CurrentLeader]->Moves;
  moves.committed(step, Sim.Clock.now());
  recordMoveOutcomes();
  if (step.Kind == moves::StepKind::BeginDrain) {
    for (balance::TargetInfo &target : Targets)
      if (target.Id.Value == step.Id.Value)
        target.Slots = 0;
    Leaders[CurrentLeader]->Slots.setTargets(Targets);
    applyAtAllVms([targets = Targets](ManagedVm &vm) { vm.setTargets(targets); });
  }
  if (const moves::MoveRecord *record = moves.find(core::MoveId("version"))) {
    const std::map<core::VersionId, uint32_t> shares{
        {record->OldVersion, moves::FullShare - record->Share},
        {record->NewVersion, record->Share}};
    const balance::PoolId pool(Sim.CurrentDeployment.Services.front().Name);
    applyAtAllVms([shares, pool](ManagedVm &vm) { vm.Chooser.setVersionShares(pool, shares); });
  }
}

void ManagedPolicy::recordMoveOutcomes() {
  for (const moves::MoveOutcome &outcome : Leaders[CurrentLeader]->Moves.takeOutcomes()) {
    const bool done = outcome.End == moves::MoveOutcome::Kind::Done;
    Sim.Result.MoveResult = done ? "done" : "reversed";
    // A drain is complete when its last target is drained, so later outcomes overwrite earlier
    // ones.
    if (outcome.Id != core::MoveId("version") && done)
      Sim.Result.DrainMs = (Sim.Clock.now() - MoveStarted).Ms;
  }
}

/// Every VM applies a change with its next renewal.
void ManagedPolicy::applyAtAllVms(const std::function<void(ManagedVm &)> &change) {
  const int64_t ms = Sim.Clock.now().Ms;
  for (uint32_t n = 0; n < VmCount; ++n) {
    const int64_t wait = RenewalMs - 1 - (ms + n * RenewalMs / VmCount - 1) % RenewalMs;
    Sim.schedule(Duration{wait} + oneWayDelay(n) * 2, [this, n, change] {
      if (Vms[n]->Alive)
        change(*Vms[n]);
    });
  }
}

} // namespace

std::unique_ptr<RoutingPolicy> makeManagedPolicy(Simulation &simulation) {
  return std::make_unique<ManagedPolicy>(simulation);
}

} // namespace briarspar::tools
