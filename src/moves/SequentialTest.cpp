#include "moves/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace briarspar::moves {

namespace {

// Weights of the mixture. They sum to 1, so that the mixture keeps the false alarm rate.
constexpr double ErrorWeight = 0.4;
constexpr double CrashWeight = 0.2;
constexpr double SlowWeight = 0.4;

// Shares are not raised while the evidence is within this factor of rejection.
constexpr double NearRejectionFactor = 100;

// Decay of the weight of earlier latencies per interval.
constexpr double LatencyAging = 0.05;
// Minimum number of earlier latencies of the old version for determining its quantiles.
constexpr double MinOldLatencies = 200;

constexpr std::array<double, 3> SlowQuantiles{0.5, 0.9, 0.99};

// Prevents overflow; far above any rejection threshold.
constexpr double MaxEvidence = 1e30;

uint32_t countSlow(const RequestCounts &counts, size_t threshold) {
  uint32_t sum = 0;
  for (size_t n = threshold + 1; n < LatencyBuckets; ++n)
    sum += counts.Latency[n];
  return sum;
}

uint32_t countAll(const RequestCounts &counts) { return countSlow(counts, 0) + counts.Latency[0]; }

} // namespace

RateEvidence::RateEvidence(uint32_t horizon, double maxPerInterval)
    : StartWeight(1.0 / std::max<uint32_t>(horizon, 1)), MaxPerInterval(maxPerInterval) {}

void RateEvidence::add(double newEvents, double newTrials, double oldEvents, double oldTrials,
                       double ratio, double difference) {
  if (newTrials <= 0 || oldTrials <= 0)
    return;
  // With events of independent trials and new rate <= ratio x old rate + difference, the expected
  // factor is at most exp(newTrials (tolerated rate)(a - 1) + oldTrials (old rate)(b - 1)), where a
  // and b are the factors per event. The old rate's terms cancel; the difference leaves
  // newTrials x difference x (a - 1), which is subtracted below.
  double tolerated = ratio * newTrials / (ratio * newTrials + oldTrials);
  for (size_t n = 0; n < Ratios.size(); ++n) {
    double odds = Ratios[n] * tolerated;
    double alternative = odds / (odds + 1 - tolerated);
    double a = alternative / tolerated;
    double b = (1 - alternative) / (1 - tolerated);
    double logFactor =
        newEvents * std::log(a) + oldEvents * std::log(b) - newTrials * difference * (a - 1);
    double factor = std::exp(std::min(logFactor, MaxPerInterval));
    Evidence[n] = std::min((Evidence[n] + StartWeight) * factor, MaxEvidence);
  }
}

double RateEvidence::value() const {
  double sum = 0;
  for (double e : Evidence)
    sum += e;
  return sum / static_cast<double>(Evidence.size());
}

SequentialTest::SequentialTest(const SequentialTestSettings &settings)
    : Settings(settings), ErrorEvidence(settings.Horizon, settings.MaxEvidencePerInterval),
      CrashEvidence(settings.Horizon, settings.MaxEvidencePerInterval / 2),
      SlowEvidence{ErrorEvidence, ErrorEvidence, ErrorEvidence} {}

void SequentialTest::add(const RequestCounts &oldCounts, const RequestCounts &newCounts,
                         bool coldStart) {
  NewRequests += newCounts.Requests;
  auto withoutCrashErrors = [](uint32_t n, const RequestCounts &c) {
    return static_cast<double>(n - std::min(n, c.CrashErrors));
  };
  ErrorEvidence.add(withoutCrashErrors(newCounts.Errors, newCounts),
                    withoutCrashErrors(newCounts.Requests, newCounts),
                    withoutCrashErrors(oldCounts.Errors, oldCounts),
                    withoutCrashErrors(oldCounts.Requests, oldCounts),
                    coldStart ? Settings.ColdErrorRatio : Settings.ErrorRatio,
                    coldStart ? Settings.ColdErrorDifference : Settings.ErrorDifference);
  // Crash protection may attribute a crash to the request although the version is at fault.
  // Requests that crash any target reach both versions in proportion to their traffic, so a version
  // with far more than its proportion of the crashes is rejected nevertheless.
  CrashEvidence.add(
      newCounts.Errors, newCounts.Requests, oldCounts.Errors, oldCounts.Requests,
      std::max(Settings.CrashRatio, coldStart ? Settings.ColdErrorRatio : 0),
      std::max(Settings.CrashDifference, coldStart ? Settings.ColdErrorDifference : 0));
  addLatency(oldCounts, newCounts, coldStart);
  if (!Rejected && totalEvidence() >= 1 / Settings.FalseAlarmRate)
    Rejected = mainCause();
}

void SequentialTest::addLatency(const RequestCounts &oldCounts, const RequestCounts &newCounts,
                                bool coldStart) {
  double earlier = 0;
  for (double n : OldLatencies)
    earlier += n;
  // The thresholds come from earlier intervals only; a threshold chosen from the counts under test
  // would bias the result.
  if (earlier >= MinOldLatencies) {
    for (size_t n = 0; n < SlowQuantiles.size(); ++n) {
      size_t threshold = 0;
      for (double sum = OldLatencies[0];
           sum < SlowQuantiles[n] * earlier && threshold + 2 < LatencyBuckets;)
        sum += OldLatencies[++threshold];
      SlowEvidence[n].add(countSlow(newCounts, threshold), countAll(newCounts),
                          countSlow(oldCounts, threshold), countAll(oldCounts),
                          coldStart ? Settings.ColdSlowRatio : Settings.SlowRatio,
                          coldStart ? Settings.ColdSlowDifference : Settings.SlowDifference);
    }
  }
  for (size_t n = 0; n < LatencyBuckets; ++n)
    OldLatencies[n] = OldLatencies[n] * (1 - LatencyAging) + oldCounts.Latency[n];
}

double SequentialTest::latencyEvidence() const {
  double sum = 0;
  for (const RateEvidence &e : SlowEvidence)
    sum += e.value();
  return SlowWeight * sum / static_cast<double>(SlowEvidence.size());
}

double SequentialTest::totalEvidence() const {
  return ErrorWeight * ErrorEvidence.value() + CrashWeight * CrashEvidence.value() +
         latencyEvidence();
}

SequentialTest::Cause SequentialTest::mainCause() const {
  double errors = ErrorWeight * ErrorEvidence.value();
  double crashes = CrashWeight * CrashEvidence.value();
  if (latencyEvidence() >= std::max(errors, crashes))
    return Cause::Latency;
  return errors >= crashes ? Cause::Errors : Cause::Crashes;
}

bool SequentialTest::nearRejection() const {
  return Rejected.has_value() ||
         totalEvidence() * NearRejectionFactor >= 1 / Settings.FalseAlarmRate;
}

} // namespace briarspar::moves
