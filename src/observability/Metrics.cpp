#include "observability/Metrics.h"

#include <prometheus/text_serializer.h>

#include <initializer_list>
#include <string_view>

namespace briarspar::observability {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBucketsMs{
    1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 250, 500, 1000, 2500, 5000, 10000};

prometheus::Gauge &addGauge(prometheus::Registry &registry, const char *name, const char *help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

/// Joins label values into a cache key, with a separator that label values cannot contain.
std::string joinLabels(std::initializer_list<std::string_view> values) {
  std::string key;
  for (std::string_view value : values) {
    key.append(value);
    key.push_back('\n');
  }
  return key;
}

} // namespace

Metrics::Metrics()
    : Registry(std::make_shared<prometheus::Registry>()),
      Requests(prometheus::BuildCounter()
                   .Name("briarspar_requests_total")
                   .Help("Finished requests by route, customer and outcome")
                   .Register(*Registry)),
      Refusals(prometheus::BuildCounter()
                   .Name("briarspar_refusals_total")
                   .Help("Refused requests by customer and code")
                   .Register(*Registry)),
      Latency(prometheus::BuildHistogram()
                  .Name("briarspar_request_latency_ms")
                  .Help("Request latency at the entry VM in milliseconds")
                  .Register(*Registry)),
      LeaseValid(
          addGauge(*Registry, "briarspar_lease_valid", "1 while the serving lease is valid")),
      Leader(addGauge(*Registry, "briarspar_leader", "1 while this VM leads its agreement group")),
      ConfigVersion(
          addGauge(*Registry, "briarspar_config_version", "Applied configuration version")),
      InFlight(addGauge(*Registry, "briarspar_requests_in_flight", "Requests being processed")) {}

void Metrics::countRequest(const std::string &route, const std::string &customer,
                           const std::string &outcome) {
  auto create = [&]() -> prometheus::Counter & {
    return Requests.Add({{"route", route}, {"customer", customer}, {"outcome", outcome}});
  };
  RequestCounters.find(joinLabels({route, customer, outcome}), create).Increment();
}

void Metrics::countRefusal(const std::string &customer, const std::string &code) {
  auto create = [&]() -> prometheus::Counter & {
    return Refusals.Add({{"customer", customer}, {"code", code}});
  };
  RefusalCounters.find(joinLabels({customer, code}), create).Increment();
}

void Metrics::observeLatency(const std::string &route, double ms) {
  auto create = [&]() -> prometheus::Histogram & {
    return Latency.Add({{"route", route}}, LatencyBucketsMs);
  };
  LatencyHistograms.find(route, create).Observe(ms);
}

std::string Metrics::render() const {
  return prometheus::TextSerializer().Serialize(Registry->Collect());
}

} // namespace briarspar::observability
