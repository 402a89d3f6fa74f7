#pragma once

#include "moves/VersionStats.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace briarspar::moves {

struct SequentialTestSettings {
  double FalseAlarmRate = 0.001;  ///< Probability that a version within tolerance is ever rejected.
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
  /// Largest evidence of one interval, in nats. Errors come in bursts, and the limit keeps one
  /// burst from deciding.
  double MaxEvidencePerInterval = 5;
};

/// Compares the rate of bad events of two versions by a mixture likelihood ratio. Per interval,
/// each ratio r of a grid multiplies its evidence by the likelihood ratio of "r times the tolerated
/// rate" against the tolerated rate, given the events of both versions in that interval; so a rate
/// that changes for both at once is no evidence. The evidence is started anew at each interval with
/// weight 1/Horizon (Shiryaev-Roberts), so a good past does not hide a late fault. While the new
/// rate is at most ratio x old rate + difference, the expected value stays at or below 1 over the
/// horizon, and by Ville's inequality it ever reaches 1/a with probability at most a.
class RateEvidence {
public:
  explicit RateEvidence(uint32_t horizon, double maxPerInterval);

  /// Adds an interval: events and trials of each version.
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

/// Judges one version against another on one route, from pairs of counts of the same interval.
/// False reversals: at most FalseAlarmRate per route and leader tenure for a version within the
/// tolerances, at any sample size. Not thread-safe.
class SequentialTest {
public:
  enum class Cause : uint8_t { Errors, Latency, Crashes };

  explicit SequentialTest(const SequentialTestSettings &settings = {});

  /// Adds one interval. `coldStart` applies the wider tolerances.
  void add(const RequestCounts &oldCounts, const RequestCounts &newCounts, bool coldStart);

  /// The cause for which the version is rejected, or nothing. Once rejected, it stays so.
  std::optional<Cause> rejected() const { return Rejected; }

  /// True while the evidence is within a factor of 100 of rejection; shares do not rise then.
  bool nearRejection() const;

  /// Requests to the new version seen so far.
  uint64_t newRequests() const { return NewRequests; }

private:
  void addLatency(const RequestCounts &oldCounts, const RequestCounts &newCounts, bool coldStart);
  double slowPart() const;
  double total() const;
  Cause largestPart() const;

  SequentialTestSettings Settings;
  RateEvidence ErrorEvidence;
  RateEvidence CrashEvidence;
  std::array<RateEvidence, 3> SlowEvidence; // Beyond the old version's p50, p90 and p99 bucket.
  std::array<double, LatencyBuckets> OldLatency{}; // Earlier intervals, exponentially aged.
  uint64_t NewRequests = 0;
  std::optional<Cause> Rejected;
};

} // namespace briarspar::moves
