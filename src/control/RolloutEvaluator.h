#pragma once

#include "absl/types/span.h"
#include "catalog/Catalog.h"
#include "link/Messages.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace briarspar::control {

struct RolloutEvaluatorSettings {
  /// Share of requests sent to the new version during the canary phase. A bad version may receive a
  /// tenth of all requests.
  uint32_t CanaryPermille = 70;
  uint32_t RampPermille = 350; ///< Share of requests in the first step after the canary phase.
  uint32_t CanaryPeriodPermille = 650; ///< Part of the rollout period that the canary phase lasts.
  core::Duration RampDuration{1200}; ///< Duration of the first step; entry VMs report every 400 ms.
  /// Duration of the last step, with all requests on the new version, before the rollout completes
  /// and the old targets stop immediately. Longer than most requests take.
  core::Duration SoakDuration{1800};
  uint32_t MinRequests = 10;   ///< Requests required before the canary phase can pass.
  uint32_t MinFailures = 5;    ///< Failures required before a version can be rolled back.
  double FailureRatio = 3;     ///< Tolerated failure ratio of the new to the old version.
  double FailureExcess = 0.04; ///< Tolerated failure share on top of that.
  /// Failure share above which the new version is rolled back, however often the old one fails.
  double MaxFailureShare = 0.2;
  /// Tolerated excess of the share of time-outs over that of the old version. Time-outs have causes
  /// outside a version, such as slow targets, which are spread unevenly over the versions.
  double MaxTimeOutExcess = 0.25;
  /// Share of failed, timed out and slow responses above which the new version is rolled back,
  /// whatever happens to the old one.
  double MaxBadShare = 0.4;
  /// Share of such responses up to which the next step follows without a comparison; above it, the
  /// share may exceed that of the old version in the same time by FailureExcess.
  double GoodShare = 0.1;
  /// Successful responses of a route required to compare its mean latency.
  uint32_t MinLatencySamples = 8;
  /// Tolerated ratio of the mean latency of a route, new to old version. A new version starts cold
  /// and without cached objects, which alone makes it up to two times slower.
  double LatencyRatio = 2.6;
};

/// Evaluates new versions of services by the request outcomes that entry VMs report, and decides on
/// the next steps of rollouts. Used by the leader. Not thread-safe.
class RolloutEvaluator {
public:
  explicit RolloutEvaluator(const RolloutEvaluatorSettings &settings = {});

  /// Drops all state; another leader may have been active in the meantime.
  void becomeLeader();

  /// Records the counters of one entry VM. They count from the time at which its process learned of
  /// the rollout, and replace its earlier ones.
  void report(const core::VmId &vm, core::Incarnation run,
              absl::Span<const link::VersionCounts> counts);

  /// A step of a rollout and the evidence for it.
  struct Step {
    catalog::RolloutState State = catalog::RolloutState::Running;
    uint32_t SharePermille = 0;
    core::Duration Elapsed;
    const char *Reason = "";
    uint64_t NewRequests = 0;
    uint64_t NewFailures = 0;
  };

  /// Returns the next step of a running rollout, if one is due. `hasTargets` tells whether targets
  /// of the new version are available.
  std::optional<Step> next(const catalog::Rollout &rollout, bool hasTargets, core::Time now);

private:
  /// Service, version, route and order of the rollout.
  using Key = std::tuple<std::string, std::string, std::string, core::LogIndex>;

  struct Sums {
    uint64_t Requests = 0;
    uint64_t Failures = 0;
    uint64_t LatencyMs = 0;
    uint64_t TimeOuts = 0;
    uint64_t Slow = 0;

    void add(const Sums &other);
    void add(const link::VersionCounts &counts);
    uint64_t successes() const { return Requests - Failures - TimeOuts; }
    uint64_t bad() const { return Failures + TimeOuts + Slow; }
    /// Returns the share of `count` in the requests; 0 without requests.
    double share(uint64_t count) const;
  };

  /// Outcomes of the new version and of all others since the order of a rollout.
  struct Evidence {
    std::map<std::string, Sums> NewByRoute;
    std::map<std::string, Sums> OldByRoute;
    Sums New;
    Sums Old;
  };

  struct Progress {
    core::LogIndex OrderedAt;
    core::Time Start;            ///< Time of the start command, by the clock of this leader.
    core::Time StepStart;        ///< Start of the current share.
    uint64_t RequestsAtStep = 0; ///< Requests to the new version before the current share.
    uint32_t Share = 0;
    core::Time NextCheckpoint;
  };

  Evidence evidenceFor(const catalog::Rollout &rollout) const;
  bool exceedsFailureTolerance(const Sums &current, const Sums &other) const;
  bool exceedsTimeOutTolerance(const Sums &current, const Sums &other) const;
  bool exceedsLatencyTolerance(const Sums &current, const Sums &other) const;
  const char *rollbackReason(const Evidence &evidence) const;
  bool mayAdvance(const Evidence &evidence, const Progress &progress) const;

  const RolloutEvaluatorSettings Settings;
  std::map<core::VmId, core::Incarnation> Runs;
  std::map<core::VmId, std::map<Key, link::VersionCounts>> CurrentRuns;
  std::map<Key, Sums> EndedRuns; ///< Totals of entry processes that have ended.
  std::map<std::string, Progress> Rollouts;
};

} // namespace briarspar::control
