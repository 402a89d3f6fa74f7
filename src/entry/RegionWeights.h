#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace briarspar::entry {

struct RegionWeightsSettings {
  double MaxShiftPerS = 0.03; ///< Part of the objects that may move to or from a region in a
                              ///< second. The platform allows 0.15 of the requests from one window
                              ///< of 2 s to the next, together with those of RegionShift.
};

/// The parts of a service's objects that have their homes in each region, for the callers of one
/// region. The parts follow what is aimed at with a bounded speed. Alike on all VMs of a region, so
/// that the requests of all VMs together move no faster, while those of one VM may go to any region
/// by turns. Not thread-safe.
class RegionWeights {
public:
  explicit RegionWeights(const RegionWeightsSettings &settings = {}) : Settings(settings) {}

  /// Takes the parts that are aimed at, which add up to 1. `atOnce` is for times when targets have
  /// failed.
  void update(const std::map<core::RegionId, double> &parts, bool immediate, core::Time now);

  /// Returns the region of an object among those given, of which at least one should have a weight;
  /// nothing when none has. When the weights change, only the objects in the change move.
  std::optional<core::RegionId> regionOf(uint64_t object,
                                         const std::set<core::RegionId> &among) const;

  bool isEmpty() const { return Weights.empty(); }

private:
  const RegionWeightsSettings Settings;
  std::map<core::RegionId, double> Weights;
  core::Time UpdatedAt;
};

} // namespace briarspar::entry
