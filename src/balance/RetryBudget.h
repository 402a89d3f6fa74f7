#pragma once

#include <cstdint>
#include <mutex>

namespace briarspar::balance {

/// Parameters of a RetryBudget.
struct RetryBudgetSettings {
  uint32_t SharePermille = 100; ///< Extra requests per first attempt, in thousandths.
  uint32_t MaxSaved = 20;       ///< Maximum number of unused extra requests carried over.
};

/// Limits extra requests (retries and hedges together) to a share of the first attempts. At any
/// time since the start, extra <= share x first attempts. Safe to call from any thread.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetSettings &settings = {});

  /// Counts a first attempt.
  void onRequest();

  /// Acquires one extra request. Returns false if the budget is exhausted, and always for a request
  /// that is not idempotent.
  bool tryAcquire(bool idempotent);

  /// Returns an acquired extra request that was not sent.
  void refund();

private:
  const RetryBudgetSettings Settings;
  std::mutex Mutex;
  uint64_t SavedPermille = 0;
};

} // namespace briarspar::balance
