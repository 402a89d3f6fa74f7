#include "control/RolloutEvaluator.h"

#include <algorithm>

namespace briarspar::control {

namespace {

/// The elapsed time of a rollout is recorded this often, for the next leader.
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
  core::Incarnation &known = Runs[vm];
  if (run < known)
    return;
  std::map<Key, link::VersionCounts> &mine = CurrentRuns[vm];
  if (known < run) {
    for (const auto &[key, it] : mine) {
      Sums &sums = EndedRuns[key];
      sums.Requests += it.Requests;
      sums.Failures += it.Failures;
      sums.LatencyMs += it.LatencyMs;
    }
    mine.clear();
    known = run;
  }
  for (const link::VersionCounts &it : counts)
    mine[{it.Service, it.Version, it.Route}] = it;
}

std::map<std::string, RolloutEvaluator::Sums>
RolloutEvaluator::byRoute(const std::string &service, const std::string *version,
                          const std::string *otherThan) const {
  std::map<std::string, Sums> out;
  auto fits = [&](const Key &key) {
    return std::get<0>(key) == service && (version == nullptr || std::get<1>(key) == *version) &&
           (otherThan == nullptr || std::get<1>(key) != *otherThan);
  };
  for (const auto &[key, it] : EndedRuns)
    if (fits(key)) {
      out[std::get<2>(key)].Requests += it.Requests;
      out[std::get<2>(key)].Failures += it.Failures;
      out[std::get<2>(key)].LatencyMs += it.LatencyMs;
    }
  for (const auto &[vm, counts] : CurrentRuns)
    for (const auto &[key, it] : counts)
      if (fits(key)) {
        out[std::get<2>(key)].Requests += it.Requests;
        out[std::get<2>(key)].Failures += it.Failures;
        out[std::get<2>(key)].LatencyMs += it.LatencyMs;
      }
  return out;
}

const char *RolloutEvaluator::fault(const catalog::Rollout &rollout) const {
  auto news = byRoute(rollout.Service, &rollout.Target, nullptr);
  auto olds = byRoute(rollout.Service, nullptr, &rollout.Target);
  Sums newAll;
  Sums oldAll;
  for (const auto &[route, it] : news) {
    newAll.Requests += it.Requests;
    newAll.Failures += it.Failures;
  }
  for (const auto &[route, it] : olds) {
    oldAll.Requests += it.Requests;
    oldAll.Failures += it.Failures;
  }
  auto failsMore = [&](const Sums &mine, const Sums &other) {
    if (mine.Failures < Settings.MinFailures)
      return false;
    double before = other.Requests == 0 ? 0 : static_cast<double>(other.Failures) / other.Requests;
    double tolerated = before * Settings.FailureRatio + Settings.FailureExcess;
    return static_cast<double>(mine.Failures) > tolerated * mine.Requests;
  };
  if (failsMore(newAll, oldAll))
    return "failures";
  for (const auto &[route, it] : news) {
    const Sums &other = olds[route];
    if (failsMore(it, other))
      return "failures on one route";
    uint64_t good = it.Requests - it.Failures;
    uint64_t otherGood = other.Requests - other.Failures;
    if (good < Settings.MinLatencySamples || otherGood < Settings.MinLatencySamples)
      continue;
    double mean = static_cast<double>(it.LatencyMs) / good;
    double otherMean = static_cast<double>(other.LatencyMs) / otherGood;
    if (mean > otherMean * Settings.LatencyRatio)
      return "slow answers";
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
  auto move = [&](uint32_t share, const char *reason) {
    progress.Share = share;
    progress.StepStart = now;
    progress.NextCheckpoint = now + CheckpointInterval;
    step.SharePermille = share;
    step.Reason = reason;
    return step;
  };
  if (const char *reason = fault(rollout)) {
    step.State = catalog::RolloutState::RolledBack;
    return move(0, reason);
  }
  core::Duration atStep = now - progress.StepStart;
  bool proven = step.NewRequests >= Settings.MinRequests;
  if (progress.Share == 0 && hasTargets)
    return move(Settings.CanaryPermille, "the new version is tried");
  if (progress.Share == Settings.CanaryPermille && proven &&
      step.Elapsed.Ms * 1000 >= rollout.Period.Ms * Settings.CanaryPeriodPermille)
    return move(Settings.RampPermille, "the new version has stood its trial");
  if (progress.Share == Settings.RampPermille && atStep >= Settings.RampDuration)
    return move(1000, "the new version has stood the first step");
  if (progress.Share == 1000 && atStep >= Settings.SoakDuration) {
    step.State = catalog::RolloutState::Completed;
    return move(1000, "all requests go to the new version");
  }
  if (now >= progress.NextCheckpoint) {
    progress.NextCheckpoint = now + CheckpointInterval;
    step.Reason = "elapsed time";
    return step;
  }
  return std::nullopt;
}

} // namespace briarspar::control
