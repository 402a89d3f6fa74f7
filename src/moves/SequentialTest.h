#pragma once

#include "moves/VersionStats.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace briarspar::moves {

struct SequentialTestSettings {
  double FalseAlarmRate = 0.001;  ///< Probability of ever rejecting a version within tolerance.
  uint32_t Horizon = 1'000;       ///< Intervals over which FalseAlarmRate holds.
  double ErrorRatio = 1.5;        ///< Tolerated ratio of error rates, new to old.
  double ErrorDifference = 0.002; ///< Tolerated additional error rate.
  double SlowRatio = 1.4;         ///< Tolerated ratio of the rates of slow requests.
  double SlowDifference = 0.02;   ///< Tolerated additional rate of slow requests.
  double ColdErrorRatio = 4;      ///< ErrorRatio during cold start.
  double ColdErrorDifference = 0.05;
  double ColdSlowRatio = 10; ///< SlowRatio during cold start.
  double ColdSlowDifference = 0.3;
  double CrashRatio = 3; ///< Tolerated ratio when crash errors are counted too.
  double CrashDifference = 0.02;
  /// Maximum evidence of one interval, in nats. Errors come in bursts; the limit prevents a single
  /// burst from causing a rejection.
  double MaxEvidencePerInterval = 5;
};

/// Compares the rates of bad events of two versions by a mixture likelihood ratio. For each ratio r
/// of a grid, every interval multiplies the evidence by the likelihood ratio of "r times the
/// tolerated rate" against the tolerated rate, conditional on the events of both versions in that
/// interval. A rate that changes for both versions at once therefore adds no evidence. A new
/// statistic starts at each interval with weight 1/Horizon (Shiryaev-Roberts), so a long history
/// without faults does not mask a later fault. While the new rate is at most ratio x old rate +
/// difference, the expected value is at most 1 over the horizon, and by Ville's inequality it
/// reaches 1/a with probability at most a.
class RateEvidence {
public:
  explicit RateEvidence(uint32_t horizon, double maxPerInterval);

  /// Adds the events and trials of both versions in one interval.
  void add(double newEvents, double newTrials, double oldEvents, double oldTrials, double ratio,
           double difference);

  /// The evidence against the new version.
  double value() const;

private:
  static constexpr std::array<double, 5> Ratios{1.5, 2.5, 5, 15, 60};
  std::array<double, Ratios.size()> Evidence{};
  double StartWeight;
  double MaxPerInterval;
};

/// Sequential comparison of two versions on one route, from pairs of counts of the same interval. A
/// version within the tolerances is rejected with probability at most FalseAlarmRate per route and
/// leader term, at any sample size. Not thread-safe.
class SequentialTest {
public:
  enum class Cause : uint8_t { Errors, Latency, Crashes };

  explicit SequentialTest(const SequentialTestSettings &settings = {});

  /// Adds one interval. `coldStart` applies the wider tolerances.
  void add(const RequestCounts &oldCounts, const RequestCounts &newCounts, bool coldStart);

  /// The cause of the rejection, or nothing. A rejection is final.
  std::optional<Cause> rejected() const { return Rejected; }

  /// True while the evidence is within a factor of 100 of rejection; shares are not raised then.
  bool nearRejection() const;

  /// Requests to the new version seen so far.
  uint64_t newRequests() const { return NewRequests; }

private:
  void addLatency(const RequestCounts &oldCounts, const RequestCounts &newCounts, bool coldStart);
  double latencyEvidence() const;
  double totalEvidence() const;
  Cause mainCause() const;

  SequentialTestSettings Settings;
  RateEvidence ErrorEvidence;
  RateEvidence CrashEvidence;
  std::array<RateEvidence, 3> SlowEvidence; // Above the old version's p50, p90 and p99 bucket.
  std::array<double, LatencyBuckets> OldLatencies{}; // Earlier intervals with exponential decay.
  uint64_t NewRequests = 0;
  std::optional<Cause> Rejected;
};

} // namespace briarspar::moves
