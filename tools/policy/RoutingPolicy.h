#pragma once

#include "Simulation.h"

#include <memory>
#include <vector>

namespace briarspar::tools {

/// Decides where requests run in one scene.
class RoutingPolicy {
public:
  virtual ~RoutingPolicy() = default;

  /// Takes a request at its entry VM.
  virtual void onRequest(const Request &request) = 0;
  /// Called every millisecond.
  virtual void tick() = 0;

  /// The VMs of a region have ended.
  virtual void onRegionLost(uint32_t region) = 0;
  /// Relative numbers of the callers of a lost region by region that takes them.
  virtual std::vector<double> failoverShares(uint32_t lostRegion) = 0;
  virtual void onOwnerLost() {}
  virtual void startDrain(const core::DomainId &domain) = 0;
  virtual void startVersionMove() = 0;
  /// A load report of a target, 0 to 1000.
  virtual void onLoadReport(const core::TargetId &, uint32_t) {}
};

/// Rate limits by customer for the whole fleet: requests per second and burst.
struct RateLimit {
  double PerSecond = 0;
  int64_t Burst = 0;
};
std::vector<RateLimit> rateLimits(const Deployment &deployment, const Scene &scene);

/// The project's decision objects.
std::unique_ptr<RoutingPolicy> makeManagedPolicy(Simulation &simulation);
/// Static split of rates, round robin over targets, no hedge, FIFO queues at the targets.
std::unique_ptr<RoutingPolicy> makeBaselinePolicy(Simulation &simulation);

/// Runs one scene and returns its figures.
nlohmann::json runScene(const Deployment &deployment, const Scene &scene, uint64_t seed,
                        bool managed);

/// Runs the chosen deployments and scenes; an empty name means all.
nlohmann::json runAll(const std::string &deployment, const std::string &scene, uint64_t seed);
void printTable(const nlohmann::json &rows);

} // namespace briarspar::tools
