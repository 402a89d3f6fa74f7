#include "World.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace briarspar::tools {

using balance::Outcome;
using core::Duration;
using core::TargetId;

namespace {

/// A cold target is this many times slower, until about this many requests have filled its caches.
constexpr double ColdFactor = 4;
constexpr double ColdRequests = 200;

std::string numbered(const std::string &name, uint32_t n) {
  return name + (n < 10 ? "-0" : "-") + std::to_string(n);
}

core::DomainId domainId(uint32_t region, uint32_t domain) {
  return core::DomainId("r" + std::to_string(region) + "d" + std::to_string(domain));
}

} // namespace

core::RegionId regionId(uint32_t region) { return core::RegionId("r" + std::to_string(region)); }
core::CustomerId customerId(uint32_t customer) {
  return core::CustomerId("customer" + std::to_string(customer));
}
core::VmId vmId(uint32_t vm) { return core::VmId(numbered("vm", vm)); }

balance::Locality placeOfVm(uint32_t vm) {
  const uint32_t region = regionOfVm(vm);
  return {regionId(region), domainId(region, vm % VmsPerRegion % DomainsPerRegion)};
}

World::World(const Deployment &deployment, const Scene &scene, uint64_t seed)
    : Where(deployment), What(scene), Seed(seed), Result(deployment, scene) {
  for (const Service &service : Where.Services)
    addTargets(service, "v1");
  if (What.Event == SceneEvent::BadVersion)
    addTargets(Where.Services.front(), "v2");
}

void World::addTargets(const Service &service, const std::string &version) {
  for (uint32_t n = 0; n < service.Workers; ++n) {
    FakeTarget target;
    target.Region = n % RegionCount;
    target.Info.Id = TargetId(numbered(service.Name + "-" + version, n));
    target.Info.Pool = balance::PoolId(service.Name);
    target.Info.Version = core::VersionId(version);
    target.Info.Where = {regionId(target.Region),
                         domainId(target.Region, n / RegionCount % DomainsPerRegion)};
    target.Info.Slots = service.SlotsPerWorker;
    target.Cold = version != "v1";
    target.FailShare = version != "v1" ? 0.3 : 0;
    Targets.emplace(target.Info.Id, target);
  }
}

std::vector<balance::TargetInfo> World::targetInfos() const {
  std::vector<balance::TargetInfo> infos;
  for (const auto &[id, target] : Targets)
    infos.push_back(target.Info);
  return infos;
}

void World::after(Duration delay, std::function<void()> action) {
  Events.push({(Clock.now() + delay).Ms, ++LastOrder, std::move(action)});
}

void World::runDue() {
  while (!Events.empty() && Events.top().At <= Clock.now().Ms) {
    std::function<void()> action = Events.top().Action;
    Events.pop();
    action();
  }
}

Duration World::oneWay(const Leg &leg) const {
  return Where.oneWay(regionOfVm(leg.For.Vm), Targets.at(leg.Target).Region);
}

uint64_t World::send(const Request &request, const TargetId &target, uint32_t attempt,
                     LegDone done) {
  const uint64_t id = ++LastLeg;
  Leg leg;
  leg.For = request;
  leg.Target = target;
  leg.Attempt = attempt;
  leg.Done = std::move(done);
  Duration delay = oneWay(Legs.emplace(id, std::move(leg)).first->second);
  Result.BadVersionRequests += targets().at(target).Info.Version.Value != "v1" ? 1 : 0;
  after(delay, [this, id] { reach(id); });
  return id;
}

void World::reach(uint64_t id) {
  auto it = Legs.find(id);
  if (it == Legs.end() || it->second.Ended)
    return;
  FakeTarget &target = Targets.at(it->second.Target);
  if (!target.Up)
    return finish(id, Outcome::ConnectFailed);
  if (target.Running < target.Info.Slots || target.Info.Slots == 0)
    return start(id, target);
  target.Queue.push_back(id);
}

void World::start(uint64_t id, FakeTarget &target) {
  Leg &leg = Legs.at(id);
  leg.Running = true;
  ++target.Running;
  ++target.Served;
  pcg32 rng(Seed ^ (leg.For.Id * 16 + leg.Attempt), leg.For.Id);
  std::lognormal_distribution<double> spread(std::log(Where.Services[leg.For.Service].MedianMs),
                                             ServiceSigma);
  std::uniform_real_distribution<double> uniform(0, 1);
  double ms = spread(rng) * target.SlowFactor;
  if (uniform(rng) < StallShare)
    ms *= StallFactor;
  if (target.Cold)
    ms *= 1 + (ColdFactor - 1) * std::exp(-target.Served / ColdRequests);
  const bool fails = uniform(rng) < target.FailShare;
  after({std::max<int64_t>(1, std::llround(ms))},
        [this, id, fails] { finish(id, fails ? Outcome::Failed : Outcome::Good); });
}

void World::finish(uint64_t id, Outcome::Kind kind) {
  auto it = Legs.find(id);
  if (it == Legs.end() || it->second.Ended)
    return;
  Leg &leg = it->second;
  leg.Ended = true;
  FakeTarget &target = Targets.at(leg.Target);
  if (leg.Running) {
    --target.Running;
    startNext(target);
  }
  after(oneWay(leg), [this, id, kind] {
    LegDone done = std::move(Legs.at(id).Done);
    Legs.erase(id);
    done(kind);
  });
}

void World::startNext(FakeTarget &target) {
  while (!target.Queue.empty() && target.Running < std::max(1U, target.Info.Slots)) {
    const uint64_t id = target.Queue.front();
    target.Queue.pop_front();
    auto it = Legs.find(id);
    if (it != Legs.end() && !it->second.Ended)
      start(id, target);
  }
}

void World::cancel(uint64_t leg) {
  auto it = Legs.find(leg);
  if (it == Legs.end())
    return;
  after(oneWay(it->second), [this, leg] { finish(leg, Outcome::Cancelled); });
}

void World::failRegion(uint32_t region) {
  std::vector<uint64_t> broken;
  for (auto &[id, target] : Targets)
    if (target.Region == region)
      target.Up = false;
  for (const auto &[id, leg] : Legs)
    if (!leg.Ended && !Targets.at(leg.Target).Up)
      broken.push_back(id);
  for (uint64_t id : broken)
    finish(id, Outcome::ConnectionLost);
}

} // namespace briarspar::tools
