#include "Policies.h"

#include <algorithm>

namespace briarspar::tools {

using namespace moves;

namespace {

constexpr double MaxErrorRate = 0.05;
constexpr double MaxSlowRate = 0.1;
constexpr size_t SlowBucket = 9; // Last bucket that is not slow: up to 512 ms.
constexpr uint32_t MinRequests = 50;
constexpr core::Duration WindowLength{10'000};

} // namespace

ThresholdPolicy::ThresholdPolicy(const MoveRecord &record, core::Time now)
    : Record(record), StartedAt(now), ShareSince(now) {}

void ThresholdPolicy::observe(const VersionStats &stats, core::Time now) {
  if (stats.Version == Record.NewVersion)
    Window[stats.Route].emplace_back(now, stats.Counts);
}

bool ThresholdPolicy::exceedsThresholds(core::Time now) {
  bool found = false;
  for (auto &[route, window] : Window) {
    while (!window.empty() && now - window.front().first > WindowLength)
      window.pop_front();
    RequestCounts sum;
    for (const auto &[at, counts] : window)
      sum.merge(counts);
    uint32_t slow = 0;
    for (size_t n = SlowBucket + 1; n < LatencyBuckets; ++n)
      slow += sum.Latency[n];
    found = found || (sum.Requests >= MinRequests && (sum.Errors > MaxErrorRate * sum.Requests ||
                                                      slow > MaxSlowRate * sum.Requests));
  }
  return found && now - ShareSince > Settings.Propagation + Settings.ColdStartPeriod;
}

std::vector<MoveStep> ThresholdPolicy::tick(core::Time now) {
  if (Record.ended() || now - EmittedAt < Settings.StepRetryInterval)
    return {};
  core::Duration elapsed = now - StartedAt;
  MoveStep step;
  step.Id = Record.Id;
  step.Expected = Record.Version;
  step.Elapsed = elapsed;
  const auto &shares = Settings.VersionShares;
  size_t steps = shares.size();
  int64_t observationFrom =
      Record.Limit.Ms * (1'000 - Settings.ObservationPermille - Settings.SlackPermille) / 1'000;
  size_t due = std::min<size_t>(steps - 1, elapsed.Ms * (steps - 1) / observationFrom);
  if (Record.Share > 0 && exceedsThresholds(now)) {
    step.Kind = StepKind::RollBack;
    step.Reason = MoveReason::ErrorsWorse;
  } else if (elapsed.Ms > Record.Limit.Ms * (1'000 - Settings.SlackPermille) / 1'000) {
    step.Kind = StepKind::Finish;
    step.Share = FullShare;
  } else if (Record.Share < shares[due]) {
    step.Kind = StepKind::SetShare;
    step.Share = shares[due];
    step.RequestLimit = due == 0 ? Settings.FirstRequestLimit : 0;
  } else {
    return {};
  }
  EmittedAt = now;
  return {step};
}

void ThresholdPolicy::committed(const MoveStep &step, core::Time now) {
  if (applyStep(Record, step) && step.Kind == StepKind::SetShare)
    ShareSince = now;
}

} // namespace briarspar::tools
