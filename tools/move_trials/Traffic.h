#pragma once

#include "core/Clock.h"
#include "moves/VersionStats.h"

#include <pcg_random.hpp>

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace briarspar::tools {

enum class Fault : uint8_t {
  GoodColdNoise, ///< No fault: cold start, outages of both versions, small differences.
  GoodCrashes,   ///< Like GoodColdNoise, while single requests crash targets of both versions.
  Failing,       ///< Errors from the start.
  Slow,          ///< Higher latency from the start.
  Late,          ///< Errors or higher latency after a fraction of the time limit.
  Load,          ///< Errors or higher latency above a share of the traffic.
  OneRoute,      ///< Errors or higher latency on one of several routes.
  Crashing ///< Crashes on ordinary requests, which crash protection attributes to the requests.
};

constexpr size_t FaultCount = 8;
std::string_view faultName(Fault fault);
constexpr bool isGood(Fault fault) { return fault <= Fault::GoodCrashes; }

/// A generated move and the behaviour of both versions. Rates are per second; times are in seconds
/// since the start of the move.
struct Scenario {
  struct Route {
    double Rate = 0;
    double ErrorRate = 0;
    double MedianMs = 0;
    double ErrorRatio = 1;   // New version to old, within the tolerances of the controller.
    double LatencyRatio = 1; // New version to old, within the tolerances of the controller.
    bool Faulty = false;
  };
  struct Outage {
    double From = 0;
    double To = 0;
    double ErrorRate = 0;
    double LatencyRatio = 1;
  };

  Fault Kind = Fault::GoodColdNoise;
  double LimitSeconds = 0;
  std::vector<Route> Routes;
  std::vector<Outage> Outages; // Affect both versions equally.
  double FaultErrors = 0;
  double FaultLatencyRatio = 1;
  double FaultFrom = 0;  // For Fault::Late.
  double FaultShare = 0; // For Fault::Load: lowest share of the traffic with the fault.
  double ColdErrors = 0;
  double ColdLatencyRatio = 1;
  double ColdSeconds = 1;
  double CrashesPerSecond = 0;
};

Scenario drawScenario(Fault kind, pcg32 &rng);

/// Load of one version on a route in one interval.
struct VersionLoad {
  double Seconds = 0;          ///< Seconds since the start of the move.
  double SinceShareRaised = 0; ///< Seconds since the share of the new version was last raised.
  double Share = 0;            ///< Fraction of the traffic of the route that the version receives.
  double Requests = 0;         ///< Expected number of requests.
  bool IsNew = false;
};

/// Returns true if the fault of the scenario is active for this version under this load.
bool faultActive(const Scenario &scenario, const VersionLoad &load);

/// Draws the request counts of one route, version and interval.
moves::RequestCounts drawCounts(const Scenario &scenario, const Scenario::Route &route,
                                const VersionLoad &load, pcg32 &rng);

} // namespace briarspar::tools
