#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <map>

namespace briarspar::entry {

struct RegionShiftLimiterSettings {
  double MaxShiftPerS = 0.025; ///< Part of the requests that may change their region in a second.
                               ///< The platform allows 0.15 from one window of 2 s to the next,
                               ///< together with the homes that move by RegionWeights.
  double MaxShiftPerRequest = 0.01;       ///< So that a few requests in a quiet time move little.
  double MaxOverdraft = 2;                ///< Requests by which a region may be ahead of its share.
  core::Duration DesiredShareWindow{700}; ///< Time constant of the wished shares.
  core::Duration IdleReset{2000};         ///< After so long without a request, shares start anew.
};

/// Bounds how fast the requests of this VM that are not served in the region of their homes move
/// between regions, in either direction: each region has a planned share that follows what the
/// requests wish at a bounded speed, and requests keep to the plan. A bound on the share of the
/// last second alone swings: the requests held back arrive together. Not thread-safe.
class RegionShiftLimiter {
public:
  explicit RegionShiftLimiter(const RegionShiftLimiterSettings &settings = {});

  /// Counts the region that suits a request best. `first` gives the shares to start from after a
  /// pause.
  void recordDesired(const core::RegionId &region, const std::map<core::RegionId, double> &initial,
                     core::Time now);

  /// True when a request may run in the region.
  bool mayUse(const core::RegionId &region) const;

  /// Counts the region where a request is run.
  void recordUsed(const core::RegionId &region);

  /// Lets the plan follow the wishes at once, because targets have failed.
  void snapToDesired();

private:
  struct Share {
    double Desired = 0;
    double Planned = 0;
    double Credit = 0; ///< Requests that the region is behind its plan.
  };

  void start(const std::map<core::RegionId, double> &initial);

  const RegionShiftLimiterSettings Settings;
  std::map<core::RegionId, Share> Shares;
  core::Time LastDesired;
  bool Started = false;
};

} // namespace briarspar::entry
