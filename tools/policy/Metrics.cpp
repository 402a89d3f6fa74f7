#include "Metrics.h"

#include <algorithm>
#include <cmath>

namespace briarspar::tools {

namespace {

int64_t quantile(std::vector<int64_t> values, double q) {
  if (values.empty())
    return 0;
  auto at = static_cast<size_t>(std::ceil(q * static_cast<double>(values.size()))) - 1;
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

double ratio(uint64_t part, uint64_t all) {
  return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

} // namespace

Metrics::Metrics(const Deployment &deployment, const Scene &scene)
    : CurrentDeployment(deployment), CurrentScene(scene), Customers(customerShares().size()) {}

void Metrics::recordOutcome(const Request &request, RequestOutcome outcome, core::Time now) {
  if (request.Arrived.Ms < CurrentScene.WarmUpMs)
    return;
  PerCustomer &customer = Customers[request.Customer];
  ++Requests;
  ++OutcomeCounts[static_cast<size_t>(outcome)];
  const bool refused =
      outcome == RequestOutcome::RateRefused || outcome == RequestOutcome::NoCapacity;
  ++customer.Total;
  customer.Refused += refused ? 1 : 0;
  customer.WithinRate += request.WithinRate ? 1 : 0;
  if (outcome != RequestOutcome::Answered)
    return;
  ++customer.Answered;
  const int64_t latency = (now - request.Arrived + CurrentDeployment.CallerRtt).Ms;
  Latencies.push_back(latency);
  customer.Latencies.push_back(latency);
}

nlohmann::json Metrics::summary() const {
  std::vector<double> shares;
  std::vector<int64_t> tails;
  uint64_t withinRate = 0;
  uint64_t refusedWithinRate = 0;
  for (const PerCustomer &customer : Customers) {
    withinRate += customer.WithinRate;
    refusedWithinRate += customer.refusedWithinRate();
    shares.push_back(std::min(1.0, ratio(customer.Answered, customer.WithinRate)));
    tails.push_back(quantile(customer.Latencies, 0.99));
  }
  std::sort(shares.begin(), shares.end());
  std::sort(tails.begin(), tails.end());
  auto count = [this](RequestOutcome outcome) {
    return OutcomeCounts[static_cast<size_t>(outcome)];
  };
  return {{"requests", Requests},
          {"p50_ms", quantile(Latencies, 0.5)},
          {"p99_ms", quantile(Latencies, 0.99)},
          {"p999_ms", quantile(Latencies, 0.999)},
          {"drain_ms", DrainMs},
          {"worst_customer_share", shares.front()},
          {"median_customer_share", shares[shares.size() / 2]},
          {"worst_customer_p99_ms", tails.back()},
          {"median_customer_p99_ms", tails[tails.size() / 2]},
          {"refused_within_rate", ratio(refusedWithinRate, withinRate)},
          {"rate_refused", count(RequestOutcome::RateRefused)},
          {"no_capacity", count(RequestOutcome::NoCapacity)},
          {"failed", count(RequestOutcome::Failed)},
          {"lost", count(RequestOutcome::Lost)},
          {"move", MoveResult},
          {"bad_version_requests", BadVersionRequests},
          {"retries", Retries},
          {"hedges", Hedges},
          {"late_answers", UnusedAnswers}};
}

} // namespace briarspar::tools
