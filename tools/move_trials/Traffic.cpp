#include "Traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace briarspar::tools {

namespace {

// Latencies are log-normal with this sigma.
constexpr double LatencySigma = 0.6;
// Above this mean, a normal distribution approximates the Poisson distribution.
constexpr double NormalFrom = 30;
// Mean number of requests in flight that fail when another request crashes their target.
constexpr double LostPerCrash = 3;
// Fraction of the crash errors that crash protection has not recognised yet.
constexpr double UnrecognisedCrashes = 0.1;

double uniform(pcg32 &rng, double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(rng);
}

double logUniform(pcg32 &rng, double low, double high) {
  return std::exp(uniform(rng, std::log(low), std::log(high)));
}

uint32_t poisson(double mean, pcg32 &rng) {
  if (mean <= 0)
    return 0;
  if (mean > NormalFrom) {
    double n = std::normal_distribution<double>(mean, std::sqrt(mean))(rng);
    return static_cast<uint32_t>(std::max(0.0, std::round(n)));
  }
  double limit = std::exp(-mean);
  uint32_t n = 0;
  for (double product = uniform(rng, 0, 1); product > limit; product *= uniform(rng, 0, 1))
    ++n;
  return n;
}

double latencyBelow(double ms, double medianMs) {
  return 0.5 * std::erfc(-std::log(ms / medianMs) / (LatencySigma * std::sqrt(2.0)));
}

bool hasActiveFault(const Scenario &s, const VersionLoad &load) {
  if (isGood(s.Kind) || !load.IsNew)
    return false;
  return load.Seconds >= s.FaultFrom && load.Share >= s.FaultShare;
}

} // namespace

std::string_view faultName(Fault fault) {
  switch (fault) {
  case Fault::GoodColdNoise:
    return "good_cold_noise";
  case Fault::GoodCrashes:
    return "good_crashing_requests";
  case Fault::Failing:
    return "failing";
  case Fault::Slow:
    return "slow";
  case Fault::Late:
    return "late";
  case Fault::Load:
    return "under_load";
  case Fault::OneRoute:
    return "one_route";
  case Fault::Crashing:
    return "crashing_version";
  }
  return "unknown";
}

Scenario drawScenario(Fault kind, pcg32 &rng) {
  Scenario s;
  s.Kind = kind;
  s.LimitSeconds = uniform(rng, 300, 1200);
  size_t routes = kind == Fault::OneRoute ? 2 + rng(2) : 1 + rng(3);
  for (size_t n = 0; n < routes; ++n)
    s.Routes.push_back({logUniform(rng, 20, 400), logUniform(rng, 0.0005, 0.02),
                        logUniform(rng, 3, 100), uniform(rng, 0.8, 1.2), uniform(rng, 0.9, 1.1),
                        kind != Fault::OneRoute});
  if (kind == Fault::OneRoute)
    s.Routes[rng(static_cast<uint32_t>(routes))].Faulty = true;
  for (uint32_t n = rng(4); n > 0; --n) {
    double from = uniform(rng, 0, s.LimitSeconds);
    s.Outages.push_back(
        {from, from + uniform(rng, 5, 30), uniform(rng, 0.02, 0.3), uniform(rng, 1, 4)});
  }
  s.ColdErrors = uniform(rng, 0, 0.03);
  s.ColdLatencyRatio = uniform(rng, 1, 4);
  s.ColdSeconds = uniform(rng, 1, 4);
  if (kind == Fault::GoodCrashes)
    s.CrashesPerSecond = uniform(rng, 0.05, 0.5);

  bool slow = kind == Fault::Slow || (kind > Fault::Slow && kind != Fault::Crashing && rng(2) == 0);
  if (slow)
    s.FaultLatencyRatio = uniform(rng, 2, 5);
  else
    s.FaultErrors = logUniform(rng, 0.05, 1);
  if (kind == Fault::Late)
    s.FaultFrom = uniform(rng, 0.1, 0.8) * s.LimitSeconds;
  if (kind == Fault::Load)
    s.FaultShare = uniform(rng, 0.1, 0.9);
  return s;
}

bool faultActive(const Scenario &scenario, const VersionLoad &load) {
  return hasActiveFault(scenario, load);
}

moves::RequestCounts drawCounts(const Scenario &s, const Scenario::Route &route,
                                const VersionLoad &load, pcg32 &rng) {
  double errors = route.ErrorRate * (load.IsNew ? route.ErrorRatio : 1);
  double median = route.MedianMs * (load.IsNew ? route.LatencyRatio : 1);
  for (const Scenario::Outage &outage : s.Outages)
    if (load.Seconds >= outage.From && load.Seconds < outage.To) {
      errors += outage.ErrorRate;
      median *= outage.LatencyRatio;
    }
  if (load.IsNew) {
    double cold = std::exp(-load.SinceShareRaised / s.ColdSeconds);
    errors += s.ColdErrors * cold;
    median *= 1 + (s.ColdLatencyRatio - 1) * cold;
  }
  double crashErrors = 0;
  if (route.Faulty && hasActiveFault(s, load)) {
    median *= s.FaultLatencyRatio;
    (s.Kind == Fault::Crashing ? crashErrors : errors) += s.FaultErrors;
  }
  errors = std::min(errors, 1.0);

  moves::RequestCounts counts;
  counts.CrashErrors = poisson(load.Requests * std::min(crashErrors, 1 - errors), rng);
  uint32_t crashes = poisson(s.CrashesPerSecond * load.Share, rng);
  uint32_t lost = crashes + poisson(crashes * LostPerCrash, rng);
  uint32_t unrecognised = poisson(lost * UnrecognisedCrashes, rng);
  counts.CrashErrors += lost;
  counts.Errors = counts.CrashErrors + unrecognised + poisson(load.Requests * errors, rng);
  double below = 0;
  for (size_t n = 0; n < moves::LatencyBuckets; ++n) {
    bool last = n + 1 == moves::LatencyBuckets;
    double upTo = last ? 1 : latencyBelow(static_cast<double>(1 << n), median);
    counts.Latency[n] =
        poisson(load.Requests * std::max(0.0, 1 - errors - crashErrors) * (upTo - below), rng);
    counts.Requests += counts.Latency[n];
    below = upTo;
  }
  counts.Requests += counts.Errors;
  return counts;
}

} // namespace briarspar::tools
