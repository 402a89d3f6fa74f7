#include "Steering.h"

#include <algorithm>
#include <random>

namespace briarspar::tools {

namespace {

/// Rates that customers have bought, relative to what they send.
constexpr double RateMargin = 1.25;
constexpr double BurstSeconds = 0.5;
/// Callers of a lost region find other VMs after a serving lease.
constexpr int64_t CallersMoveAfterMs = 3'000;
constexpr int64_t LoadReportMs = 1'000;
constexpr double SlowWithoutMeasurements = 3;
/// Time after the end of the arrivals in which requests may still end.
constexpr int64_t TailMs = 10'000;
constexpr double FullBucketPart = 1;

/// One bucket for the whole fleet.
struct CentralBucket {
  RateLimit Limit;
  double Level = 0;
  int64_t LastMs = 0;

  bool take(int64_t ms) {
    Level = std::min(static_cast<double>(Limit.Burst),
                     Level + Limit.PerSecond * static_cast<double>(ms - LastMs) / 1000);
    LastMs = ms;
    if (Level < FullBucketPart)
      return false;
    Level -= FullBucketPart;
    return true;
  }
};

/// Generates the callers' requests and the scene's event.
class Driver {
public:
  Driver(World &world, Steering &steering)
      : W(world), S(steering), Rng(world.Seed), Regions(world.What.RegionShares) {
    for (const RateLimit &limit : rateLimits(W.Where, W.What))
      Buckets.push_back({limit, static_cast<double>(limit.Burst), 0});
    for (const Service &service : W.Where.Services)
      ServiceRates.push_back(service.slots() * W.What.Load / service.meanMs());
  }

  void run() {
    for (int64_t ms = 0; ms < W.What.LengthMs + TailMs; ++ms) {
      W.Clock.set({ms});
      W.runDue();
      if (ms == W.What.FaultAtMs)
        begin(W.What.Event);
      if (ms < W.What.LengthMs)
        arrivals(ms);
      if (ms % LoadReportMs == 0)
        reportLoads();
      S.tick();
    }
  }

private:
  void begin(SceneEvent event) {
    if (event == SceneEvent::RegionLoss)
      loseRegion(RegionCount - 1);
    else if (event == SceneEvent::Drain)
      S.drain(placeOfVm(0).Domain);
    else if (event == SceneEvent::ColdStart)
      restartHalf();
    else if (event == SceneEvent::BadVersion)
      S.moveVersion();
    else if (event == SceneEvent::MeasurementsStop)
      slowTwo();
    else if (event == SceneEvent::OwnerLoss)
      S.ownerLost();
  }

  void loseRegion(uint32_t region) {
    Lost = true;
    W.failRegion(region);
    S.regionLost(region);
    W.after({CallersMoveAfterMs}, [this, region] {
      Moved = true;
      std::vector<double> spread = S.spread(region);
      double rest = Regions[region];
      Regions[region] = 0;
      for (uint32_t n = 0; n < RegionCount; ++n)
        if (n != region)
          Regions[n] += rest * spread[n];
    });
  }

  void restartHalf() {
    size_t n = 0;
    for (auto &[id, target] : W.targets())
      if (n++ % 2 == 0) {
        target.Cold = true;
        target.Served = 0;
      }
  }

  void slowTwo() {
    size_t n = 0;
    for (auto &[id, target] : W.targets())
      if (n++ % 10 == 0)
        target.SlowFactor = SlowWithoutMeasurements;
  }

  void reportLoads() {
    const bool stopped =
        W.What.Event == SceneEvent::MeasurementsStop && W.Clock.now().Ms >= W.What.FaultAtMs;
    if (stopped)
      return;
    for (const auto &[id, target] : W.targets())
      if (target.Up)
        S.loadReport(id, 1000 * target.Running / std::max(1U, target.Info.Slots));
  }

  void arrivals(int64_t ms) {
    const std::vector<double> &shares = customerShares();
    const std::vector<double> &factors = W.What.CustomerFactors;
    for (uint32_t c = 0; c < shares.size(); ++c)
      for (uint32_t s = 0; s < ServiceRates.size(); ++s) {
        double mean = shares[c] * ServiceRates[s] * (factors.empty() ? 1 : factors[c]);
        for (int n = std::poisson_distribution<int>(mean)(Rng); n > 0; --n)
          arrive(ms, c, s);
      }
  }

  void arrive(int64_t ms, uint32_t customer, uint32_t service) {
    Request request;
    request.Id = ++LastId;
    request.Customer = customer;
    request.Service = service;
    // Drawn before anything depends on the policy, so that both policies see the same requests.
    const double draw = std::uniform_real_distribution<double>(0, 1)(Rng);
    const uint32_t vm = Rng(VmsPerRegion);
    request.Vm = regionAt(draw) * VmsPerRegion + vm;
    request.Arrived = {ms};
    request.Within = Buckets[customer].take(ms);
    if (Lost && regionOfVm(request.Vm) == RegionCount - 1)
      W.Result.ended(request, Moved ? Ending::NoCapacity : Ending::Lost, W.Clock.now());
    else
      S.arrive(request);
  }

  /// Regions[last] keeps the callers that no other region takes.
  uint32_t regionAt(double draw) const {
    for (uint32_t n = 0; n < RegionCount; ++n) {
      if (draw < Regions[n])
        return n;
      draw -= Regions[n];
    }
    return RegionCount - 1;
  }

  World &W;
  Steering &S;
  pcg32 Rng;
  std::vector<double> Regions;
  std::vector<double> ServiceRates; ///< Requests per millisecond.
  std::vector<CentralBucket> Buckets;
  uint64_t LastId = 0;
  bool Lost = false;
  bool Moved = false;
};

} // namespace

std::vector<RateLimit> rateLimits(const Deployment &deployment, const Scene &scene) {
  std::vector<RateLimit> limits;
  for (double share : customerShares()) {
    const double rate = deployment.rateAt(scene.Load) * share * RateMargin;
    limits.push_back({rate, std::max<int64_t>(5, static_cast<int64_t>(rate * BurstSeconds))});
  }
  return limits;
}

nlohmann::json runScene(const Deployment &deployment, const Scene &scene, uint64_t seed,
                        bool managed) {
  World world(deployment, scene, seed);
  std::unique_ptr<Steering> steering = managed ? makeManaged(world) : makeBaseline(world);
  Driver(world, *steering).run();
  nlohmann::json row = world.Result.summary();
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
