#pragma once

#include "balance/RetryBudget.h"
#include "core/Clock.h"
#include "core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace briarspar::balance {

/// Delays of a HedgePolicy.
struct HedgeSettings {
  double Quantile = 0.95;          ///< A hedge is sent when the first takes longer than this.
  size_t MinSamples = 100;         ///< Fewer latencies give no hedge.
  size_t WindowSamples = 1000;     ///< Latencies per estimate.
  core::Duration MinDelay{2};      ///< Shortest delay of a hedge.
  core::Duration MaxDelay{10'000}; ///< Longest delay of a hedge.
};

/// One of the two requests of a hedged request.
enum class HedgeAttempt : uint8_t { Primary, Hedge };

/// The state of a request that may be hedged. Safe to call from the threads of both legs.
class HedgedRequest {
public:
  /// What the thread of a leg does with its answer.
  struct AnswerAction {
    bool Deliver = false;     ///< This answer goes to the caller.
    bool CancelOther = false; ///< The other leg is running and is to be cancelled.
  };

  /// Marks the hedge as sent. False when the first leg has been answered meanwhile.
  bool startHedge();

  /// Takes a good answer of a leg. Exactly one leg is told to deliver.
  AnswerAction answered(HedgeAttempt leg);

  /// Takes the failure of a leg. True when no other leg is running, so the failure is the answer.
  bool failed(HedgeAttempt leg);

private:
  std::mutex Mutex;
  bool Running[2] = {true, false};
  bool Delivered = false;
};

/// Decides when a slow request is sent a second time. Learns the latencies of each route. Hedges
/// are paid from the retry budget. Safe to call from any thread.
class HedgePolicy {
public:
  /// `budget` outlives the policy.
  explicit HedgePolicy(RetryBudget &budget, const HedgeSettings &settings = {});
  ~HedgePolicy();

  /// Takes the latency of a first leg.
  void record(const core::RouteId &route, core::Duration latency);

  /// Returns the delay after which a request may be hedged; nothing when it may not be.
  std::optional<core::Duration> delay(const core::RouteId &route, bool idempotent) const;

  /// Takes a hedge from the budget and marks it as sent. False when the budget is used up or the
  /// first leg has been answered.
  bool tryHedge(HedgedRequest &request, bool idempotent);

private:
  class Estimator;

  RetryBudget &Budget;
  const HedgeSettings Settings;
  mutable std::mutex Mutex;
  std::map<core::RouteId, std::unique_ptr<Estimator>> Routes;
};

} // namespace briarspar::balance
