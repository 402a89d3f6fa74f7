#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace briarspar::entry {

struct RegionWeightsSettings {
  /// Fraction of the objects that may move to or from a region per second. The platform allows a
  /// change of 0.15 of the requests between consecutive 2 s windows, including those moved by
  /// RegionShiftLimiter.
  double MaxShiftPerS = 0.03;
};

/// Weights that determine the region of each object of a service, for the callers of one region.
/// The weights follow their targets at a limited rate. All VMs of a region compute the same
/// weights, so that the limit holds for their requests in total; the requests of a single VM may
/// still switch between regions. Not thread-safe.
class RegionWeights {
public:
  explicit RegionWeights(const RegionWeightsSettings &settings = {}) : Settings(settings) {}

  /// Moves the weights towards `shares`, which add up to 1. `immediate` removes the rate limit, for
  /// use after targets have failed.
  void update(const std::map<core::RegionId, double> &shares, bool immediate, core::Time now);

  /// Returns the region of an object among those given, or nullopt when none of them has a weight.
  /// A change of the weights moves only as many objects as it requires.
  std::optional<core::RegionId> regionOf(uint64_t object,
                                         const std::set<core::RegionId> &among) const;

  bool isEmpty() const { return Weights.empty(); }

private:
  const RegionWeightsSettings Settings;
  std::map<core::RegionId, double> Weights;
  core::Time UpdatedAt;
};

} // namespace briarspar::entry
