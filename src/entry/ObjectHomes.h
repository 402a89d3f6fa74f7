#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "core/Ids.h"
#include "link/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarspar::entry {

struct ObjectHomesSettings {
  core::Duration Window{15'000}; ///< An object asked for within it is in use.
  double FirstRemembered = 30;   ///< Objects that a target is taken to remember at first.
  double LeastRemembered = 8;
  double MostRemembered = 400;
  double GoodHits = 0.85; ///< With more familiar answers than this, the estimate grows.
  double PoorHits = 0.6;  ///< With fewer, it shrinks.
};

/// A target among which an object's homes are chosen.
struct HomeCandidate {
  const core::TargetId *Id = nullptr;
  const core::RegionId *Region = nullptr;
  bool IsHome = false;  ///< Set by markHomes().
  bool IsSpare = false; ///< Set by markHomes(): serves the object when its home is full.
};

/// Decides which target serves an object, alike on all entry VMs of a region without a message
/// between them, so that a target keeps meeting the objects that it remembers. Rendezvous hashing
/// picks one target of the region, and two spare ones for times when it is full: the next target of
/// the region and one of the other regions. Of the objects that fall to a target beyond what it
/// remembers, a fixed part has its home in another region instead. One home a failure domain was
/// measured too: each further home costs one slow answer an object, more than the bytes it saves.
class ObjectHomes {
public:
  explicit ObjectHomes(const ObjectHomesSettings &settings = {});

  /// Counts a request for an object of a service.
  void note(const std::string &service, uint64_t object, core::Time now);

  /// Marks the candidates that are home and spares of the object for callers of a region.
  void markHomes(const std::string &service, uint64_t object, const core::RegionId &region,
                 absl::Span<HomeCandidate> candidates) const;

  /// Learns how many objects a target remembers: whether an answer that was expected to be fast,
  /// because its target is the object's home, was.
  void recordHit(const std::string &service, bool wasFast);

  /// Returns a sample of the objects of each service that this VM's callers ask for.
  std::vector<link::ObjectSample> samples() const;

  /// Takes the number of objects that the callers of the whole region ask for.
  void setCounts(absl::Span<const link::ObjectCount> counts);

  /// Objects of a service that the callers of the region ask for, as far as is known.
  double objects(const std::string &service) const;

  /// Objects that a target of the service is taken to remember.
  double remembered(const std::string &service) const;

private:
  struct Service {
    std::unordered_map<uint64_t, core::Time> LastAsked;
    core::Time NextPrune;
    double InRegion = 0; ///< Objects asked for in the region; 0: unknown.
    double Remembered = 0;
    double HitShare = 0.75; ///< Exponentially aged; starts between the two thresholds.
  };

  const ObjectHomesSettings Settings;
  std::map<std::string, Service> Services;
};

} // namespace briarspar::entry
