#include "moves/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace briarspar::moves {

namespace {

// Weights of the parts in the mixture; they sum to 1, so that the sum keeps the error rate.
constexpr double ErrorWeight = 0.4;
constexpr double CrashWeight = 0.2;
constexpr double SlowWeight = 0.4;

// Evidence within this factor of rejection stops shares from rising.
constexpr double SuspicionFactor = 100;

// Per interval, earlier latencies lose this part of their weight.
constexpr double LatencyAging = 0.05;
// Fewest earlier latencies of the old version from which its buckets are taken.
constexpr double MinOldLatencies = 200;

constexpr std::array<double, 3> SlowQuantiles{0.5, 0.9, 0.99};

// Keeps sums of products finite; far above any threshold.
constexpr double EvidenceLimit = 1e30;

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
    double gain =
        newEvents * std::log(a) + oldEvents * std::log(b) - newTrials * difference * (a - 1);
    double factor = std::exp(std::min(gain, MaxPerInterval));
    Evidence[n] = std::min((Evidence[n] + StartWeight) * factor, EvidenceLimit);
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
  auto own = [](uint32_t n, const RequestCounts &c) {
    return static_cast<double>(n - std::min(n, c.CrashErrors));
  };
  ErrorEvidence.add(own(newCounts.Errors, newCounts), own(newCounts.Requests, newCounts),
                    own(oldCounts.Errors, oldCounts), own(oldCounts.Requests, oldCounts),
                    coldStart ? Settings.ColdErrorRatio : Settings.ErrorRatio,
                    coldStart ? Settings.ColdErrorDifference : Settings.ErrorDifference);
  // Crash protection may hold requests responsible although the version itself is at fault. A
  // request that crashes any target reaches both versions in proportion to their traffic, so a
  // version that has far more than its part of the crashes is rejected all the same.
  CrashEvidence.add(
      newCounts.Errors, newCounts.Requests, oldCounts.Errors, oldCounts.Requests,
      std::max(Settings.CrashRatio, coldStart ? Settings.ColdErrorRatio : 0),
      std::max(Settings.CrashDifference, coldStart ? Settings.ColdErrorDifference : 0));
  addLatency(oldCounts, newCounts, coldStart);
  if (!Rejected && total() >= 1 / Settings.FalseAlarmRate)
    Rejected = largestPart();
}

void SequentialTest::addLatency(const RequestCounts &oldCounts, const RequestCounts &newCounts,
                                bool coldStart) {
  double earlier = 0;
  for (double n : OldLatency)
    earlier += n;
  // The buckets come from earlier intervals only: a threshold chosen from the counts that it judges
  // would bias the test.
  if (earlier >= MinOldLatencies) {
    for (size_t n = 0; n < SlowQuantiles.size(); ++n) {
      size_t threshold = 0;
      for (double sum = OldLatency[0];
           sum < SlowQuantiles[n] * earlier && threshold + 2 < LatencyBuckets;)
        sum += OldLatency[++threshold];
      SlowEvidence[n].add(countSlow(newCounts, threshold), countAll(newCounts),
                          countSlow(oldCounts, threshold), countAll(oldCounts),
                          coldStart ? Settings.ColdSlowRatio : Settings.SlowRatio,
                          coldStart ? Settings.ColdSlowDifference : Settings.SlowDifference);
    }
  }
  for (size_t n = 0; n < LatencyBuckets; ++n)
    OldLatency[n] = OldLatency[n] * (1 - LatencyAging) + oldCounts.Latency[n];
}

double SequentialTest::slowPart() const {
  double sum = 0;
  for (const RateEvidence &e : SlowEvidence)
    sum += e.value();
  return SlowWeight * sum / static_cast<double>(SlowEvidence.size());
}

double SequentialTest::total() const {
  return ErrorWeight * ErrorEvidence.value() + CrashWeight * CrashEvidence.value() + slowPart();
}

SequentialTest::Cause SequentialTest::largestPart() const {
  double errors = ErrorWeight * ErrorEvidence.value();
  double crashes = CrashWeight * CrashEvidence.value();
  if (slowPart() >= std::max(errors, crashes))
    return Cause::Latency;
  return errors >= crashes ? Cause::Errors : Cause::Crashes;
}

bool SequentialTest::nearRejection() const {
  return Rejected.has_value() || total() * SuspicionFactor >= 1 / Settings.FalseAlarmRate;
}

} // namespace briarspar::moves
