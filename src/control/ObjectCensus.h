#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "core/Ids.h"
#include "link/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarspar::control {

struct ObjectCensusSettings {
  core::Duration Validity{5000}; ///< A sample counts for so long; VMs send one each second.
  core::Duration Interval{500};  ///< Counts are made anew this often.
};

/// Estimates how many objects of each service the callers of a region ask for. One entry VM of a
/// large fleet sees few of them, and which of them the others see too is not known to it; from the
/// smallest hashes of each VM's objects the number of all follows without a list of them. Used by
/// the leader. Not thread-safe.
class ObjectCensus {
public:
  explicit ObjectCensus(const ObjectCensusSettings &settings = {}) : Settings(settings) {}

  /// Takes the samples of one VM.
  void report(const core::VmId &vm, const core::RegionId &region,
              absl::Span<const link::ObjectSample> samples, core::Time now);

  /// Returns the objects of each service in a region.
  const std::vector<link::ObjectCount> &counts(const core::RegionId &region, core::Time now);

private:
  struct VmSamples {
    core::Time At;
    std::vector<link::ObjectSample> Samples;
  };

  struct Region {
    std::map<core::VmId, VmSamples> Vms;
    std::vector<link::ObjectCount> Counts;
    core::Time CountedAt;
  };

  void count(Region &region, core::Time now) const;

  const ObjectCensusSettings Settings;
  std::map<core::RegionId, Region> Regions;
};

/// Estimates the size of a set of objects from its smallest hashes, in rising order. With fewer
/// than link::SampleSize of them the set is known whole.
double estimateObjects(absl::Span<const uint64_t> smallest);

} // namespace briarspar::control
