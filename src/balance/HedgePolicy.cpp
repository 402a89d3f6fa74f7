#include "balance/HedgePolicy.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <cmath>

namespace briarspar::balance {

using core::Duration;

namespace {

size_t indexOf(HedgeAttempt attempt) { return static_cast<size_t>(attempt); }

} // namespace

bool HedgedRequest::startHedge() {
  std::lock_guard<std::mutex> lock(Mutex);
  if (Delivered || !Running[indexOf(HedgeAttempt::Primary)] ||
      Running[indexOf(HedgeAttempt::Hedge)])
    return false;
  Running[indexOf(HedgeAttempt::Hedge)] = true;
  return true;
}

HedgedRequest::AnswerAction HedgedRequest::answered(HedgeAttempt attempt) {
  std::lock_guard<std::mutex> lock(Mutex);
  Running[indexOf(attempt)] = false;
  if (Delivered)
    return {};
  Delivered = true;
  const HedgeAttempt other =
      attempt == HedgeAttempt::Primary ? HedgeAttempt::Hedge : HedgeAttempt::Primary;
  return {true, Running[indexOf(other)]};
}

bool HedgedRequest::failed(HedgeAttempt attempt) {
  std::lock_guard<std::mutex> lock(Mutex);
  Running[indexOf(attempt)] = false;
  if (Delivered || Running[0] || Running[1])
    return false;
  Delivered = true;
  return true;
}

/// Estimates a quantile over windows of a fixed number of samples. Reports the last complete
/// window, so that old latencies lose their influence.
class HedgePolicy::Estimator {
public:
  explicit Estimator(const HedgeSettings &settings)
      : Settings(settings), Current(newWindow(settings)) {}

  void add(Duration latency) {
    Current(static_cast<double>(latency.Ms));
    if (boost::accumulators::count(Current) < Settings.WindowSamples)
      return;
    LastWindow = boost::accumulators::p_square_quantile(Current);
    Current = newWindow(Settings);
  }

  std::optional<double> quantile() const {
    if (LastWindow)
      return LastWindow;
    if (boost::accumulators::count(Current) < Settings.MinSamples)
      return std::nullopt;
    return boost::accumulators::p_square_quantile(Current);
  }

private:
  using Window = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::p_square_quantile>>;

  static Window newWindow(const HedgeSettings &settings) {
    return Window(boost::accumulators::quantile_probability = settings.Quantile);
  }

  const HedgeSettings &Settings;
  Window Current;
  std::optional<double> LastWindow;
};

HedgePolicy::HedgePolicy(RetryBudget &budget, const HedgeSettings &settings)
    : Budget(budget), Settings(settings) {}

HedgePolicy::~HedgePolicy() = default;

void HedgePolicy::record(const core::RouteId &route, Duration latency) {
  std::lock_guard<std::mutex> lock(Mutex);
  std::unique_ptr<Estimator> &estimator = Routes[route];
  if (!estimator)
    estimator = std::make_unique<Estimator>(Settings);
  estimator->add(latency);
}

std::optional<Duration> HedgePolicy::delay(const core::RouteId &route, bool idempotent) const {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Routes.find(route);
  if (!idempotent || it == Routes.end())
    return std::nullopt;
  const std::optional<double> quantile = it->second->quantile();
  if (!quantile)
    return std::nullopt;
  const auto ms = static_cast<int64_t>(std::ceil(*quantile));
  return Duration{std::clamp(ms, Settings.MinDelay.Ms, Settings.MaxDelay.Ms)};
}

bool HedgePolicy::tryHedge(HedgedRequest &request, bool idempotent) {
  if (!Budget.tryAcquire(idempotent))
    return false;
  if (request.startHedge())
    return true;
  Budget.refund();
  return false;
}

} // namespace briarspar::balance
