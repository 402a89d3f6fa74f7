#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <map>

namespace briarspar::entry {

struct RegionShiftLimiterSettings {
  /// Fraction of the requests that may change region per second. The platform allows a change of
  /// 0.15 between consecutive 2 s windows, including the objects moved by RegionWeights.
  double MaxShiftPerS = 0.025;
  /// Limits the change per request while there is little traffic.
  double MaxShiftPerRequest = 0.01;
  double MaxOverdraft = 2; ///< Requests by which a region may exceed its planned share.
  core::Duration DesiredShareWindow{700}; ///< Time constant of the desired shares.
  core::Duration IdleReset{2000};         ///< Shares are reset after this long without a request.
};

/// Limits how fast this VM's requests that are served outside the region of their primary target
/// shift between regions, in either direction. Each region has a planned share that follows the
/// desired share at a limited rate, and requests are admitted according to the plan. Limiting the
/// share over the last second instead causes oscillation, because the deferred requests move all at
/// once. Not thread-safe.
class RegionShiftLimiter {
public:
  explicit RegionShiftLimiter(const RegionShiftLimiterSettings &settings = {});

  /// Records the preferred region of a request. `initial` gives the shares to start from after a
  /// pause.
  void recordDesired(const core::RegionId &region, const std::map<core::RegionId, double> &initial,
                     core::Time now);

  /// True when the planned share of the region admits a request.
  bool mayUse(const core::RegionId &region) const;

  /// Records the region that a request is sent to.
  void recordUsed(const core::RegionId &region);

  /// Sets the planned shares to the desired ones immediately, after targets have failed.
  void snapToDesired();

private:
  struct Share {
    double Desired = 0;
    double Planned = 0;
    double Credit = 0; ///< Requests by which the region is below its planned share.
  };

  void start(const std::map<core::RegionId, double> &initial);

  const RegionShiftLimiterSettings Settings;
  std::map<core::RegionId, Share> Shares;
  core::Time LastDesired;
  bool Started = false;
};

} // namespace briarspar::entry
