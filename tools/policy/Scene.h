#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace briarspar::tools {

/// What happens at a scene's FaultAtMs.
enum class SceneEvent : uint8_t {
  None,
  RegionLoss,      ///< VMs and targets of the last region end.
  Drain,           ///< The targets of one failure domain are drained.
  ColdStart,       ///< Half of the targets restart with cold caches.
  BadVersion,      ///< A version that fails often is moved in.
  LoadReportsStop, ///< Load reports stop while two targets are slow.
  OwnerLoss        ///< The leader, owner of rates and slots, is lost.
};

struct Scene {
  std::string Name;
  SceneEvent Event = SceneEvent::None;
  double Load = 0.7; ///< Part of all slots kept busy by warm targets.
  int64_t DurationMs = 30'000;
  int64_t EventAtMs = 10'000;
  int64_t WarmUpMs = 5'000; ///< Requests before it are not counted.
  std::vector<double> RegionShares{0.4, 0.3, 0.3};
  std::vector<double> CustomerFactors; ///< Multiplies a customer's rate; empty: all 1.
};

const std::vector<Scene> &scenes();

} // namespace briarspar::tools
