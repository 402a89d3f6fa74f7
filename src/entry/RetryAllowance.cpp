#include "entry/RetryAllowance.h"

#include <algorithm>

namespace briarspar::entry {

RetryAllowance::RetryAllowance(const RetryAllowanceSettings &settings) : Settings(settings) {}

void RetryAllowance::countRequest(const std::string &service, core::Time now) {
  window(service, now).back().Requests += 1;
}

bool RetryAllowance::take(const std::string &service, core::Time now) {
  std::deque<Second> &seconds = window(service, now);
  double requests = 0;
  double retries = 0;
  for (const Second &it : seconds) {
    requests += it.Requests;
    retries += it.Retries;
  }
  if (retries + 1 > requests * Settings.RatioPermille / 1000.0 + OwnExtra)
    return false;
  seconds.back().Retries += 1;
  return true;
}

void RetryAllowance::setEntries(size_t n) {
  OwnExtra = n == 0 ? 0 : Settings.Extra / static_cast<double>(n);
}

std::deque<RetryAllowance::Second> &RetryAllowance::window(const std::string &service,
                                                           core::Time now) {
  std::deque<Second> &seconds = Services[service];
  int64_t at = now.Ms / 1000;
  if (seconds.empty() || seconds.back().At < at)
    seconds.push_back({at, 0, 0});
  while (seconds.front().At <= at - Settings.Window.Ms / 1000)
    seconds.pop_front();
  return seconds;
}

} // namespace briarspar::entry
