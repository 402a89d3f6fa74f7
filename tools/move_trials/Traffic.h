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
  GoodColdNoise, ///< Cold start, shared outages, small differences.
  GoodCrashes,   ///< The same, while single requests crash targets of both versions.
  Failing,       ///< Errors at once.
  Slow,          ///< Latency at once.
  Late,          ///< Errors or latency after a part of the limit.
  Load,          ///< Errors or latency above a share.
  OneRoute,      ///< Errors or latency on one of several routes.
  Crashing       ///< Crashes on ordinary requests; crash protection blames the requests.
};

constexpr size_t FaultCount = 8;
std::string_view faultName(Fault fault);
constexpr bool isGood(Fault fault) { return fault <= Fault::GoodCrashes; }

/// A generated move with the behaviour of both versions. Rates are per second, times in seconds
/// from the start of the move.
struct Scenario {
  struct Route {
    double Rate = 0;
    double ErrorRate = 0;
    double MedianMs = 0;
    double ErrorRatio = 1;   // Of the new version, within the tolerances.
    double LatencyRatio = 1; // Of the new version, within the tolerances.
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
  std::vector<Outage> Outages; // Both versions alike.
  double FaultErrors = 0;
  double FaultLatencyRatio = 1;
  double FaultFrom = 0;  // Late.
  double FaultShare = 0; // Load: part of the traffic.
  double ColdErrors = 0;
  double ColdLatencyRatio = 1;
  double ColdSeconds = 1;
  double CrashesPerSecond = 0;
};

Scenario drawScenario(Fault kind, pcg32 &rng);

/// What reaches a version at one moment.
struct VersionLoad {
  double Seconds = 0;          ///< Time since the start of the move.
  double SinceShareRaised = 0; ///< Time since the version's share last rose.
  double Share = 0;            ///< Part of the route's traffic on the version.
  double Requests = 0;         ///< Expected requests.
  bool IsNew = false;
};

/// True if the new version misbehaves under this load on any route.
bool faultActive(const Scenario &scenario, const VersionLoad &load);

/// Draws the counts of one route, version and interval.
moves::RequestCounts drawCounts(const Scenario &scenario, const Scenario::Route &route,
                                const VersionLoad &load, pcg32 &rng);

} // namespace briarspar::tools
