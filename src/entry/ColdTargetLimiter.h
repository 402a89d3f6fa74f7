#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "core/Ids.h"
#include "link/Messages.h"

#include <string>
#include <vector>

namespace briarspar::entry {

struct ColdTargetLimiterSettings {
  double RateFactor =
      1.5; ///< Requests a second to a cold target, in its rate; the platform's bound.
  double ExtraRatePerS = 5; ///< Requests a second beyond that; the platform's bound.
  double UsableShare = 0.6; ///< Part of that bound that all VMs together use, as they may briefly
                            ///< disagree on who is there.
};

/// Shares the few requests that a cold target endures between the entry VMs, without a message:
/// the VMs of the target's region send in turn, or where they are too many, those with the highest
/// hashes.
class ColdTargetLimiter {
public:
  ColdTargetLimiter(core::VmId own, core::RegionId region,
                    const ColdTargetLimiterSettings &settings = {});

  /// Takes the live entry VMs.
  void setEntries(absl::Span<const link::EntryLocation> entries);

  /// True when this VM may send to the target while it is cold.
  bool maySend(const core::TargetId &target, const core::RegionId &region, double ratePerS) const;

  /// Returns the time between two requests of this VM to one cold target.
  core::Duration interval(double ratePerS) const;

private:
  double maxTotalRatePerS(double ratePerS) const;

  const core::VmId Own;
  const core::RegionId Region;
  const ColdTargetLimiterSettings Settings;
  std::vector<core::VmId> Entries; ///< Of this region.
};

} // namespace briarspar::entry
