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

/// Parameters of a HedgePolicy.
struct HedgeSettings {
  double Quantile = 0.95;          ///< Latency quantile after which a hedge is sent.
  size_t MinSamples = 100;         ///< No hedges with fewer latency samples.
  size_t WindowSamples = 1000;     ///< Latency samples per estimate.
  core::Duration MinDelay{2};      ///< Shortest delay of a hedge.
  core::Duration MaxDelay{10'000}; ///< Longest delay of a hedge.
};

/// The two attempts of a hedged request.
enum class HedgeAttempt : uint8_t { Primary, Hedge };

/// State of a request that may be hedged. Safe to call from the threads of both attempts.
class HedgedRequest {
public:
  /// What the thread of an attempt does with its answer.
  struct AnswerAction {
    bool Deliver = false;     ///< Return this answer to the caller.
    bool CancelOther = false; ///< The other attempt is running; cancel it.
  };

  /// Marks the hedge as sent. Returns false if the primary attempt has ended or a hedge is already
  /// running.
  bool startHedge();

  /// Records a successful answer of an attempt. Exactly one attempt is told to deliver.
  AnswerAction answered(HedgeAttempt attempt);

  /// Records the failure of an attempt. Returns true if no other attempt is running and nothing was
  /// delivered, so the failure is the answer.
  bool failed(HedgeAttempt attempt);

private:
  std::mutex Mutex;
  bool Running[2] = {true, false};
  bool Delivered = false;
};

/// Decides when a second attempt of a slow request is sent, from the latency distribution of its
/// route. Hedges are charged to the retry budget. Safe to call from any thread.
class HedgePolicy {
public:
  /// `budget` must outlive the policy.
  explicit HedgePolicy(RetryBudget &budget, const HedgeSettings &settings = {});
  ~HedgePolicy();

  /// Records the latency of a primary attempt.
  void record(const core::RouteId &route, core::Duration latency);

  /// Returns the delay after which a request may be hedged; nullopt if it may not be hedged.
  std::optional<core::Duration> delay(const core::RouteId &route, bool idempotent) const;

  /// Charges a hedge to the budget and marks it as sent. Returns false if the budget is exhausted
  /// or HedgedRequest::startHedge() refuses.
  bool tryHedge(HedgedRequest &request, bool idempotent);

private:
  class Estimator;

  RetryBudget &Budget;
  const HedgeSettings Settings;
  mutable std::mutex Mutex;
  std::map<core::RouteId, std::unique_ptr<Estimator>> Routes;
};

} // namespace briarspar::balance
