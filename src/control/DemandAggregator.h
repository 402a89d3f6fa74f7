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
  core::Duration Validity{5000}; ///< A sample counts for so long; VMs send one each second.
  core::Duration Interval{500};  ///< The demand is summed up anew this often.
  core::Duration WarmUp{1500};   ///< Within this time all VMs have found a new leader and sent
                                 ///< it a sample.
};

/// What the callers of each region ask of each service: the slots that their requests take and the
/// number of their objects. One entry VM of a large fleet sees little of both, and which of its
/// objects the others see too is not known to it; from the smallest hashes of each VM's objects the
/// number of all follows without a list of them. Used by the leader. Not thread-safe.
class DemandAggregator {
public:
  explicit DemandAggregator(const DemandAggregatorSettings &settings = {}) : Settings(settings) {}

  /// Forgets what was reported. The demand stays unknown until all VMs can have sent a sample.
  void becomeLeader(core::Time now);

  /// Takes the samples of one VM. Without hashes, a sample leaves the objects as they were.
  void report(const core::VmId &vm, const core::RegionId &region,
              absl::Span<const link::ServiceSample> samples, core::Time now);

  /// Returns the demand of all regions; nothing while it is unknown.
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

/// Estimates the size of a set of objects from its smallest hashes, in rising order. With fewer
/// than link::SketchSize of them the set is known whole.
double estimateObjectCount(absl::Span<const uint32_t> smallest);

} // namespace briarspar::control
