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

/// Finds the metrics of a family by their label values. The family itself hashes and checks all
/// labels under one exclusive lock, which every request of every thread would take.
template <class Metric> class MetricCache {
public:
  /// Returns the metric with this key, created by `create` at the first use.
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

/// The metrics of one VM in the Prometheus text format. Safe to use from any thread.
class Metrics {
public:
  Metrics();

  /// Counts a finished request by route, customer and outcome ("ok", "not-run", "ran", "unknown").
  void countRequest(const std::string &route, const std::string &customer,
                    const std::string &outcome);

  /// Counts a request that was refused although the customer's own rate allowed it.
  void countRefusal(const std::string &customer, const std::string &code);

  /// Records the time from the first byte read to the answer handed to the HTTP library, in ms.
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
