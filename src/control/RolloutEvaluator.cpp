#include "control/RolloutEvaluator.h"

#include <algorithm>

namespace briarspar::control {

namespace {

/// Interval at which the elapsed time of a rollout is recorded in the replicated log, so that the
/// next leader can continue from it.
constexpr core::Duration CheckpointInterval{2000};

} // namespace

RolloutEvaluator::RolloutEvaluator(const RolloutEvaluatorSettings &settings) : Settings(settings) {}

void RolloutEvaluator::becomeLeader() {
  Runs.clear();
  CurrentRuns.clear();
  EndedRuns.clear();
  Rollouts.clear();
}

void RolloutEvaluator::report(const core::VmId &vm, core::Incarnation run,
                              absl::Span<const link::VersionCounts> counts) {
  core::Incarnation &lastRun = Runs[vm];
  if (run < lastRun)
    return;
  std::map<Key, link::VersionCounts> &current = CurrentRuns[vm];
  if (lastRun < run) {
    for (const auto &[key, it] : current) {
      Sums &sums = EndedRuns[key];
      sums.Requests += it.Requests;
      sums.Failures += it.Failures;
      sums.LatencyMs += it.LatencyMs;
    }
    current.clear();
    lastRun = run;
  }
  for (const link::VersionCounts &it : counts)
    current[{it.Service, it.Version, it.Route}] = it;
}

std::map<std::string, RolloutEvaluator::Sums>
RolloutEvaluator::byRoute(const std::string &service, const std::string *version,
                          const std::string *exceptVersion) const {
  std::map<std::string, Sums> out;
  auto matches = [&](const Key &key) {
    return std::get<0>(key) == service && (version == nullptr || std::get<1>(key) == *version) &&
           (exceptVersion == nullptr || std::get<1>(key) != *exceptVersion);
  };
  for (const auto &[key, it] : EndedRuns)
    if (matches(key)) {
      out[std::get<2>(key)].Requests += it.Requests;
      out[std::get<2>(key)].Failures += it.Failures;
      out[std::get<2>(key)].LatencyMs += it.LatencyMs;
    }
  for (const auto &[vm, counts] : CurrentRuns)
    for (const auto &[key, it] : counts)
      if (matches(key)) {
        out[std::get<2>(key)].Requests += it.Requests;
        out[std::get<2>(key)].Failures += it.Failures;
        out[std::get<2>(key)].LatencyMs += it.LatencyMs;
      }
  return out;
}

const char *RolloutEvaluator::rollbackReason(const catalog::Rollout &rollout) const {
  auto newByRoute = byRoute(rollout.Service, &rollout.Target, nullptr);
  auto oldByRoute = byRoute(rollout.Service, nullptr, &rollout.Target);
  Sums newTotal;
  Sums oldTotal;
  for (const auto &[route, it] : newByRoute) {
    newTotal.Requests += it.Requests;
    newTotal.Failures += it.Failures;
  }
  for (const auto &[route, it] : oldByRoute) {
    oldTotal.Requests += it.Requests;
    oldTotal.Failures += it.Failures;
  }
  auto exceedsFailureTolerance = [&](const Sums &current, const Sums &other) {
    if (current.Failures < Settings.MinFailures)
      return false;
    double otherRate =
        other.Requests == 0 ? 0 : static_cast<double>(other.Failures) / other.Requests;
    double tolerated = otherRate * Settings.FailureRatio + Settings.FailureExcess;
    return static_cast<double>(current.Failures) > tolerated * current.Requests;
  };
  if (exceedsFailureTolerance(newTotal, oldTotal))
    return "failures";
  for (const auto &[route, it] : newByRoute) {
    const Sums &other = oldByRoute[route];
    if (exceedsFailureTolerance(it, other))
      return "failure rate of a route too high";
    uint64_t successes = it.Requests - it.Failures;
    uint64_t otherSuccesses = other.Requests - other.Failures;
    if (successes < Settings.MinLatencySamples || otherSuccesses < Settings.MinLatencySamples)
      continue;
    double mean = static_cast<double>(it.LatencyMs) / successes;
    double otherMean = static_cast<double>(other.LatencyMs) / otherSuccesses;
    if (mean > otherMean * Settings.LatencyRatio)
      return "latency of a route too high";
  }
  return nullptr;
}

std::optional<RolloutEvaluator::Step> RolloutEvaluator::next(const catalog::Rollout &rollout,
                                                             bool hasTargets, core::Time now) {
  if (rollout.State != catalog::RolloutState::Running)
    return std::nullopt;
  Progress &progress = Rollouts[rollout.Service];
  if (progress.OrderedAt != rollout.OrderedAt) {
    progress = {rollout.OrderedAt, now - rollout.Elapsed, now, rollout.SharePermille,
                now + CheckpointInterval};
  }
  Step step;
  step.SharePermille = progress.Share;
  step.Elapsed = now - progress.Start;
  for (const auto &[route, it] : byRoute(rollout.Service, &rollout.Target, nullptr)) {
    step.NewRequests += it.Requests;
    step.NewFailures += it.Failures;
  }
  auto advanceTo = [&](uint32_t share, const char *reason) {
    progress.Share = share;
    progress.StepStart = now;
    progress.NextCheckpoint = now + CheckpointInterval;
    step.SharePermille = share;
    step.Reason = reason;
    return step;
  };
  if (const char *reason = rollbackReason(rollout)) {
    step.State = catalog::RolloutState::RolledBack;
    return advanceTo(0, reason);
  }
  core::Duration sinceStep = now - progress.StepStart;
  bool hasEnoughRequests = step.NewRequests >= Settings.MinRequests;
  if (progress.Share == 0 && hasTargets)
    return advanceTo(Settings.CanaryPermille, "canary phase started");
  if (progress.Share == Settings.CanaryPermille && hasEnoughRequests &&
      step.Elapsed.Ms * 1000 >= rollout.Period.Ms * Settings.CanaryPeriodPermille)
    return advanceTo(Settings.RampPermille, "canary phase passed");
  if (progress.Share == Settings.RampPermille && sinceStep >= Settings.RampDuration)
    return advanceTo(1000, "first step passed");
  if (progress.Share == 1000 && sinceStep >= Settings.SoakDuration) {
    step.State = catalog::RolloutState::Completed;
    return advanceTo(1000, "all requests served by the new version");
  }
  if (now >= progress.NextCheckpoint) {
    progress.NextCheckpoint = now + CheckpointInterval;
    step.Reason = "elapsed time recorded";
    return step;
  }
  return std::nullopt;
}

} // namespace briarspar::control
