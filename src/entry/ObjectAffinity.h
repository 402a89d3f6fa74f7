#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "core/Ids.h"
#include "entry/ProcessingTimes.h"
#include "entry/RegionWeights.h"
#include "link/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarspar::entry {

struct ObjectAffinitySettings {
  /// An object counts as active for this long after a request for it.
  core::Duration ActiveWindow{15'000};
  /// Initial estimate of the number of objects in the cache of a target.
  double InitialCacheCapacity = 30;
  double MinCacheCapacity = 8;
  double MaxCacheCapacity = 400;
  /// The estimated cache capacity grows while the hit ratio is above this.
  double GrowHitRatio = 0.85;
  /// The estimated cache capacity shrinks while the hit ratio is below this.
  double ShrinkHitRatio = 0.6;
  /// Part of a region's slots that requests of its own callers may use. Each target is primary for
  /// few objects, so that load is uneven: at 0.6 many targets are full.
  double MaxSlotUse = 0.45;
  core::Duration DemandWindow{2000}; ///< Time constant of the demand estimate.
  /// Demand is averaged over at least this span, which is the report interval.
  core::Duration MinDemandSpan{400};
};

/// A target that an object may be assigned to.
struct AffinityCandidate {
  const core::TargetId *Id = nullptr;
  const core::RegionId *Region = nullptr;
  double Slots = 0;
  bool IsPrimary = false; ///< Set by markPreferred().
  /// Set by markPreferred(): serves the object while its primary target is full.
  bool IsFallback = false;
};

/// Controls whether and how a request updates the region shares.
struct ShareUpdate {
  core::Time Now;
  bool IsComplete = true; ///< The candidates include every target that serves the service;
                          ///< otherwise restrictions of the request excluded some.
  bool Immediate = false; ///< Targets have failed: shares change without a rate limit.
};

/// Assigns objects to targets so that requests for an object hit the cache of the same target. All
/// entry VMs of a region compute the same assignment without communication. Rendezvous hashing
/// selects a region, weighted by RegionWeights, and a primary target in it, and two fallback
/// targets for when the primary is full: the runner-up in that region, and the best target of the
/// caller's region or, failing that, of another region. When a region has more active objects than
/// its targets can cache, or more demand than its slots can serve while other regions have free
/// slots, a part of its objects is assigned to those regions. There is no primary per failure
/// domain: each additional primary costs one cache miss per object, which costs more than the
/// traffic it saves.
class ObjectAffinity {
public:
  explicit ObjectAffinity(const ObjectAffinitySettings &settings = {});

  /// Records a request to a service, with or without an object. `time` is its expected processing
  /// time.
  void recordRequest(const std::string &service, std::optional<uint64_t> object,
                     const ProcessingTime &time, core::Time now);

  /// Marks the primary and fallback targets of the object for callers of a region.
  void markPreferred(const std::string &service, uint64_t object, const core::RegionId &region,
                     absl::Span<AffinityCandidate> candidates, const ShareUpdate &update);

  /// Updates the estimated cache capacity of a target. `wasHit` tells whether a primary target
  /// responded as fast as for a cached object.
  void recordHit(const std::string &service, bool wasHit);

  /// Returns the demand of this VM's callers for each service, optionally with a sample of object
  /// hashes.
  std::vector<link::ServiceSample> samples(core::Time now, bool withObjects) const;

  /// Sets the demand of all regions as aggregated by the leader.
  void setDemand(absl::Span<const link::ServiceDemand> demand);

  /// Returns the estimated number of active objects of a service in the region.
  double objectCount(const std::string &service, const core::RegionId &region) const;

  /// Returns the estimated number of objects that a target of the service can cache.
  double cacheCapacity(const std::string &service) const;

private:
  struct Service {
    std::unordered_map<uint64_t, core::Time> LastRequested;
    core::Time NextPrune;
    /// By region; empty until the leader has sent it.
    std::map<core::RegionId, link::ServiceDemand> Demand;
    double Slots = 0; ///< Slots used by requests of this VM as of DemandAt, exponentially decayed.
    core::Time DemandAt;
    core::Time DemandFrom; ///< Time of the first request.
    RegionWeights Weights; ///< Region weights for objects requested by callers of this region.
    core::Time SharesUpdatedAt;
    double RecentHitRatio = 0; ///< Exponential average of the hit ratio with a short window, used
                               ///< for the demand estimate.
    uint64_t Hits = 0;         ///< Number of responses from primary targets, whether cached or not.
    double CacheCapacity = 0;
    /// Exponential average with a long window; starts between the two thresholds.
    double HitRatio = 0.75;
  };

  double agedSlots(const Service &service, core::Time now) const;
  double slots(const Service &service, core::Time now) const;
  std::map<core::RegionId, double>
  targetShares(const std::string &name, const core::RegionId &region,
               absl::Span<const AffinityCandidate> candidates) const;

  const ObjectAffinitySettings Settings;
  std::map<std::string, Service> Services;
};

} // namespace briarspar::entry
