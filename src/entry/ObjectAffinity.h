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
  core::Duration ActiveWindow{15'000}; ///< An object asked for within it is in use.
  double InitialCacheCapacity = 30;    ///< Objects that a target is taken to remember at first.
  double MinCacheCapacity = 8;
  double MaxCacheCapacity = 400;
  double GrowHitRatio = 0.85;  ///< With more familiar answers than this, the estimate grows.
  double ShrinkHitRatio = 0.6; ///< With fewer, it shrinks.
  double MaxSlotUse = 0.45;    ///< Part of a region's slots that its callers' requests may take. A
                               ///< home has few objects, so that homes are loaded unevenly: at 0.6
                               ///< many of them are full, as MEASUREMENTS tells.
  core::Duration DemandWindow{2000}; ///< Time constant of the measured demand.
  core::Duration MinDemandSpan{400}; ///< Demand is taken to be measured for so long at least: the
                                     ///< interval of reports.
};

/// A target among which an object's homes are chosen.
struct AffinityCandidate {
  const core::TargetId *Id = nullptr;
  const core::RegionId *Region = nullptr;
  double Slots = 0;
  bool IsPrimary = false;  ///< Set by markHomes().
  bool IsFallback = false; ///< Set by markHomes(): serves the object when its home is full.
};

/// How a request bears on the parts of the regions.
struct ShareUpdate {
  core::Time Now;
  bool IsComplete = true; ///< The candidates are all targets that may serve the service's requests.
  bool Immediate = false; ///< Targets have failed: parts move without a bound on their speed.
};

/// Decides which target serves an object, alike on all entry VMs of a region without a message
/// between them, so that a target keeps meeting the objects that it remembers. Rendezvous hashing
/// picks a region by RegionWeights and one target there, and two spare ones for times when it is
/// full: the next target of that region and the best of the caller's region or of another one. Of
/// the objects beyond what the region's targets remember, or what their slots can serve while other
/// regions have slots free, a part has its home in one of those regions instead. One home a failure
/// domain was measured too: each further home costs one slow answer an object, more than the bytes
/// it saves.
class ObjectAffinity {
public:
  explicit ObjectAffinity(const ObjectAffinitySettings &settings = {});

  /// Counts a request to a service, for an object or for none. `time` is how long it takes a
  /// target.
  void recordRequest(const std::string &service, std::optional<uint64_t> object,
                     const ProcessingTime &time, core::Time now);

  /// Marks the candidates that are home and spares of the object for callers of a region.
  void markPreferred(const std::string &service, uint64_t object, const core::RegionId &region,
                     absl::Span<AffinityCandidate> candidates, const ShareUpdate &update);

  /// Learns how many objects a target remembers: whether an answer that was expected to be fast,
  /// because its target is the object's home, was.
  void recordHit(const std::string &service, bool wasHit);

  /// Returns what this VM's callers ask of each service, with hashes of the objects or without.
  std::vector<link::ServiceSample> samples(core::Time now, bool withObjects) const;

  /// Takes what the callers of all regions ask for.
  void setDemand(absl::Span<const link::ServiceDemand> demand);

  /// Objects of a service that the callers of the region ask for, as far as is known.
  double objectCount(const std::string &service, const core::RegionId &region) const;

  /// Objects that a target of the service is taken to remember.
  double cacheCapacity(const std::string &service) const;

private:
  struct Service {
    std::unordered_map<uint64_t, core::Time> LastRequested;
    core::Time NextPrune;
    std::map<core::RegionId, link::ServiceDemand> Demand; ///< As far as is known.
    double Slots = 0; ///< Taken by the requests of this VM at DemandAt, exponentially aged.
    core::Time DemandAt;
    core::Time DemandFrom; ///< First request.
    RegionWeights Weights; ///< Of the objects of this VM's callers.
    core::Time SharesUpdatedAt;
    double RecentHitRatio =
        0;             ///< Part of the requests whose home knew the object, exponentially aged.
    uint64_t Hits = 0; ///< Answers of homes, fast or not.
    double CacheCapacity = 0;
    double HitRatio = 0.75; ///< Exponentially aged; starts between the two thresholds.
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
