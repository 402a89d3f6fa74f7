#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <shared_mutex>
#include <string>
#include <unordered_map>

namespace briarspar::observability {

/// Caches the metrics of a family by their label values. Looking them up in the family itself
/// hashes and validates all labels under an exclusive lock, on which request threads would contend.
template <class Metric> class MetricCache {
public:
  /// Returns the metric for a key. Calls `create` on first use.
  template <class Create> Metric &find(const std::string &key, const Create &create) {
    {
      std::shared_lock<std::shared_mutex> lock(Mutex);
      auto it = ByKey.find(key);
      if (it != ByKey.end())
        return *it->second;
    }
    std::unique_lock<std::shared_mutex> lock(Mutex);
    return *ByKey.emplace(key, &create()).first->second;
  }

private:
  std::shared_mutex Mutex;
  std::unordered_map<std::string, Metric *> ByKey;
};

/// The Prometheus metrics of one VM. Thread-safe.
class Metrics {
public:
  Metrics();

  /// Counts a finished request by route, customer and outcome ("ok", "not-run", "ran", "unknown").
  void countRequest(const std::string &route, const std::string &customer,
                    const std::string &outcome);

  /// Counts a request that was refused for a reason other than the customer's own rate limit.
  void countRefusal(const std::string &customer, const std::string &code);

  /// Records the time in ms from the first byte of a request until its response is passed to the
  /// HTTP library.
  void observeLatency(const std::string &route, double ms);

  void setLeaseValid(bool valid) { LeaseValid.Set(valid ? 1 : 0); }
  void setLeader(bool leader) { Leader.Set(leader ? 1 : 0); }
  void setConfigVersion(uint64_t version) { ConfigVersion.Set(static_cast<double>(version)); }
  void setInFlight(size_t n) { InFlight.Set(static_cast<double>(n)); }

  /// Renders all metrics in the Prometheus text exposition format.
  std::string render() const;

private:
  std::shared_ptr<prometheus::Registry> Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Counter> &Refusals;
  prometheus::Family<prometheus::Histogram> &Latency;
  MetricCache<prometheus::Counter> RequestCounters;
  MetricCache<prometheus::Counter> RefusalCounters;
  MetricCache<prometheus::Histogram> LatencyHistograms;
  prometheus::Gauge &LeaseValid;
  prometheus::Gauge &Leader;
  prometheus::Gauge &ConfigVersion;
  prometheus::Gauge &InFlight;
};

} // namespace briarspar::observability
