#include "moves/MoveControllerState.h"

#include <algorithm>

namespace briarspar::moves {

namespace {

// Intervals of one source for which reports are still paired; older reports are ignored.
constexpr uint64_t MaxOpenIntervals = 64;
// A low-traffic route may rise without MinRequestsPerStep after this many tenths of the dwell time,
// so that it finishes by its time.
constexpr int64_t LowTrafficDwellTenths = 15;

} // namespace

void MoveController::Route::add(const VersionStats &stats, bool isNew, core::Duration pairWait,
                                core::Time now) {
  Source &source = Sources[stats.Source];
  if (stats.SourceIncarnation < source.Incarnation)
    return;
  if (stats.SourceIncarnation > source.Incarnation)
    source = Source{stats.SourceIncarnation, {}};
  if (!source.Intervals.empty()) {
    uint64_t newest = source.Intervals.rbegin()->first;
    if (stats.Interval + MaxOpenIntervals <= newest)
      return;
  }
  Interval &interval = source.Intervals[stats.Interval];
  while (source.Intervals.begin()->first + MaxOpenIntervals <= stats.Interval)
    source.Intervals.erase(source.Intervals.begin());
  if (!interval.Old && !interval.New)
    interval.FirstAt = now;
  // A repeated report of the same interval finds it closed or its own side filled.
  std::optional<RequestCounts> &side = isNew ? interval.New : interval.Old;
  if (interval.Closed || side)
    return;
  side = stats.Counts;
  if (now - interval.FirstAt > pairWait)
    interval.Closed = true;
  if (interval.Closed || !interval.Old || !interval.New)
    return;
  interval.Closed = true;
  OldSum.merge(*interval.Old);
  NewSum.merge(*interval.New);
  AnyPair = true;
  LastPair = now;
}

void MoveController::openTests(Active &move, core::Time now) const {
  SequentialTestSettings test = Settings.Test;
  // Twice the judgements of the whole move, and the error rate divided over its routes.
  test.Horizon = static_cast<uint32_t>(std::clamp<int64_t>(
      2 * move.Record.Limit.Ms / Settings.EvaluationInterval.Ms, 60, 1'000'000));
  test.FalseAlarmRate /= static_cast<double>(std::max<size_t>(move.Record.Routes.size(), 1));
  for (const core::RouteId &id : move.Record.Routes) {
    Route &route = move.Routes.emplace(id, Route(test)).first->second;
    route.LastPair = now;
    route.LastJudged = now;
  }
}

void MoveController::judge(Active &move, core::Time now) {
  // Half of a short dwell time is judged by the narrow tolerances.
  core::Duration cold = std::min(Settings.ColdStartPeriod, dwellOf(move.Record) / 2);
  bool coldStart = now - move.ShareSince < Settings.Propagation + cold;
  for (auto &[id, route] : move.Routes) {
    if (!route.AnyPair || now - route.LastJudged < Settings.EvaluationInterval)
      continue;
    route.Test.add(route.OldSum, route.NewSum, coldStart);
    route.OldSum = {};
    route.NewSum = {};
    route.AnyPair = false;
    route.LastJudged = now;
  }
}

core::Duration MoveController::dwellOf(const MoveRecord &record) const {
  int64_t raises = 0;
  for (BasisPoints share : Settings.VersionShares)
    raises += share > record.Share;
  if (raises == 0)
    return record.Limit * Settings.ObservationPermille / 1'000;
  // The time that remains, without the watch and the slack, is divided over the raises that remain.
  core::Duration end =
      record.Limit * (1'000 - Settings.ObservationPermille - Settings.SlackPermille) / 1'000;
  return std::max(Settings.MinDwell, (end - record.PhaseStart) / raises - Settings.Propagation);
}

bool MoveController::mayRaise(const Active &move, core::Duration dwell, core::Time now) const {
  core::Duration inForce = now - move.ShareSince - Settings.Propagation;
  if (inForce < dwell)
    return false;
  bool longEnough = inForce >= dwell * LowTrafficDwellTenths / 10;
  return std::all_of(move.Routes.begin(), move.Routes.end(), [&](const auto &entry) {
    const Route &route = entry.second;
    bool fresh =
        now - route.LastPair <= Settings.PairTimeout * 2 && route.LastPair > move.ShareSince;
    bool enough = route.Test.newRequests() - route.RequestsAtShare >= Settings.MinRequestsPerStep;
    return fresh && !route.Test.nearRejection() && (enough || longEnough);
  });
}

std::optional<MoveStep> MoveController::nextVersion(Active &move, core::Time now) {
  const MoveRecord &record = move.Record;
  auto share =
      std::upper_bound(Settings.VersionShares.begin(), Settings.VersionShares.end(), record.Share);
  bool first = record.Share == 0;
  if (!first && !mayRaise(move, dwellOf(record), now))
    return std::nullopt;
  bool watched = share == Settings.VersionShares.end();
  MoveStep step = move.step(watched ? StepKind::Finish : StepKind::SetShare, now);
  step.Share = watched ? FullShare : *share;
  step.RequestLimit = first ? Settings.FirstRequestLimit : 0;
  step.Reason = watched ? MoveReason::Completed : MoveReason::None;
  return step;
}

void MoveController::observe(const VersionStats &stats, core::Time now) {
  auto open = OpenRoutes.find(stats.Route);
  if (open == OpenRoutes.end())
    return;
  Active &move = *Moves.at(open->second);
  auto route = move.Routes.find(stats.Route);
  bool isNew = stats.Version == move.Record.NewVersion;
  if (route != move.Routes.end() && (isNew || stats.Version == move.Record.OldVersion))
    route->second.add(stats, isNew, Settings.PairTimeout, now);
}

} // namespace briarspar::moves
