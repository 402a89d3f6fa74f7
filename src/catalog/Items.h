#pragma once

#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarspar::catalog {

/// Version of one item. Items change independently of each other; of two contents of one item the
/// one with the higher version holds.
using ItemVersion = core::NumberId<struct ItemVersionTag>;

/// One service of a route and its share of the route's requests.
struct WeightedService {
  std::string Service;
  double Weight = 1; ///< Relative to the other services of the route.
};

/// Where requests go and how they may be treated.
struct Route {
  std::string Name;
  std::string Host;           ///< Value of the Host header.
  std::string Prefix;         ///< Begins and ends with a slash.
  bool Idempotent = false;    ///< A request may run more than once.
  core::Duration Timeout;     ///< Longest time for which a caller is kept waiting.
  core::Duration LatencyGoal; ///< An answer within this time has its full value.
  uint32_t MaxTargets = 1;    ///< Targets to which one request may be sent.
  uint32_t Priority = 0;      ///< 0 is the most urgent.
  bool Open = false;          ///< Needs no key.
  bool Sticky = false;        ///< Targets serve an object faster that they have recently served.
  std::vector<WeightedService> Services;
  std::vector<std::string> HomeRegions; ///< Empty: any region may serve it.
};

/// Who may call, and how much.
struct Customer {
  std::string Name;
  std::vector<std::string> Keys;
  std::optional<uint32_t> Priority; ///< Goes before the priority of the route.
  double RatePerS = 0;              ///< Requests a second over all VMs; 0: no limit.
  double Burst = 0;                 ///< Requests.
  std::vector<std::string> HomeRegions;
};

/// A kind of target.
struct Service {
  std::string Name;
  std::string HealthPath;
  uint32_t MaxConnections = 0; ///< Connections that one target accepts from all VMs together.
  core::Duration ColdDuration; ///< A target is cold for this long after its start.
  double ColdRatePerS = 0;     ///< Requests a second that a cold target endures.
};

/// Bounds on what callers send.
struct CallerLimits {
  uint64_t HeaderBytes = 16 * 1024;
  uint64_t BodyBytes = 64UL * 1024 * 1024;
  core::Duration HeaderTimeout{3000}; ///< From the first byte of a head to its end.
  core::Duration IdleTimeout{15'000}; ///< Between two requests of a connection.
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
