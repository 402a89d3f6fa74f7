#pragma once

#include <cstdint>
#include <mutex>

namespace briarspar::balance {

/// Shares of a RetryBudget.
struct RetryBudgetSettings {
  uint32_t SharePermille = 100; ///< Retries and hedges per first attempt, in thousandths.
  uint32_t MaxSaved = 20;       ///< Most unused retries that are carried over.
};

/// Bounds the extra requests, retries and hedges together, to a share of the first attempts. At any
/// time since the start, extra <= share x first attempts. Safe to call from any thread.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetSettings &settings = {});

  /// Counts a first attempt.
  void onRequest();

  /// Takes one extra request. False when the budget is used up, and always for a request that is
  /// not idempotent.
  bool tryAcquire(bool idempotent);

  /// Returns an extra request that was not sent.
  void refund();

private:
  const RetryBudgetSettings Settings;
  std::mutex Mutex;
  uint64_t SavedPermille = 0;
};

} // namespace briarspar::balance
