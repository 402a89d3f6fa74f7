#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace briarspar::tools {

/// Fault or operation that starts at EventAtMs of a scene.
enum class SceneEvent : uint8_t {
  None,
  RegionLoss,      ///< All VMs and targets of the last region fail.
  Drain,           ///< All targets of one failure domain are drained.
  ColdStart,       ///< Every second target restarts with cold caches.
  BadVersion,      ///< A version that fails 30% of its requests is rolled out.
  LoadReportsStop, ///< Load reports stop while every tenth target is slow.
  OwnerLoss        ///< The leader, which allocates rates and slots, fails.
};

struct Scene {
  std::string Name;
  SceneEvent Event = SceneEvent::None;
  double Load = 0.7; ///< Fraction of all slots in use when the caches are warm.
  int64_t DurationMs = 30'000;
  int64_t EventAtMs = 10'000;
  int64_t WarmUpMs = 5'000; ///< Requests that arrive earlier are not counted.
  std::vector<double> RegionShares{0.4, 0.3, 0.3};
  std::vector<double>
      CustomerFactors; ///< Multiplies the request rate of each customer; empty: all 1.
};

const std::vector<Scene> &scenes();

} // namespace briarspar::tools
