#include "RoutingPolicy.h"

#include <algorithm>
#include <random>

namespace briarspar::tools {

namespace {

/// Ratio of the rate limit of a customer to the rate that it sends.
constexpr double RateMargin = 1.25;
constexpr double BurstSeconds = 0.5;
/// Time until the callers of a lost region are directed to other VMs: the length of a serving
/// lease.
constexpr int64_t CallerFailoverMs = 3'000;
constexpr int64_t LoadReportMs = 1'000;
constexpr double SlowFactorWithoutReports = 3;
/// Simulated time after the last arrival, in which open requests can complete.
constexpr int64_t CompletionMs = 10'000;
constexpr double TokensPerRequest = 1;

/// Token bucket for the whole fleet: the reference for requests within the rate.
struct FleetBucket {
  RateLimit Limit;
  double Tokens = 0;
  int64_t LastMs = 0;

  bool tryAcquire(int64_t ms) {
    Tokens = std::min(static_cast<double>(Limit.Burst),
                      Tokens + Limit.PerSecond * static_cast<double>(ms - LastMs) / 1000);
    LastMs = ms;
    if (Tokens < TokensPerRequest)
      return false;
    Tokens -= TokensPerRequest;
    return true;
  }
};

/// Generates the requests and the event of a scene.
class SceneDriver {
public:
  SceneDriver(Simulation &simulation, RoutingPolicy &policy)
      : Sim(simulation), Policy(policy), Rng(simulation.Seed),
        RegionShares(simulation.CurrentScene.RegionShares) {
    for (const RateLimit &limit : rateLimits(Sim.CurrentDeployment, Sim.CurrentScene))
      Buckets.push_back({limit, static_cast<double>(limit.Burst), 0});
    for (const Service &service : Sim.CurrentDeployment.Services)
      ServiceRates.push_back(service.slots() * Sim.CurrentScene.Load / service.meanMs());
  }

  void run() {
    for (int64_t ms = 0; ms < Sim.CurrentScene.DurationMs + CompletionMs; ++ms) {
      Sim.Clock.set({ms});
      Sim.runDueEvents();
      if (ms == Sim.CurrentScene.EventAtMs)
        startEvent(Sim.CurrentScene.Event);
      if (ms < Sim.CurrentScene.DurationMs)
        generateRequests(ms);
      if (ms % LoadReportMs == 0)
        reportLoads();
      Policy.tick();
    }
  }

private:
  void startEvent(SceneEvent event) {
    if (event == SceneEvent::RegionLoss)
      loseRegion(RegionCount - 1);
    else if (event == SceneEvent::Drain)
      Policy.startDrain(localityOfVm(0).Domain);
    else if (event == SceneEvent::ColdStart)
      restartHalfOfTargets();
    else if (event == SceneEvent::BadVersion)
      Policy.startVersionMove();
    else if (event == SceneEvent::LoadReportsStop)
      slowTargets();
    else if (event == SceneEvent::OwnerLoss)
      Policy.onOwnerLost();
  }

  void loseRegion(uint32_t region) {
    RegionLost = true;
    Sim.failRegion(region);
    Policy.onRegionLost(region);
    Sim.schedule({CallerFailoverMs}, [this, region] {
      CallersMoved = true;
      std::vector<double> shares = Policy.failoverShares(region);
      double rest = RegionShares[region];
      RegionShares[region] = 0;
      for (uint32_t n = 0; n < RegionCount; ++n)
        if (n != region)
          RegionShares[n] += rest * shares[n];
    });
  }

  void restartHalfOfTargets() {
    size_t n = 0;
    for (auto &[id, target] : Sim.targets())
      if (n++ % 2 == 0) {
        target.Cold = true;
        target.Served = 0;
      }
  }

  void slowTargets() {
    size_t n = 0;
    for (auto &[id, target] : Sim.targets())
      if (n++ % 10 == 0)
        target.SlowFactor = SlowFactorWithoutReports;
  }

  void reportLoads() {
    const bool stopped = Sim.CurrentScene.Event == SceneEvent::LoadReportsStop &&
                         Sim.Clock.now().Ms >= Sim.CurrentScene.EventAtMs;
    if (stopped)
      return;
    for (const auto &[id, target] : Sim.targets())
      if (target.Up)
        Policy.onLoadReport(id, 1000 * target.Running / std::max(1U, target.Info.Slots));
  }

  void generateRequests(int64_t ms) {
    const std::vector<double> &shares = customerShares();
    const std::vector<double> &factors = Sim.CurrentScene.CustomerFactors;
    for (uint32_t c = 0; c < shares.size(); ++c)
      for (uint32_t s = 0; s < ServiceRates.size(); ++s) {
        double mean = shares[c] * ServiceRates[s] * (factors.empty() ? 1 : factors[c]);
        for (int n = std::poisson_distribution<int>(mean)(Rng); n > 0; --n)
          generateRequest(ms, c, s);
      }
  }

  void generateRequest(int64_t ms, uint32_t customer, uint32_t service) {
    Request request;
    request.Id = ++LastId;
    request.Customer = customer;
    request.Service = service;
    // All random numbers are drawn before anything depends on the policy, so that both policies
    // get the same requests.
    const double draw = std::uniform_real_distribution<double>(0, 1)(Rng);
    const uint32_t vm = Rng(VmsPerRegion);
    request.Vm = regionOfDraw(draw) * VmsPerRegion + vm;
    request.Arrived = {ms};
    request.WithinRate = Buckets[customer].tryAcquire(ms);
    if (RegionLost && regionOfVm(request.Vm) == RegionCount - 1)
      Sim.Result.recordOutcome(request,
                               CallersMoved ? RequestOutcome::NoCapacity : RequestOutcome::Lost,
                               Sim.Clock.now());
    else
      Policy.onRequest(request);
  }

  /// Callers that no region has taken over stay with the last one.
  uint32_t regionOfDraw(double draw) const {
    for (uint32_t n = 0; n < RegionCount; ++n) {
      if (draw < RegionShares[n])
        return n;
      draw -= RegionShares[n];
    }
    return RegionCount - 1;
  }

  Simulation &Sim;
  RoutingPolicy &Policy;
  pcg32 Rng;
  std::vector<double> RegionShares;
  std::vector<double> ServiceRates; ///< Requests per millisecond.
  std::vector<FleetBucket> Buckets;
  uint64_t LastId = 0;
  bool RegionLost = false;
  bool CallersMoved = false;
};

} // namespace

std::vector<RateLimit> rateLimits(const Deployment &deployment, const Scene &scene) {
  std::vector<RateLimit> limits;
  for (double share : customerShares()) {
    const double rate = deployment.rateAtLoad(scene.Load) * share * RateMargin;
    limits.push_back({rate, std::max<int64_t>(5, static_cast<int64_t>(rate * BurstSeconds))});
  }
  return limits;
}

nlohmann::json runScene(const Deployment &deployment, const Scene &scene, uint64_t seed,
                        bool managed) {
  Simulation simulation(deployment, scene, seed);
  std::unique_ptr<RoutingPolicy> policy =
      managed ? makeManagedPolicy(simulation) : makeBaselinePolicy(simulation);
  SceneDriver(simulation, *policy).run();
  nlohmann::json row = simulation.Result.summary();
  row["deployment"] = deployment.Name;
  row["scene"] = scene.Name;
  row["policy"] = managed ? "briarspar" : "baseline";
  return row;
}

nlohmann::json runAll(const std::string &deployment, const std::string &scene, uint64_t seed) {
  nlohmann::json rows = nlohmann::json::array();
  for (const Deployment &d : deployments())
    for (const Scene &s : scenes())
      if ((deployment.empty() || d.Name == deployment) && (scene.empty() || s.Name == scene))
        for (bool managed : {true, false})
          rows.push_back(runScene(d, s, seed, managed));
  return rows;
}

} // namespace briarspar::tools
