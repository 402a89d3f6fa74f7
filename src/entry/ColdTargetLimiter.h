#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "core/Ids.h"
#include "link/Messages.h"

#include <string>
#include <vector>

namespace briarspar::entry {

struct ColdTargetLimiterSettings {
  double RateFactor = 1.5; ///< Allowed request rate to a cold target, as a factor of its cold rate;
                           ///< set by the platform.
  double ExtraRatePerS = 5; ///< Requests per second allowed in addition; set by the platform.
  double UsableShare = 0.6; ///< Part of the allowed rate that all VMs together use. The rest
                            ///< absorbs the time in which VMs disagree about the list of entry VMs.
};

/// Divides the limited request rate of a cold target among the entry VMs without communication.
/// Only VMs in the region of the target send to it; if the rate is too low for all of them, only
/// those with the highest rendezvous hashes do. Each of them sends at most one request per
/// interval().
class ColdTargetLimiter {
public:
  ColdTargetLimiter(core::VmId own, core::RegionId region,
                    const ColdTargetLimiterSettings &settings = {});

  /// Sets the live entry VMs.
  void setEntries(absl::Span<const link::EntryLocation> entries);

  /// True when this VM is among those that may send to the target while it is cold.
  bool maySend(const core::TargetId &target, const core::RegionId &region, double ratePerS) const;

  /// Returns how many VMs of this region come before this one for the target, in an order on which
  /// all VMs agree.
  size_t rank(const core::TargetId &target) const;

  /// Returns the minimum time between two requests of this VM to the same cold target.
  core::Duration interval(double ratePerS) const;

private:
  double maxTotalRatePerS(double ratePerS) const;

  const core::VmId Own;
  const core::RegionId Region;
  const ColdTargetLimiterSettings Settings;
  std::vector<core::VmId> Entries; ///< Live entry VMs in the region of this VM.
};

} // namespace briarspar::entry
