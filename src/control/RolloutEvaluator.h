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
  uint32_t CanaryPermille = 70; ///< Share of the new version while it is watched. A bad version may
                                ///< get a tenth of all requests.
  uint32_t RampPermille = 350;  ///< Share of the first step towards the whole.
  uint32_t CanaryPeriodPermille = 650; ///< Part of the period for which the new version is watched.
  core::Duration RampDuration{1200};   ///< Time at the first step; reports come every 400 ms.
  core::Duration SoakDuration{1800};   ///< Time with all requests on the new version before the
                                     ///< rollout completes and the old targets end at once; longer
                                     ///< than most requests last.
  uint32_t MinRequests = 10;      ///< Requests without which a version is not taken for good.
  uint32_t MinFailures = 5;       ///< Failures from which on a version may be taken for bad.
  double FailureRatio = 3;        ///< Tolerated ratio of failures, new to old.
  double FailureExcess = 0.04;    ///< Tolerated share of failures beyond that.
  uint32_t MinLatencySamples = 8; ///< Answers of one route from which on its mean time counts.
  double LatencyRatio = 2.6; ///< Tolerated ratio of the mean times of a route, new to old. A new
                             ///< version starts cold and knows no objects, which alone makes it
                             ///< up to two times slower.
};

/// Judges new versions of services by the outcomes that entry VMs report, and decides about the
/// steps of rollouts. Used by the leader. Not thread-safe.
class RolloutEvaluator {
public:
  explicit RolloutEvaluator(const RolloutEvaluatorSettings &settings = {});

  /// Forgets everything, as another leader may have worked meanwhile.
  void becomeLeader();

  /// Takes the counts of one entry VM since its start; they replace its earlier ones.
  void report(const core::VmId &vm, core::Incarnation run,
              absl::Span<const link::VersionCounts> counts);

  /// A step of a rollout and what led to it.
  struct Step {
    catalog::RolloutState State = catalog::RolloutState::Running;
    uint32_t SharePermille = 0;
    core::Duration Elapsed;
    const char *Reason = "";
    uint64_t NewRequests = 0;
    uint64_t NewFailures = 0;
  };

  /// Returns the next step of a running rollout, if it is due. `hasTargets` tells whether targets
  /// of the new version are there.
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
    core::Time Start;     ///< The order, by this leader's clock.
    core::Time StepStart; ///< Of the current share.
    uint32_t Share = 0;
    core::Time NextCheckpoint;
  };

  std::map<std::string, Sums> byRoute(const std::string &service, const std::string *version,
                                      const std::string *otherThan) const;
  const char *fault(const catalog::Rollout &rollout) const;

  const RolloutEvaluatorSettings Settings;
  std::map<core::VmId, core::Incarnation> Runs;
  std::map<core::VmId, std::map<Key, link::VersionCounts>> CurrentRuns;
  std::map<Key, Sums> EndedRuns; ///< Of processes that have ended.
  std::map<std::string, Progress> Rollouts;
};

} // namespace briarspar::control
