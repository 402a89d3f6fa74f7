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

/// A back-end service with its own pool of targets.
struct Service {
  std::string Name;
  bool Idempotent = false;
  uint32_t Targets = 0;
  uint32_t SlotsPerTarget = 0;
  double MedianMs = 0; ///< Median service time.
  core::Duration Deadline;

  double meanMs() const; ///< Mean service time of a target with warm caches, including stalls.
  uint32_t slots() const { return Targets * SlotsPerTarget; }
};

/// One of the two reference deployments of the design document. The document does not state service
/// times, deadlines and customer sizes; those here are assumptions.
struct Deployment {
  std::string Name;
  core::Duration IntraRegionRtt; ///< Round-trip time between failure domains of a region.
  core::Duration InterRegionRtt; ///< Round-trip time between regions.
  core::Duration CallerRtt;      ///< Round-trip time between callers and entry VMs.
  uint32_t LinkCapacity = 0;     ///< Requests in flight that saturate the link between two regions.
  std::vector<Service> Services;

  core::Duration oneWayDelay(uint32_t fromRegion, uint32_t toRegion) const;
  core::Duration longestDeadline() const;
  /// Request rate per second that keeps the given fraction of all slots busy.
  double rateAtLoad(double load) const;
};

/// Fraction of the total traffic of each customer: two large and six smaller customers.
const std::vector<double> &customerShares();

/// Service times are log-normal with this sigma. The fraction StallShare of the requests takes
/// StallFactor times as long.
constexpr double ServiceSigma = 0.5;
constexpr double StallShare = 0.01;
constexpr double StallFactor = 5;

const std::vector<Deployment> &deployments();

} // namespace briarspar::tools
