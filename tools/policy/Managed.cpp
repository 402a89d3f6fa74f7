#include "ManagedVm.h"
#include "Steering.h"
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
constexpr int64_t RenewalMs =
    500; ///< Serving leases are renewed, and settings applied, this often.
constexpr int64_t MoveTickMs = 100;
constexpr Duration ServingLease{3'000};
constexpr Duration LeaderChange{2'500}; ///< Longest time without a leader in the design page.
constexpr Duration MoveLimit{100'000};
constexpr Duration DrainLimit{30'000};

/// The objects of one leader.
struct Leader {
  Leader(bool &leads, uint32_t region, Duration longestDeadline)
      : Region(region), Quota({}, [&leads](Time) { return leads; }),
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

class Managed final : public Steering {
public:
  explicit Managed(World &world);

  void arrive(const Request &request) override { Vms[request.Vm]->arrive(request); }
  void tick() override;
  void regionLost(uint32_t region) override;
  std::vector<double> spread(uint32_t lostRegion) override;
  void ownerLost() override;
  void drain(const core::DomainId &domain) override;
  void moveVersion() override;
  void loadReport(const core::TargetId &target, uint32_t permille) override;

private:
  void configure(Leader &leader);
  void tickVm(uint32_t number);
  void renew(uint32_t number);
  void reportRegionLoads();
  void driveMoves();
  void commit(const moves::MoveStep &step);
  void applyEverywhere(const std::function<void(ManagedVm &)> &change);
  void noteEnd();
  /// Runs an action at the present leader, or at a VM, one way later.
  template <class Action> void toLeader(uint32_t vm, Action action);
  template <class Action> void toVm(uint32_t vm, Action action);
  Duration oneWay(uint32_t vm) const {
    return W.Where.oneWay(regionOfVm(vm), Leaders[Present]->Region);
  }

  World &W;
  std::vector<std::unique_ptr<ManagedVm>> Vms;
  std::array<bool, 2> Leads{};
  std::array<std::unique_ptr<Leader>, 2> Leaders;
  size_t Present = 0;
  core::Term Term{1};
  std::vector<balance::TargetInfo> Targets;
  std::array<uint64_t, VmCount> InFlightSequence{};
  Time MoveStarted;
};

Managed::Managed(World &world) : W(world), Targets(world.targetInfos()) {
  for (uint32_t n = 0; n < VmCount; ++n)
    Vms.push_back(std::make_unique<ManagedVm>(W, n));
  for (uint32_t n = 0; n < Leaders.size(); ++n) {
    Leaders[n] = std::make_unique<Leader>(Leads[n], n, W.Where.longestDeadline());
    configure(*Leaders[n]);
  }
  Leads[0] = true;
  Leader &first = *Leaders[0];
  first.Quota.becomeOwner({-1'000}, Term);
  // The first leader adds the targets in its own term, so it need not wait for earlier grants.
  first.Slots.setTargets({});
  first.Slots.becomeLeader(Term, {0});
  first.Slots.setTargets({});
  first.Slots.setTargets(Targets);
  for (auto &vm : Vms) {
    vm->setTargets(Targets);
    if (W.What.Event == SceneEvent::BadVersion)
      vm->Chooser.setVersionShares(balance::PoolId(W.Where.Services.front().Name),
                                   {{core::VersionId("v1"), moves::FullShare}});
  }
}

void Managed::configure(Leader &leader) {
  std::vector<balance::VmInfo> infos;
  std::vector<core::VmId> ids;
  for (uint32_t n = 0; n < VmCount; ++n) {
    infos.push_back({vmId(n), placeOfVm(n)});
    ids.push_back(vmId(n));
  }
  leader.Slots.setVms(infos);
  leader.Slots.setTargets(Targets);
  leader.Moves.setVms(ids);
  for (uint32_t from = 0; from < RegionCount; ++from)
    for (uint32_t to = 0; to < RegionCount; ++to)
      if (from != to)
        leader.Slots.regions().setLink(regionId(from), regionId(to), W.Where.LinkInFlight);
  const std::vector<RateLimit> limits = rateLimits(W.Where, W.What);
  for (uint32_t c = 0; c < limits.size(); ++c)
    leader.Quota.setLimit(customerId(c), {std::llround(limits[c].PerSecond * 1000)},
                          {limits[c].Burst}, {-1'000});
}

template <class Action> void Managed::toLeader(uint32_t vm, Action action) {
  W.after(oneWay(vm), [this, action] {
    if (Leads[Present])
      action(*Leaders[Present]);
  });
}

template <class Action> void Managed::toVm(uint32_t vm, Action action) {
  W.after(oneWay(vm), [this, vm, action] {
    if (Vms[vm]->Alive)
      action(*Vms[vm]);
  });
}

void Managed::tick() {
  const int64_t ms = W.Clock.now().Ms;
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
  if (ms % MoveTickMs == 0 && Leads[Present])
    driveMoves();
}

void Managed::tickVm(uint32_t n) {
  const Time now = W.Clock.now();
  for (const quota::GrantRequest &request : Vms[n]->Quota.tick(now))
    toLeader(n, [this, n, request](Leader &leader) {
      quota::GrantAnswer answer = leader.Quota.request(request, W.Clock.now());
      toVm(n, [this, answer](ManagedVm &vm) { vm.Quota.receive(answer, W.Clock.now()); });
    });
  if (std::optional<balance::SlotReport> report = Vms[n]->slotReport(Term))
    toLeader(n, [this, n, report](Leader &leader) {
      std::optional<balance::SlotAnswer> answer = leader.Slots.report(*report, W.Clock.now());
      if (answer)
        toVm(n, [this, answer](ManagedVm &vm) {
          vm.Slots.receive(*answer, W.Clock.now());
          vm.serveAll();
        });
    });
}

/// A renewal carries the counts of versions and of work in flight.
void Managed::renew(uint32_t n) {
  for (const moves::VersionStats &stats : Vms[n]->takeStats())
    if (W.What.Event == SceneEvent::BadVersion)
      toLeader(n, [this, stats](Leader &l) { l.Moves.observe(stats, W.Clock.now()); });
  ++InFlightSequence[n];
  for (const core::TargetId &target : Vms[n]->drained()) {
    moves::InFlightReport report;
    report.Source = vmId(n);
    report.SourceIncarnation = Vms[n]->Run;
    report.Sequence = InFlightSequence[n];
    report.Move = core::MoveId(target.Value);
    report.AppliedDrain = true;
    report.InFlight = Vms[n]->Slots.inUse(target);
    toLeader(n, [this, report](Leader &l) { l.Moves.observe(report, W.Clock.now()); });
  }
}

void Managed::reportRegionLoads() {
  for (uint32_t region = 0; region < RegionCount; ++region) {
    moves::RegionLoad load;
    load.Region = regionId(region);
    double capacity = 0;
    for (const Service &service : W.Where.Services)
      capacity += service.slots() * 1000 / service.meanMs() / RegionCount;
    load.Capacity = static_cast<uint64_t>(capacity);
    load.Load = static_cast<uint64_t>(W.Where.rateAt(W.What.Load) * W.What.RegionShares[region]);
    load.Up = Vms[region * VmsPerRegion]->Alive;
    if (Leads[Present] && load.Up)
      Leaders[Present]->Moves.observe(load, W.Clock.now());
  }
}

void Managed::loadReport(const core::TargetId &target, uint32_t permille) {
  for (uint32_t n = 0; n < VmCount; ++n)
    Vms[n]->Chooser.recordLoad(target, permille, W.Clock.now());
}

void Managed::regionLost(uint32_t region) {
  for (uint32_t n = 0; n < VmCount; ++n) {
    if (regionOfVm(n) != region)
      continue;
    Vms[n]->lose();
    W.after(ServingLease, [this, n] {
      Leaders[Present]->Slots.vmExpired(vmId(n), Vms[n]->Run, W.Clock.now());
      Leaders[Present]->Moves.vmExpired(vmId(n), W.Clock.now());
    });
  }
}

std::vector<double> Managed::spread(uint32_t lostRegion) {
  std::vector<double> parts(RegionCount, 0);
  for (const moves::ForcedShare &forced :
       Leaders[Present]->Moves.regionFailed(regionId(lostRegion), W.Clock.now()))
    for (uint32_t n = 0; n < RegionCount; ++n)
      if (forced.To == regionId(n))
        parts[n] = static_cast<double>(forced.Share) / moves::FullShare;
  return parts;
}

void Managed::ownerLost() {
  Leads[0] = false;
  W.after(LeaderChange, [this] {
    const Time now = W.Clock.now();
    Present = 1;
    Leads[1] = true;
    Term = Term.next();
    Leaders[1]->Quota.becomeOwner(now, Term);
    Leaders[1]->Slots.becomeLeader(Term, now);
  });
}

void Managed::drain(const core::DomainId &domain) {
  MoveStarted = W.Clock.now();
  for (const balance::TargetInfo &target : Targets) {
    if (target.Where.Domain != domain)
      continue;
    moves::MoveRecord record;
    record.Id = core::MoveId(target.Id.Value);
    record.Kind = moves::MoveKind::Drain;
    record.Limit = DrainLimit;
    record.Scope = moves::DrainScope::Target;
    record.Name = target.Id.Value;
    Leaders[Present]->Moves.start(record, MoveStarted);
  }
}

void Managed::moveVersion() {
  moves::MoveRecord record;
  record.Id = core::MoveId("version");
  record.Kind = moves::MoveKind::Version;
  record.Limit = MoveLimit;
  record.OldVersion = core::VersionId("v1");
  record.NewVersion = core::VersionId("v2");
  record.Routes = {core::RouteId(W.Where.Services.front().Name)};
  MoveStarted = W.Clock.now();
  Leaders[Present]->Moves.start(record, MoveStarted);
}

void Managed::driveMoves() {
  for (const moves::MoveStep &step : Leaders[Present]->Moves.tick(W.Clock.now()))
    // A commit takes a round trip to the nearest region.
    W.after(W.Where.BetweenRegions, [this, step] { commit(step); });
}

void Managed::commit(const moves::MoveStep &step) {
  moves::MoveController &moves = Leaders[Present]->Moves;
  moves.committed(step, W.Clock.now());
  noteEnd();
  if (step.Kind == moves::StepKind::BeginDrain) {
    for (balance::TargetInfo &target : Targets)
      if (target.Id.Value == step.Id.Value)
        target.Slots = 0;
    Leaders[Present]->Slots.setTargets(Targets);
    applyEverywhere([targets = Targets](ManagedVm &vm) { vm.setTargets(targets); });
  }
  if (const moves::MoveRecord *record = moves.find(core::MoveId("version"))) {
    const std::map<core::VersionId, uint32_t> shares{
        {record->OldVersion, moves::FullShare - record->Share},
        {record->NewVersion, record->Share}};
    const balance::PoolId pool(W.Where.Services.front().Name);
    applyEverywhere([shares, pool](ManagedVm &vm) { vm.Chooser.setVersionShares(pool, shares); });
  }
}

void Managed::noteEnd() {
  for (const moves::MoveOutcome &outcome : Leaders[Present]->Moves.takeOutcomes()) {
    const bool done = outcome.End == moves::MoveOutcome::Kind::Done;
    W.Result.Move = done ? "done" : "reversed";
    // The last target counts.
    if (outcome.Id != core::MoveId("version") && done)
      W.Result.DrainMs = (W.Clock.now() - MoveStarted).Ms;
  }
}

/// Every VM applies a change with its next renewal.
void Managed::applyEverywhere(const std::function<void(ManagedVm &)> &change) {
  const int64_t ms = W.Clock.now().Ms;
  for (uint32_t n = 0; n < VmCount; ++n) {
    const int64_t wait = RenewalMs - 1 - (ms + n * RenewalMs / VmCount - 1) % RenewalMs;
    W.after(Duration{wait} + oneWay(n) * 2, [this, n, change] {
      if (Vms[n]->Alive)
        change(*Vms[n]);
    });
  }
}

} // namespace

std::unique_ptr<Steering> makeManaged(World &world) { return std::make_unique<Managed>(world); }

} // namespace briarspar::tools
