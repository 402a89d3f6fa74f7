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
    for (const auto &[key, it] : current)
      EndedRuns[key].add(it);
    current.clear();
    lastRun = run;
  }
  for (const link::VersionCounts &it : counts)
    current[{it.Service, it.Version, it.Route, it.OrderedAt}] = it;
}

void RolloutEvaluator::Sums::add(const Sums &other) {
  Requests += other.Requests;
  Failures += other.Failures;
  LatencyMs += other.LatencyMs;
  TimeOuts += other.TimeOuts;
  Slow += other.Slow;
}

void RolloutEvaluator::Sums::add(const link::VersionCounts &counts) {
  add({counts.Requests, counts.Failures, counts.LatencyMs, counts.TimeOuts, counts.Slow});
}

double RolloutEvaluator::Sums::share(uint64_t count) const {
  return Requests == 0 ? 0 : static_cast<double>(count) / static_cast<double>(Requests);
}

RolloutEvaluator::Evidence RolloutEvaluator::evidenceFor(const catalog::Rollout &rollout) const {
  Evidence out;
  auto add = [&](const Key &key, const auto &counts) {
    const auto &[service, version, route, order] = key;
    if (service != rollout.Service || order != rollout.OrderedAt)
      return;
    bool isNew = version == rollout.Target;
    (isNew ? out.NewByRoute : out.OldByRoute)[route].add(counts);
    (isNew ? out.New : out.Old).add(counts);
  };
  for (const auto &[key, it] : EndedRuns)
    add(key, it);
  for (const auto &[vm, counts] : CurrentRuns)
    for (const auto &[key, it] : counts)
      add(key, it);
  return out;
}

bool RolloutEvaluator::exceedsFailureTolerance(const Sums &current, const Sums &other) const {
  double tolerated = other.share(other.Failures) * Settings.FailureRatio + Settings.FailureExcess;
  return current.Failures >= Settings.MinFailures &&
         current.share(current.Failures) > std::min(tolerated, Settings.MaxFailureShare);
}

bool RolloutEvaluator::exceedsTimeOutTolerance(const Sums &current, const Sums &other) const {
  double old = other.share(other.TimeOuts);
  double tolerated = std::min(old * Settings.FailureRatio + Settings.FailureExcess,
                              old + Settings.MaxTimeOutExcess);
  return current.TimeOuts >= Settings.MinFailures && current.share(current.TimeOuts) > tolerated;
}

bool RolloutEvaluator::exceedsLatencyTolerance(const Sums &current, const Sums &other) const {
  if (current.successes() < Settings.MinLatencySamples ||
      other.successes() < Settings.MinLatencySamples)
    return false;
  double mean = static_cast<double>(current.LatencyMs) / static_cast<double>(current.successes());
  double otherMean = static_cast<double>(other.LatencyMs) / static_cast<double>(other.successes());
  return mean > otherMean * Settings.LatencyRatio;
}

const char *RolloutEvaluator::rollbackReason(const Evidence &evidence) const {
  if (exceedsFailureTolerance(evidence.New, evidence.Old))
    return "failures";
  if (exceedsTimeOutTolerance(evidence.New, evidence.Old))
    return "time-outs";
  for (const auto &[route, current] : evidence.NewByRoute) {
    auto it = evidence.OldByRoute.find(route);
    const Sums other = it == evidence.OldByRoute.end() ? Sums() : it->second;
    if (exceedsFailureTolerance(current, other))
      return "failure rate of a route too high";
    if (exceedsTimeOutTolerance(current, other))
      return "time-outs of a route";
    if (exceedsLatencyTolerance(current, other))
      return "latency of a route too high";
    if (current.Requests >= Settings.MinRequests &&
        current.share(current.bad()) > Settings.MaxBadShare)
      return "bad responses of a route";
  }
  return nullptr;
}

/// Returns whether the outcomes of the current step allow the next one. Time alone does not:
/// without enough outcomes, or while both versions are in trouble and the new one does worse, the
/// step is held.
bool RolloutEvaluator::mayAdvance(const Evidence &evidence, const Progress &progress) const {
  if (evidence.New.Requests < progress.RequestsAtStep + Settings.MinRequests)
    return false;
  double share = evidence.New.share(evidence.New.bad());
  double other = evidence.Old.share(evidence.Old.bad());
  return share <= std::max(Settings.GoodShare, other + Settings.FailureExcess);
}

std::optional<RolloutEvaluator::Step> RolloutEvaluator::next(const catalog::Rollout &rollout,
                                                             bool hasTargets, core::Time now) {
  if (rollout.State != catalog::RolloutState::Running)
    return std::nullopt;
  Progress &progress = Rollouts[rollout.Service];
  if (progress.OrderedAt != rollout.OrderedAt) {
    progress = {rollout.OrderedAt,     now - rollout.Elapsed,   now, 0,
                rollout.SharePermille, now + CheckpointInterval};
  }
  const Evidence evidence = evidenceFor(rollout);
  Step step;
  step.SharePermille = progress.Share;
  step.Elapsed = now - progress.Start;
  step.NewRequests = evidence.New.Requests;
  step.NewFailures = evidence.New.Failures + evidence.New.TimeOuts;
  auto advanceTo = [&](uint32_t share, const char *reason) {
    progress.Share = share;
    progress.StepStart = now;
    progress.RequestsAtStep = evidence.New.Requests;
    progress.NextCheckpoint = now + CheckpointInterval;
    step.SharePermille = share;
    step.Reason = reason;
    return step;
  };
  if (const char *reason = rollbackReason(evidence)) {
    step.State = catalog::RolloutState::RolledBack;
    return advanceTo(0, reason);
  }
  core::Duration sinceStep = now - progress.StepStart;
  const bool passed = mayAdvance(evidence, progress);
  if (progress.Share == 0 && hasTargets)
    return advanceTo(Settings.CanaryPermille, "canary phase started");
  if (progress.Share == Settings.CanaryPermille && passed &&
      step.Elapsed.Ms * 1000 >= rollout.Period.Ms * Settings.CanaryPeriodPermille)
    return advanceTo(Settings.RampPermille, "canary phase passed");
  if (progress.Share == Settings.RampPermille && passed && sinceStep >= Settings.RampDuration)
    return advanceTo(1000, "first step passed");
  if (progress.Share == 1000 && passed && sinceStep >= Settings.SoakDuration) {
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
