#include "moves/MoveControllerState.h"

#include <algorithm>

namespace briarspar::moves {

namespace {

// Number of most recent intervals per source whose reports are matched; older ones are ignored.
constexpr uint64_t MaxOpenIntervals = 64;
// After this many tenths of the dwell time, the share is raised without MinRequestsPerStep, so that
// a move of a low-traffic route finishes within its time limit.
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
  // Duplicate reports and reports of a closed interval are ignored.
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
  HasPair = true;
  LastPairAt = now;
}

void MoveController::startTests(Active &move, core::Time now) const {
  SequentialTestSettings test = Settings.Test;
  // The horizon is twice the number of evaluations of the move, as a margin; the false alarm rate
  // of the move is divided among its routes.
  test.Horizon = static_cast<uint32_t>(std::clamp<int64_t>(
      2 * move.Record.Limit.Ms / Settings.EvaluationInterval.Ms, 60, 1'000'000));
  test.FalseAlarmRate /= static_cast<double>(std::max<size_t>(move.Record.Routes.size(), 1));
  for (const core::RouteId &id : move.Record.Routes) {
    Route &route = move.Routes.emplace(id, Route(test)).first->second;
    route.LastPairAt = now;
    route.LastEvaluatedAt = now;
  }
}

void MoveController::evaluate(Active &move, core::Time now) {
  // The wider tolerances apply to at most half of the dwell time.
  core::Duration coldPeriod = std::min(Settings.ColdStartPeriod, dwellOf(move.Record) / 2);
  bool coldStart = now - move.ShareSince < Settings.Propagation + coldPeriod;
  for (auto &[id, route] : move.Routes) {
    if (!route.HasPair || now - route.LastEvaluatedAt < Settings.EvaluationInterval)
      continue;
    route.Test.add(route.OldSum, route.NewSum, coldStart);
    route.OldSum = {};
    route.NewSum = {};
    route.HasPair = false;
    route.LastEvaluatedAt = now;
  }
}

core::Duration MoveController::dwellOf(const MoveRecord &record) const {
  int64_t raises = 0;
  for (BasisPoints share : Settings.VersionShares)
    raises += share > record.Share;
  if (raises == 0)
    return record.Limit * Settings.ObservationPermille / 1'000;
  // Divide the remaining time, less observation and slack, among the remaining raises.
  core::Duration end =
      record.Limit * (1'000 - Settings.ObservationPermille - Settings.SlackPermille) / 1'000;
  return std::max(Settings.MinDwell, (end - record.PhaseStart) / raises - Settings.Propagation);
}

bool MoveController::mayRaise(const Active &move, core::Duration dwell, core::Time now) const {
  core::Duration timeInForce = now - move.ShareSince - Settings.Propagation;
  if (timeInForce < dwell)
    return false;
  bool dwellExtended = timeInForce >= dwell * LowTrafficDwellTenths / 10;
  return std::all_of(move.Routes.begin(), move.Routes.end(), [&](const auto &entry) {
    const Route &route = entry.second;
    bool fresh =
        now - route.LastPairAt <= Settings.PairTimeout * 2 && route.LastPairAt > move.ShareSince;
    bool enoughRequests =
        route.Test.newRequests() - route.RequestsAtShare >= Settings.MinRequestsPerStep;
    return fresh && !route.Test.nearRejection() && (enoughRequests || dwellExtended);
  });
}

std::optional<MoveStep> MoveController::nextVersionStep(Active &move, core::Time now) {
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
  auto open = OpenVersionMoves.find(stats.Route);
  if (open == OpenVersionMoves.end())
    return;
  Active &move = *Moves.at(open->second);
  auto route = move.Routes.find(stats.Route);
  bool isNew = stats.Version == move.Record.NewVersion;
  if (route != move.Routes.end() && (isNew || stats.Version == move.Record.OldVersion))
    route->second.add(stats, isNew, Settings.PairTimeout, now);
}

} // namespace briarspar::moves
