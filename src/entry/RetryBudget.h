#pragma once

#include "core/Clock.h"

#include <deque>
#include <map>
#include <string>

namespace briarspar::entry {

struct RetryBudgetSettings {
  core::Duration Window{10'000}; ///< Span over which requests and retries are compared.
  uint32_t RatioPermille = 150;  ///< Retries to requests; the fleet as a whole may use 200.
  double ExtraRetries = 48;      ///< Retries beyond the ratio, all VMs together.
};

/// Bounds the retries of each service. A VM counts only its own requests and retries; as each VM
/// keeps the ratio, their sum does.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetSettings &settings = {});

  /// Counts a request of a caller.
  void countRequest(const std::string &service, core::Time now);

  /// Takes one retry. Returns false when the allowance is used up.
  bool tryTake(const std::string &service, core::Time now);

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
