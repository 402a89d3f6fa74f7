#include "Simulation.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace briarspar::tools {

using balance::Outcome;
using core::Duration;
using core::TargetId;

namespace {

/// A target with cold caches is slower by ColdFactor at first; the extra time decays by a factor
/// of e every ColdRequests requests.
constexpr double ColdFactor = 4;
constexpr double ColdRequests = 200;

std::string numberedName(const std::string &name, uint32_t n) {
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
core::VmId vmId(uint32_t vm) { return core::VmId(numberedName("vm", vm)); }

balance::Locality localityOfVm(uint32_t vm) {
  const uint32_t region = regionOfVm(vm);
  return {regionId(region), domainId(region, vm % VmsPerRegion % DomainsPerRegion)};
}

Simulation::Simulation(const Deployment &deployment, const Scene &scene, uint64_t seed)
    : CurrentDeployment(deployment), CurrentScene(scene), Seed(seed), Result(deployment, scene) {
  for (const Service &service : CurrentDeployment.Services)
    addTargets(service, "v1");
  if (CurrentScene.Event == SceneEvent::BadVersion)
    addTargets(CurrentDeployment.Services.front(), "v2");
}

void Simulation::addTargets(const Service &service, const std::string &version) {
  for (uint32_t n = 0; n < service.Targets; ++n) {
    SimulatedTarget target;
    target.Region = n % RegionCount;
    target.Info.Id = TargetId(numberedName(service.Name + "-" + version, n));
    target.Info.Pool = balance::PoolId(service.Name);
    target.Info.Version = core::VersionId(version);
    target.Info.Where = {regionId(target.Region),
                         domainId(target.Region, n / RegionCount % DomainsPerRegion)};
    target.Info.Slots = service.SlotsPerTarget;
    target.Cold = version != "v1";
    target.FailShare = version != "v1" ? 0.3 : 0;
    Targets.emplace(target.Info.Id, target);
  }
}

std::vector<balance::TargetInfo> Simulation::targetInfos() const {
  std::vector<balance::TargetInfo> infos;
  for (const auto &[id, target] : Targets)
    infos.push_back(target.Info);
  return infos;
}

void Simulation::schedule(Duration delay, std::function<void()> action) {
  Events.push({(Clock.now() + delay).Ms, ++LastSequence, std::move(action)});
}

void Simulation::runDueEvents() {
  while (!Events.empty() && Events.top().At <= Clock.now().Ms) {
    std::function<void()> action = Events.top().Action;
    Events.pop();
    action();
  }
}

Duration Simulation::oneWayDelay(const Attempt &attempt) const {
  return CurrentDeployment.oneWayDelay(regionOfVm(attempt.CallerRequest.Vm),
                                       Targets.at(attempt.Target).Region);
}

uint64_t Simulation::send(const Request &request, const TargetId &target, uint32_t number,
                          AttemptDone done) {
  const uint64_t id = ++LastAttemptId;
  Attempt attempt;
  attempt.CallerRequest = request;
  attempt.Target = target;
  attempt.Number = number;
  attempt.Done = std::move(done);
  Duration delay = oneWayDelay(Attempts.emplace(id, std::move(attempt)).first->second);
  Result.BadVersionRequests += targets().at(target).Info.Version.Value != "v1" ? 1 : 0;
  schedule(delay, [this, id] { onArrival(id); });
  return id;
}

void Simulation::onArrival(uint64_t id) {
  auto it = Attempts.find(id);
  if (it == Attempts.end() || it->second.Ended)
    return;
  SimulatedTarget &target = Targets.at(it->second.Target);
  if (!target.Up)
    return finish(id, Outcome::ConnectFailed);
  if (target.Running < target.Info.Slots || target.Info.Slots == 0)
    return start(id, target);
  target.Queue.push_back(id);
}

void Simulation::start(uint64_t id, SimulatedTarget &target) {
  Attempt &attempt = Attempts.at(id);
  attempt.Running = true;
  ++target.Running;
  ++target.Served;
  pcg32 rng(Seed ^ (attempt.CallerRequest.Id * 16 + attempt.Number), attempt.CallerRequest.Id);
  std::lognormal_distribution<double> serviceTime(
      std::log(CurrentDeployment.Services[attempt.CallerRequest.Service].MedianMs), ServiceSigma);
  std::uniform_real_distribution<double> uniform(0, 1);
  double ms = serviceTime(rng) * target.SlowFactor;
  if (uniform(rng) < StallShare)
    ms *= StallFactor;
  if (target.Cold)
    ms *= 1 + (ColdFactor - 1) * std::exp(-target.Served / ColdRequests);
  const bool fails = uniform(rng) < target.FailShare;
  schedule({std::max<int64_t>(1, std::llround(ms))},
           [this, id, fails] { finish(id, fails ? Outcome::Failed : Outcome::Good); });
}

void Simulation::finish(uint64_t id, Outcome::Kind kind) {
  auto it = Attempts.find(id);
  if (it == Attempts.end() || it->second.Ended)
    return;
  Attempt &attempt = it->second;
  attempt.Ended = true;
  SimulatedTarget &target = Targets.at(attempt.Target);
  if (attempt.Running) {
    --target.Running;
    startNext(target);
  }
  schedule(oneWayDelay(attempt), [this, id, kind] {
    AttemptDone done = std::move(Attempts.at(id).Done);
    Attempts.erase(id);
    done(kind);
  });
}

void Simulation::startNext(SimulatedTarget &target) {
  while (!target.Queue.empty() && target.Running < std::max(1U, target.Info.Slots)) {
    const uint64_t id = target.Queue.front();
    target.Queue.pop_front();
    auto it = Attempts.find(id);
    if (it != Attempts.end() && !it->second.Ended)
      start(id, target);
  }
}

void Simulation::cancel(uint64_t attempt) {
  auto it = Attempts.find(attempt);
  if (it == Attempts.end())
    return;
  schedule(oneWayDelay(it->second), [this, attempt] { finish(attempt, Outcome::Cancelled); });
}

void Simulation::failRegion(uint32_t region) {
  std::vector<uint64_t> lostAttempts;
  for (auto &[id, target] : Targets)
    if (target.Region == region)
      target.Up = false;
  for (const auto &[id, attempt] : Attempts)
    if (!attempt.Ended && !Targets.at(attempt.Target).Up)
      lostAttempts.push_back(id);
  for (uint64_t id : lostAttempts)
    finish(id, Outcome::ConnectionLost);
}

} // namespace briarspar::tools
