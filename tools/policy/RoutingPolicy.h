#pragma once

#include "Simulation.h"

#include <memory>
#include <vector>

namespace briarspar::tools {

/// Admits the requests of one scene and assigns them to targets.
class RoutingPolicy {
public:
  virtual ~RoutingPolicy() = default;

  /// A request arrived at its entry VM.
  virtual void onRequest(const Request &request) = 0;
  /// Called once per simulated millisecond.
  virtual void tick() = 0;

  /// All VMs of a region have failed.
  virtual void onRegionLost(uint32_t region) = 0;
  /// Returns the fraction of the callers of a lost region that each region takes over.
  virtual std::vector<double> failoverShares(uint32_t lostRegion) = 0;
  virtual void onOwnerLost() {}
  /// Drains all targets of a failure domain.
  virtual void startDrain(const core::DomainId &domain) = 0;
  /// Moves the first service from version v1 to v2.
  virtual void startVersionMove() = 0;
  /// A target reported its load in permille of its slots.
  virtual void onLoadReport(const core::TargetId &, uint32_t) {}
};

/// Rate limit of one customer over the whole fleet.
struct RateLimit {
  double PerSecond = 0;
  int64_t Burst = 0;
};
std::vector<RateLimit> rateLimits(const Deployment &deployment, const Scene &scene);

/// Creates the policy made of the project's admission and load-balancing classes.
std::unique_ptr<RoutingPolicy> makeManagedPolicy(Simulation &simulation);
/// Creates the baseline: rates split evenly over the VMs, round robin over the targets, no hedging,
/// FIFO queues at the targets.
std::unique_ptr<RoutingPolicy> makeBaselinePolicy(Simulation &simulation);

/// Runs one scene and returns its metrics.
nlohmann::json runScene(const Deployment &deployment, const Scene &scene, uint64_t seed,
                        bool managed);

/// Runs the selected deployments and scenes with both policies; an empty name selects all.
nlohmann::json runAll(const std::string &deployment, const std::string &scene, uint64_t seed);
void printTable(const nlohmann::json &rows);

} // namespace briarspar::tools
