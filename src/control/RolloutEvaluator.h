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

  /// Records the counters of one entry VM. They count from the start of its process and replace its
  /// earlier ones.
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
  using Key = std::tuple<std::string, std::string, std::string>; ///< Service, version, route.

  struct Sums {
    uint64_t Requests = 0;
    uint64_t Failures = 0;
    uint64_t LatencyMs = 0;
  };

  struct Progress {
    core::LogIndex OrderedAt;
    core::Time Start;     ///< Time of the start command, by the clock of this leader.
    core::Time StepStart; ///< Start of the current share.
    uint32_t Share = 0;
    core::Time NextCheckpoint;
  };

  std::map<std::string, Sums> byRoute(const std::string &service, const std::string *version,
                                      const std::string *exceptVersion) const;
  const char *rollbackReason(const catalog::Rollout &rollout) const;

  const RolloutEvaluatorSettings Settings;
  std::map<core::VmId, core::Incarnation> Runs;
  std::map<core::VmId, std::map<Key, link::VersionCounts>> CurrentRuns;
  std::map<Key, Sums> EndedRuns; ///< Totals of entry processes that have ended.
  std::map<std::string, Progress> Rollouts;
};

} // namespace briarspar::control
