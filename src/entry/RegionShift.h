#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <map>

namespace briarspar::entry {

struct RegionShiftSettings {
  double MaxMovePerS = 0.025; ///< Part of the requests that may change their region in a second.
                              ///< The platform allows 0.15 from one window of 2 s to the next,
                              ///< together with the homes that move by RegionWeights.
  double MaxMovePerRequest = 0.01; ///< So that a few requests in a quiet time move little.
  double MaxOverdraft = 2;         ///< Requests by which a region may be ahead of its share.
  core::Duration WishWindow{700};  ///< Time constant of the wished shares.
  core::Duration Idle{2000};       ///< After so long without a request, shares start anew.
};

/// Bounds how fast the requests of this VM that are not served in the region of their homes move
/// between regions, in either direction: each region has a planned share that follows what the
/// requests wish at a bounded speed, and requests keep to the plan. A bound on the share of the
/// last second alone swings: the requests held back arrive together. Not thread-safe.
class RegionShift {
public:
  explicit RegionShift(const RegionShiftSettings &settings = {});

  /// Counts the region that suits a request best. `first` gives the shares to start from after a
  /// pause.
  void wish(const core::RegionId &region, const std::map<core::RegionId, double> &first,
            core::Time now);

  /// True when a request may run in the region.
  bool mayUse(const core::RegionId &region) const;

  /// Counts the region where a request is run.
  void count(const core::RegionId &region);

  /// Lets the plan follow the wishes at once, because targets have failed.
  void release();

private:
  struct Share {
    double Wished = 0;
    double Planned = 0;
    double Credit = 0; ///< Requests that the region is behind its plan.
  };

  void start(const std::map<core::RegionId, double> &first);

  const RegionShiftSettings Settings;
  std::map<core::RegionId, Share> Shares;
  core::Time LastWish;
  bool Started = false;
};

} // namespace briarspar::entry
