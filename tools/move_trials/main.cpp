// Simulates generated version moves with MoveController and with a fixed-threshold baseline, and
// prints detection times, false roll-backs and missed faults of both. Exits with 1 if the
// controller misses a bound.
#include "Policies.h"
#include "Traffic.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace briarspar;
using namespace briarspar::tools;
using core::Duration;
using core::Time;

namespace {

constexpr int64_t TickMs = 500;
constexpr int64_t IntervalMs = 1'000;
constexpr size_t SourceCount = 2;
// Requests are counted until this long after the time limit.
constexpr double CountedAfterLimitS = 300;
constexpr uint32_t ReportLossPermille = 10;
constexpr uint32_t StepLossPermille = 20;

// Bounds of the design document for the controller: the fraction of requests that reach a bad
// version after its detection, and the rate of false roll-backs. The latter is the error rate of
// the sequential test per route times three routes, plus a margin for chance at 10,000 moves.
constexpr double MaxAfterDetection = 0.01;
constexpr double MaxFalseReversals = 0.005;

struct Result {
  bool Done = false;
  bool InTime = false;
  moves::MoveReason Reason = moves::MoveReason::None;
  double DetectSeconds = -1; // From the first faulty request until the roll-back was emitted.
  bool Detected = false;
  bool IsObvious = false;              // See isObviousFault().
  double NewBefore = 0, AllBefore = 0; // Requests from the first faulty one until detection.
  double NewAfter = 0, AllAfter = 0;   // Requests after detection.
};

struct Source {
  double Share = 0;
  uint32_t RequestLimit = 0;
  double ShareRaisedAt = 0;
};

struct Event {
  int64_t At = 0;
  uint64_t Sequence = 0;
  moves::VersionStats Stats;
  moves::MoveStep Step;
  size_t SourceIndex = 0;
  enum Kind { Report, Commit, Apply } Type = Report;

  bool operator>(const Event &o) const { return At != o.At ? At > o.At : Sequence > o.Sequence; }
};

// Returns true for a fault that is evident without statistics: at least a fifth of the requests
// fail or latency triples, on a route with at least 100 requests per second.
bool isObviousFault(const Scenario &s) {
  bool strong = s.FaultErrors >= 0.2 || s.FaultLatencyRatio >= 3;
  return strong && !isGood(s.Kind) &&
         std::any_of(s.Routes.begin(), s.Routes.end(), [](const Scenario::Route &route) {
           return route.Faulty && route.Rate >= 100;
         });
}

/// Simulates one move under one policy.
class Trial {
public:
  Trial(const Scenario &s, MovePolicy &policy, uint64_t seed)
      : Case(s), Decisions(policy), Rng(seed) {}

  Result run() {
    auto endMs = static_cast<int64_t>((Case.LimitSeconds + CountedAfterLimitS) * 1000);
    for (Now = 0; Now < endMs; Now += TickMs) {
      runDueEvents();
      if (Now % IntervalMs == 0 && Now > 0)
        generateTraffic();
      tickPolicy();
      if (Decisions.record().ended() && Outcome.Detected && Now - DetectedAt > 30'000)
        break; // The new version gets no more requests; addRemainingTraffic() counts the rest.
      if (Decisions.record().Phase == moves::MovePhase::Done)
        break;
    }
    addRemainingTraffic(endMs);
    const moves::MoveRecord &record = Decisions.record();
    Outcome.Done = record.Phase == moves::MovePhase::Done;
    Outcome.InTime = Outcome.Done && record.Elapsed <= record.Limit;
    Outcome.Reason = record.Reason;
    Outcome.IsObvious = isObviousFault(Case);
    return Outcome;
  }

private:
  void push(Event d, int64_t delay) {
    d.At = Now + delay;
    d.Sequence = Sequence++;
    Queue.push(std::move(d));
  }

  int64_t uniformMs(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(Rng);
  }

  void runDueEvents() {
    while (!Queue.empty() && Queue.top().At <= Now) {
      Event d = Queue.top();
      Queue.pop();
      if (d.Type == Event::Report)
        Decisions.observe(d.Stats, {d.At});
      else if (d.Type == Event::Commit)
        commit(d);
      else
        apply(Sources[d.SourceIndex], d.Step);
    }
  }

  void commit(const Event &d) {
    uint64_t before = Decisions.record().Version;
    Decisions.committed(d.Step, {d.At});
    if (Decisions.record().Version == before || d.Step.Kind == moves::StepKind::Checkpoint)
      return;
    for (size_t n = 0; n < SourceCount; ++n) {
      Event event{0, 0, {}, d.Step, n, Event::Apply};
      push(event, uniformMs(0, 3'000));
    }
  }

  void apply(Source &source, const moves::MoveStep &step) {
    double share = step.Share / static_cast<double>(moves::FullShare);
    if (share > source.Share)
      source.ShareRaisedAt = static_cast<double>(Now) / 1e3;
    source.Share = share;
    source.RequestLimit = step.RequestLimit;
  }

  void tickPolicy() {
    for (const moves::MoveStep &step : Decisions.tick({Now})) {
      if (step.Kind == moves::StepKind::RollBack && !Outcome.Detected) {
        Outcome.Detected = true;
        DetectedAt = Now;
        if (FirstFaulty >= 0)
          Outcome.DetectSeconds = static_cast<double>(Now - FirstFaulty) / 1e3;
      }
      if (Rng(1000) < StepLossPermille)
        continue;
      Event d;
      d.Step = step;
      d.Type = Event::Commit;
      push(d, uniformMs(20, 300));
    }
  }

  void generateTraffic() {
    for (Source &source : Sources) {
      bool lost = Rng(1000) < ReportLossPermille;
      int64_t delay = uniformMs(100, 1'500);
      for (size_t r = 0; r < Case.Routes.size(); ++r) {
        double rate = Case.Routes[r].Rate / SourceCount;
        double newRate = rate * source.Share;
        if (source.RequestLimit > 0)
          newRate = std::min(newRate, source.RequestLimit / static_cast<double>(SourceCount));
        for (bool isNew : {false, true})
          report(source, r, isNew, isNew ? newRate : rate - newRate, rate, lost, delay);
      }
      ++Intervals[&source - Sources.data()];
    }
  }

  void report(const Source &source, size_t r, bool isNew, double requests, double rate, bool lost,
              int64_t delay) {
    double seconds = static_cast<double>(Now) / 1e3;
    VersionLoad load{seconds, seconds - source.ShareRaisedAt, requests / rate, requests, isNew};
    moves::VersionStats stats;
    size_t n = &source - Sources.data();
    stats.Source = core::VmId("vm" + std::to_string(n));
    stats.Interval = Intervals[n];
    stats.Route = core::RouteId("r" + std::to_string(r));
    stats.Version = core::VersionId(isNew ? "v2" : "v1");
    stats.Counts = drawCounts(Case, Case.Routes[r], load, Rng);
    if (isNew && stats.Counts.Requests > 0 && Case.Routes[r].Faulty && faultActive(Case, load) &&
        FirstFaulty < 0)
      FirstFaulty = Now;
    if (Outcome.Detected || FirstFaulty >= 0) {
      (Outcome.Detected ? Outcome.AllAfter : Outcome.AllBefore) += stats.Counts.Requests;
      if (isNew)
        (Outcome.Detected ? Outcome.NewAfter : Outcome.NewBefore) += stats.Counts.Requests;
    }
    if (!lost)
      push({0, 0, stats, {}, 0, Event::Report}, delay);
  }

  // Adds the expected requests of the time that was not simulated, all on the old version.
  void addRemainingTraffic(int64_t endMs) {
    if (!Outcome.Detected)
      return;
    double rate = 0;
    for (const Scenario::Route &route : Case.Routes)
      rate += route.Rate;
    Outcome.AllAfter += rate * static_cast<double>(std::max<int64_t>(0, endMs - Now)) / 1e3;
  }

  const Scenario &Case;
  MovePolicy &Decisions;
  pcg32 Rng;
  Result Outcome;
  int64_t Now = 0;
  int64_t DetectedAt = 0;
  int64_t FirstFaulty = -1;
  uint64_t Sequence = 0;
  std::array<Source, SourceCount> Sources;
  std::array<uint64_t, SourceCount> Intervals{};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Queue;
};

moves::MoveRecord recordOf(const Scenario &s) {
  moves::MoveRecord record;
  record.Id = core::MoveId("m");
  record.Kind = moves::MoveKind::Version;
  record.Limit = Duration{static_cast<int64_t>(s.LimitSeconds * 1000)};
  record.OldVersion = core::VersionId("v1");
  record.NewVersion = core::VersionId("v2");
  for (size_t n = 0; n < s.Routes.size(); ++n)
    record.Routes.emplace_back("r" + std::to_string(n));
  return record;
}

struct TrialPair {
  Fault Kind = Fault::GoodColdNoise;
  Result Controller;
  Result Baseline;
};

TrialPair runTrials(Fault kind, uint64_t seed) {
  pcg32 rng(seed);
  Scenario s = drawScenario(kind, rng);
  moves::MoveRecord record = recordOf(s);
  ControllerPolicy controller(record, {0});
  ThresholdPolicy baseline(record, {0});
  return {kind, Trial(s, controller, seed + 1).run(), Trial(s, baseline, seed + 1).run()};
}

double quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(q * static_cast<double>(values.size() - 1))];
}

nlohmann::json summarise(Fault kind, const std::string &policy,
                         const std::vector<Result> &results) {
  double done = 0, inTime = 0, newBefore = 0, allBefore = 0, newAfter = 0, allAfter = 0,
         obvious = 0, obviousMissed = 0;
  std::vector<double> detect, worstAfter;
  std::map<std::string, int> reasons;
  for (const Result &r : results) {
    done += r.Done;
    inTime += r.InTime;
    obvious += r.IsObvious;
    obviousMissed += r.IsObvious && r.Done;
    newBefore += r.NewBefore;
    allBefore += r.AllBefore;
    newAfter += r.NewAfter;
    allAfter += r.AllAfter;
    if (r.DetectSeconds >= 0)
      detect.push_back(r.DetectSeconds);
    if (r.Detected && r.AllAfter > 0)
      worstAfter.push_back(r.NewAfter / r.AllAfter);
    ++reasons[std::string(moves::reasonName(r.Reason))];
  }
  auto n = static_cast<double>(results.size());
  nlohmann::json j{{"scenario", std::string(faultName(kind))},
                   {"policy", policy},
                   {"moves", results.size()},
                   {"done", done},
                   {"done_in_time", inTime},
                   {"clear_faults", obvious},
                   {"clear_faults_missed", obviousMissed},
                   {"reasons", reasons},
                   {"detect_median_s", quantile(detect, 0.5)},
                   {"detect_p95_s", quantile(detect, 0.95)},
                   {"share_before", allBefore > 0 ? newBefore / allBefore : 0},
                   {"share_after", allAfter > 0 ? newAfter / allAfter : 0},
                   {"share_after_worst_move", quantile(worstAfter, 1)}};
  j[isGood(kind) ? "false_reversals" : "misses"] = isGood(kind) ? (n - done) / n : done / n;
  return j;
}

void printTable(const nlohmann::json &rows) {
  std::printf("%-23s %-10s %6s %8s %7s %7s %11s %9s %9s %8s %8s %8s\n", "scenario", "policy",
              "moves", "in_time%", "false%", "missed%", "clear miss", "detect50", "detect95",
              "before%", "after%", "worst%");
  for (const auto &row : rows) {
    auto number = [&row](const char *key) { return row.value(key, 0.0); };
    std::printf("%-23s %-10s %6.0f %8.2f %7.2f %7.2f %5.0f/%-5.0f %9.1f %9.1f %8.2f %8.3f %8.3f\n",
                row["scenario"].get<std::string>().c_str(),
                row["policy"].get<std::string>().c_str(), number("moves"),
                100 * number("done_in_time") / number("moves"), 100 * number("false_reversals"),
                100 * number("misses"), number("clear_faults_missed"), number("clear_faults"),
                number("detect_median_s"), number("detect_p95_s"), 100 * number("share_before"),
                100 * number("share_after"), 100 * number("share_after_worst_move"));
  }
}

bool withinBounds(const nlohmann::json &rows) {
  return std::all_of(rows.begin(), rows.end(), [](const nlohmann::json &row) {
    return row["policy"] != "controller" ||
           (row.value("false_reversals", 0.0) <= MaxFalseReversals &&
            (row.contains("false_reversals") ||
             row["share_after"].get<double>() < MaxAfterDetection));
  });
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Runs generated version moves through the move controller and a baseline.");
  uint64_t seed = 1;
  size_t count = 10'000;
  size_t jobs = 3;
  std::string jsonPath;
  app.add_option("--seed", seed, "seed of the generated moves");
  app.add_option("--moves", count, "number of moves")->check(CLI::Range(8, 1'000'000));
  app.add_option("--jobs", jobs, "threads")->check(CLI::Range(1, 16));
  app.add_option("--json", jsonPath, "file for the results as JSON");
  CLI11_PARSE(app, argc, argv);

  std::vector<TrialPair> trials(count);
  std::vector<std::thread> threads;
  for (size_t job = 0; job < jobs; ++job)
    threads.emplace_back([&, job] {
      for (size_t n = job; n < count; n += jobs)
        trials[n] = runTrials(static_cast<Fault>(n % FaultCount), seed * 1'000'003 + n * 7);
    });
  for (std::thread &thread : threads)
    thread.join();

  nlohmann::json rows = nlohmann::json::array();
  for (size_t kind = 0; kind < FaultCount; ++kind) {
    std::vector<Result> controller, baseline;
    for (const TrialPair &trial : trials)
      if (trial.Kind == static_cast<Fault>(kind)) {
        controller.push_back(trial.Controller);
        baseline.push_back(trial.Baseline);
      }
    rows.push_back(summarise(static_cast<Fault>(kind), "controller", controller));
    rows.push_back(summarise(static_cast<Fault>(kind), "threshold", baseline));
  }
  bool met = withinBounds(rows);
  printTable(rows);
  std::printf("seed %llu, bounds %s\n", static_cast<unsigned long long>(seed),
              met ? "met" : "missed");
  if (!jsonPath.empty())
    std::ofstream(jsonPath)
        << nlohmann::json{{"seed", seed}, {"bounds_met", met}, {"rows", rows}}.dump(2) << "\n";
  return met ? 0 : 1;
}
