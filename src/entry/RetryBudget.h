#pragma once

#include "core/Clock.h"

#include <deque>
#include <map>
#include <string>

namespace briarspar::entry {

struct RetryBudgetSettings {
  core::Duration Window{10'000}; ///< Sliding window over which retries are compared with requests.
  /// Allowed retries per 1,000 requests; the platform allows 200 in total.
  uint32_t RatioPermille = 150;
  double ExtraRetries = 48; ///< Retries allowed in addition, for all VMs together.
};

/// Limits the retries of each service to a ratio of its requests. Each VM counts only its own
/// requests and retries: if every VM keeps the ratio, so does the total.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetSettings &settings = {});

  /// Counts a request of a caller.
  void countRequest(const std::string &service, core::Time now);

  /// Consumes one retry. Returns false when the budget is exhausted.
  bool tryAcquire(const std::string &service, core::Time now);

  /// Sets the number of entry VMs that share the extra retries.
  void setEntries(size_t n);

private:
  struct Second {
    int64_t At = 0;
    double Requests = 0;
    double Retries = 0;
  };

  std::deque<Second> &window(const std::string &service, core::Time now);

  const RetryBudgetSettings Settings;
  double OwnExtraRetries = 0;
  std::map<std::string, std::deque<Second>> Services;
};

} // namespace briarspar::entry
