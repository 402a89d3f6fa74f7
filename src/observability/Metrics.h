#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace briarspar::observability {

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
  prometheus::Gauge &LeaseValid;
  prometheus::Gauge &Leader;
  prometheus::Gauge &ConfigVersion;
  prometheus::Gauge &InFlight;
};

} // namespace briarspar::observability
