#pragma once

#include "catalog/Items.h"
#include "core/Clock.h"

#include <map>
#include <string>
#include <utility>

namespace briarspar::entry {

struct ProcessingTimesSettings {
  double UncachedToGoal = 1.5; ///< Expected time for an unfamiliar object, in latency goals, until
                               ///< answers have been measured.
  double UncachedToTimeout = 0.5; ///< Most that is expected before that, in timeouts of the route:
                                  ///< nothing is refused on a guess.
  double CachedToUncached = 0.35; ///< Expected time for a familiar object, in times for others.
};

/// How long a target works on a request of a route, in ms: for an object that it has recently
/// served, and for others.
struct ProcessingTime {
  double CachedMs = 0;
  double UncachedMs = 0;

  /// True when a measured time is nearer to that for familiar objects.
  bool isNearCached(double ms) const { return ms * ms < CachedMs * UncachedMs; }
};

/// Learns the work times of each route at each service from answers. Not thread-safe.
class ProcessingTimes {
public:
  explicit ProcessingTimes(const ProcessingTimesSettings &settings = {});

  const ProcessingTime &of(const catalog::Route &route, const std::string &service);

  /// Takes the time of an answer of a target that had a free slot.
  void record(const catalog::Route &route, const std::string &service, double ms);

  /// Mean work of the requests of a service, in ms.
  double mean(const std::string &service) const;

  /// Takes the bytes of a request and its answer.
  void recordBytes(const catalog::Route &route, double bytes);

  /// Mean bytes of a request and its answer.
  double bytes(const catalog::Route &route) const;

private:
  const ProcessingTimesSettings Settings;
  std::map<std::pair<std::string, std::string>, ProcessingTime> Times; ///< By route and service.
  std::map<std::string, double> Means;                                 ///< By service.
  std::map<std::string, double> Bytes;                                 ///< By route.
};

} // namespace briarspar::entry
