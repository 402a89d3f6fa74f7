#include "entry/RetryAfterPolicy.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;

namespace {

/// Result for 1,000 callers per second that are refused from `from` to `until` and retry once.
struct RetryStats {
  double Early = 0; ///< Fraction of the callers that retry before `until`.
  /// Maximum number of retries in 100 ms, relative to the number of callers in 100 ms.
  double Peak = 0;
};

RetryStats simulate(Time from, Time until,
                    const std::function<Duration(const std::string &, Time)> &wait) {
  std::map<int64_t, double> stats; ///< By tenth of a second.
  double early = 0;
  double all = 0;
  for (Time now = from; now < until; now = now + Duration{1}) {
    Time back = now + wait("request-" + std::to_string(now.Ms), now);
    all += 1;
    early += back < until ? 1 : 0;
    stats[back.Ms / 100] += 1;
  }
  RetryStats out{early / all, 0};
  for (const auto &[at, n] : stats)
    out.Peak = std::max(out.Peak, n / 100);
  return out;
}

} // namespace

/// Guards against callers that retry before the control group has a leader and fail, because they
/// retry only once, and against a burst of retries when it has one. All processes start at once,
/// callers arrive from 200 ms on, and the configuration is available after 1,700 ms.
Test(RetryAfterPolicy, callersRetryAfterGroupStart) {
  RetryAfterPolicy policy(Time{10'000});
  RetryStats stats = simulate(Time{10'200}, Time{11'700}, [&](const std::string &id, Time now) {
    return policy.afterStarting(id, now);
  });
  cr_assert_eq(stats.Early, 0);
  cr_assert_leq(stats.Peak, 3.5, "%.1f", stats.Peak);
}

/// Guards against a long delay at a VM that starts alone, which receives a configuration soon, and
/// at one that has had no control group for long.
Test(RetryAfterPolicy, loneVmStartUsesShortDelay) {
  RetryAfterPolicy policy(Time{10'000});
  cr_assert_geq(policy.afterStarting("a", Time{10'100}).Ms, 1900);
  policy.setLeaderKnown(true);
  cr_assert_lt(policy.afterStarting("a", Time{10'100}).Ms, 700);
  policy.setLeaderKnown(false);
  cr_assert_lt(policy.afterStarting("a", Time{15'000}).Ms, 900);
}

/// Guards against callers that retry before rate shares are usable. Shares arrive at 400 ms and
/// admit the backlog at 1,000 ms. A new leader replies with shares of zero until it knows those
/// assigned by the previous one.
Test(RetryAfterPolicy, callersRetryAfterSharesWarmUp) {
  RetryAfterPolicy policy(Time{0});
  RetryStats stats = simulate(Time{0}, Time{1100}, [&](const std::string &id, Time now) {
    const std::vector<link::RateShare> shares{{"c", now >= Time{400} ? 20U : 0U}};
    policy.onShares(shares, now);
    return policy.afterRate(id, now);
  });
  // The time of arrival of the shares is unknown to callers refused before it.
  cr_assert_leq(stats.Early, 0.25, "%.2f", stats.Early);
  // In normal operation a rate that is used up has room again soon.
  cr_assert_lt(policy.afterRate("a", Time{2000}).Ms, 700);
}

/// Guards against callers that all retry at the same moment.
Test(RetryAfterPolicy, busyDelaysAreSpread) {
  RetryAfterPolicy policy(Time{0});
  RetryStats stats = simulate(Time{0}, Time{100},
                              [&](const std::string &id, Time) { return policy.afterBusy(id); });
  cr_assert_leq(stats.Peak, 0.45, "%.2f", stats.Peak);
}
