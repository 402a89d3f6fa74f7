#include "balance/RetryBudget.h"

#include <algorithm>

namespace briarspar::balance {

namespace {

/// One extra request, in the unit of SavedPermille.
constexpr uint64_t OneRequest = 1000;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &settings) : Settings(settings) {}

void RetryBudget::onRequest() {
  std::lock_guard<std::mutex> lock(Mutex);
  SavedPermille =
      std::min(SavedPermille + Settings.SharePermille, uint64_t{Settings.MaxSaved} * OneRequest);
}

bool RetryBudget::tryAcquire(bool idempotent) {
  std::lock_guard<std::mutex> lock(Mutex);
  if (!idempotent || SavedPermille < OneRequest)
    return false;
  SavedPermille -= OneRequest;
  return true;
}

void RetryBudget::refund() {
  std::lock_guard<std::mutex> lock(Mutex);
  SavedPermille = std::min(SavedPermille + OneRequest, uint64_t{Settings.MaxSaved} * OneRequest);
}

} // namespace briarspar::balance
