#include "Measures.h"

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

Measures::Measures(const Deployment &deployment, const Scene &scene)
    : Where(deployment), What(scene), Customers(customerShares().size()) {}

void Measures::ended(const Request &request, Ending ending, core::Time now) {
  if (request.Arrived.Ms < What.WarmUpMs)
    return;
  PerCustomer &customer = Customers[request.Customer];
  ++Requests;
  ++Counts[static_cast<size_t>(ending)];
  const bool refused = ending == Ending::RateRefused || ending == Ending::NoCapacity;
  ++customer.All;
  customer.Refused += refused ? 1 : 0;
  customer.Within += request.Within ? 1 : 0;
  if (ending != Ending::Answered)
    return;
  ++customer.Answered;
  const int64_t latency = (now - request.Arrived + Where.ToCallers).Ms;
  Latencies.push_back(latency);
  customer.Latencies.push_back(latency);
}

nlohmann::json Measures::summary() const {
  std::vector<double> shares;
  std::vector<int64_t> tails;
  uint64_t within = 0;
  uint64_t refusedWithin = 0;
  for (const PerCustomer &customer : Customers) {
    within += customer.Within;
    refusedWithin += customer.refusedWithin();
    shares.push_back(std::min(1.0, ratio(customer.Answered, customer.Within)));
    tails.push_back(quantile(customer.Latencies, 0.99));
  }
  std::sort(shares.begin(), shares.end());
  std::sort(tails.begin(), tails.end());
  auto count = [this](Ending ending) { return Counts[static_cast<size_t>(ending)]; };
  return {{"requests", Requests},
          {"p50_ms", quantile(Latencies, 0.5)},
          {"p99_ms", quantile(Latencies, 0.99)},
          {"p999_ms", quantile(Latencies, 0.999)},
          {"drain_ms", DrainMs},
          {"worst_customer_share", shares.front()},
          {"median_customer_share", shares[shares.size() / 2]},
          {"worst_customer_p99_ms", tails.back()},
          {"median_customer_p99_ms", tails[tails.size() / 2]},
          {"refused_within_rate", ratio(refusedWithin, within)},
          {"rate_refused", count(Ending::RateRefused)},
          {"no_capacity", count(Ending::NoCapacity)},
          {"failed", count(Ending::Failed)},
          {"lost", count(Ending::Lost)},
          {"move", Move},
          {"bad_version_requests", BadVersionRequests},
          {"retries", Retries},
          {"hedges", Hedges},
          {"late_answers", LateAnswers}};
}

} // namespace briarspar::tools
