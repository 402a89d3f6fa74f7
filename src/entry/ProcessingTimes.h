#pragma once

#include "catalog/Items.h"
#include "core/Clock.h"

#include <map>
#include <string>
#include <utility>

namespace briarspar::entry {

struct ProcessingTimesSettings {
  /// Initial estimate for an uncached object, as a multiple of the latency goal.
  double UncachedToGoal = 1.5;
  /// Upper bound of the initial estimate, as a fraction of the route timeout: a request must not be
  /// refused because of a mere estimate.
  double UncachedToTimeout = 0.5;
  /// Initial estimate for a cached object, as a fraction of that for an uncached one.
  double CachedToUncached = 0.35;
};

/// Processing time of a request at a target, in ms, for objects that the target has in its cache
/// and for others.
struct ProcessingTime {
  double CachedMs = 0;
  double UncachedMs = 0;

  /// True when a measured time is closer to CachedMs than to UncachedMs, by ratio.
  bool isNearCached(double ms) const { return ms * ms < CachedMs * UncachedMs; }
};

/// Estimates the processing times of each route and service from responses. Not thread-safe.
class ProcessingTimes {
public:
  explicit ProcessingTimes(const ProcessingTimesSettings &settings = {});

  const ProcessingTime &of(const catalog::Route &route, const std::string &service);

  /// Records a response of a target that had a free slot.
  void record(const catalog::Route &route, const std::string &service, double ms);

  /// Returns the mean processing time of a service, in ms.
  double mean(const std::string &service) const;

  /// Records the size of a request and its response.
  void recordBytes(const catalog::Route &route, double bytes);

  /// Returns the mean size of a request and its response.
  double bytes(const catalog::Route &route) const;

private:
  const ProcessingTimesSettings Settings;
  std::map<std::pair<std::string, std::string>, ProcessingTime> Times; ///< By route and service.
  std::map<std::string, double> Means;                                 ///< By service.
  std::map<std::string, double> Bytes;                                 ///< By route.
};

} // namespace briarspar::entry
