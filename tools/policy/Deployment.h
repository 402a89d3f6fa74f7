#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::tools {

constexpr uint32_t RegionCount = 3;
constexpr uint32_t DomainsPerRegion = 2;
constexpr uint32_t VmsPerRegion = 4;
constexpr uint32_t VmCount = RegionCount * VmsPerRegion;

/// A back end with its own targets.
struct Service {
  std::string Name;
  bool Idempotent = false;
  uint32_t Targets = 0;
  uint32_t SlotsPerTarget = 0;
  double MedianMs = 0; ///< Service time.
  core::Duration Deadline;

  double meanMs() const; ///< Mean service time of a warm target, with stalls.
  uint32_t slots() const { return Targets * SlotsPerTarget; }
};

/// A deployment of section 2 of the design page. Service times, deadlines and the sizes of the
/// customers are assumptions; the page does not state them.
struct Deployment {
  std::string Name;
  core::Duration IntraRegionRtt; ///< Round trip between failure domains.
  core::Duration InterRegionRtt; ///< Round trip.
  core::Duration CallerRtt;      ///< Round trip.
  uint32_t LinkCapacity = 0;     ///< Requests in flight that fill the link of a region pair.
  std::vector<Service> Services;

  core::Duration oneWayDelay(uint32_t fromRegion, uint32_t toRegion) const;
  core::Duration longestDeadline() const;
  /// Requests per second that keep this part of all slots busy.
  double rateAtLoad(double load) const;
};

/// Share of the whole traffic by customer: two large ones, six smaller ones.
const std::vector<double> &customerShares();

/// Spread of the logarithm of service times, and stalls: the part of requests that take longer.
constexpr double ServiceSigma = 0.5;
constexpr double StallShare = 0.01;
constexpr double StallFactor = 5;

const std::vector<Deployment> &deployments();

} // namespace briarspar::tools
