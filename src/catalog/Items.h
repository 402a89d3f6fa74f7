#pragma once

#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarspar::catalog {

/// Version of one item. Items are versioned independently; of two contents of an item, the one with
/// the higher version is valid.
using ItemVersion = core::NumberId<struct ItemVersionTag>;

/// A service of a route and its share of the requests.
struct WeightedService {
  std::string Service;
  double Weight = 1; ///< Relative to the weights of the other services of the route.
};

/// Matches requests and defines how they are forwarded.
struct Route {
  std::string Name;
  std::string Host;           ///< Value of the Host header.
  std::string Prefix;         ///< Starts and ends with a slash.
  bool Idempotent = false;    ///< Requests may be executed more than once.
  core::Duration Timeout;     ///< Maximum time a caller waits for the response.
  core::Duration LatencyGoal; ///< A response within this time has its full value.
  uint32_t MaxTargets = 1;    ///< Maximum number of targets to which one request is sent.
  uint32_t Priority = 0;      ///< 0 is the highest priority.
  bool Open = false;          ///< No API key is required.
  bool Sticky = false;        ///< Targets serve recently requested objects faster.
  std::vector<WeightedService> Services;
  std::vector<std::string> HomeRegions; ///< Regions that may serve the route; empty for all.
};

/// A tenant with its keys and rate limit.
struct Customer {
  std::string Name;
  std::vector<std::string> Keys;
  std::optional<uint32_t> Priority; ///< Overrides the priority of the route.
  double RatePerS = 0;              ///< Requests per second over all VMs; 0 for no limit.
  double Burst = 0;                 ///< In requests.
  std::vector<std::string> HomeRegions;
};

/// A group of interchangeable targets.
struct Service {
  std::string Name;
  std::string HealthPath;
  uint32_t MaxConnections = 0; ///< Connections that one target accepts from all VMs together.
  core::Duration ColdDuration; ///< Time after its start during which a target is cold.
  double ColdRatePerS = 0;     ///< Requests per second that a cold target can handle.
};

/// Limits on the requests of callers.
struct CallerLimits {
  uint64_t HeaderBytes = 16 * 1024;
  uint64_t BodyBytes = 64UL * 1024 * 1024;
  core::Duration HeaderTimeout{3000}; ///< From the first byte of the request head to its end.
  core::Duration IdleTimeout{15'000}; ///< Idle time between two requests on a connection.
};

void to_json(core::Json &j, const WeightedService &it);
void from_json(const core::Json &j, WeightedService &it);
void to_json(core::Json &j, const Route &it);
void from_json(const core::Json &j, Route &it);
void to_json(core::Json &j, const Customer &it);
void from_json(const core::Json &j, Customer &it);
void to_json(core::Json &j, const Service &it);
void from_json(const core::Json &j, Service &it);
void to_json(core::Json &j, const CallerLimits &it);
void from_json(const core::Json &j, CallerLimits &it);

} // namespace briarspar::catalog
