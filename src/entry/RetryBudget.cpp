#include "entry/RetryBudget.h"

#include <algorithm>

namespace briarspar::entry {

RetryBudget::RetryBudget(const RetryBudgetSettings &settings) : Settings(settings) {}

void RetryBudget::countRequest(const std::string &service, core::Time now) {
  window(service, now).back().Requests += 1;
}

bool RetryBudget::tryAcquire(const std::string &service, core::Time now) {
  std::deque<Second> &seconds = window(service, now);
  double requests = 0;
  double retries = 0;
  for (const Second &it : seconds) {
    requests += it.Requests;
    retries += it.Retries;
  }
  if (retries + 1 > requests * Settings.RatioPermille / 1000.0 + OwnExtraRetries)
    return false;
  seconds.back().Retries += 1;
  return true;
}

void RetryBudget::setEntries(size_t n) {
  OwnExtraRetries = n == 0 ? 0 : Settings.ExtraRetries / static_cast<double>(n);
}

std::deque<RetryBudget::Second> &RetryBudget::window(const std::string &service, core::Time now) {
  std::deque<Second> &seconds = Services[service];
  int64_t at = now.Ms / 1000;
  if (seconds.empty() || seconds.back().At < at)
    seconds.push_back({at, 0, 0});
  while (seconds.front().At <= at - Settings.Window.Ms / 1000)
    seconds.pop_front();
  return seconds;
}

} // namespace briarspar::entry
