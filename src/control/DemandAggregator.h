#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "core/Ids.h"
#include "link/Messages.h"

#include <cstdint>
#include <map>
#include <vector>

namespace briarspar::control {

struct DemandAggregatorSettings {
  core::Duration Validity{5000}; ///< Lifetime of a sample; VMs send one per second.
  core::Duration Interval{500};  ///< Interval between two aggregations.
  /// Time within which every VM has found a new leader and sent it a sample.
  core::Duration WarmUp{1500};
};

/// Aggregates the demand of each region for each service: the slots that its requests occupy and
/// the number of distinct objects they address. A single entry VM of a large fleet sees only a
/// small part of either and does not know which of its objects other VMs see too. The smallest
/// hashes from each VM allow an estimate of the total number of objects without collecting all of
/// them. Used by the leader. Not thread-safe.
class DemandAggregator {
public:
  explicit DemandAggregator(const DemandAggregatorSettings &settings = {}) : Settings(settings) {}

  /// Drops all samples. The demand stays unknown until every VM can have sent a new sample.
  void becomeLeader(core::Time now);

  /// Records the samples of one VM. A sample without hashes leaves the object hashes of the service
  /// unchanged.
  void report(const core::VmId &vm, const core::RegionId &region,
              absl::Span<const link::ServiceSample> samples, core::Time now);

  /// Returns the demand of all regions; empty while it is unknown.
  const std::vector<link::ServiceDemand> &demand(core::Time now);

private:
  struct VmSamples {
    core::RegionId Region;
    core::Time At;
    std::vector<link::ServiceSample> Samples;
  };

  void aggregate(core::Time now);

  const DemandAggregatorSettings Settings;
  std::map<core::VmId, VmSamples> Vms;
  std::vector<link::ServiceDemand> Demand;
  core::Time AggregatedAt;
  core::Time KnownFrom;
};

/// Estimates the number of distinct objects from their smallest hashes in ascending order (k
/// minimum values). With fewer than link::SketchSize hashes the count is exact.
double estimateObjectCount(absl::Span<const uint32_t> smallest);

} // namespace briarspar::control
