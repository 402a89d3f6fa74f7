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
struct Returns {
  double Early = 0; ///< Fraction of the callers that retry before `until`.
  double Peak =
      0; ///< Maximum number of retries in 100 ms, relative to the number of callers in 100 ms.
};

Returns play(Time from, Time until,
             const std::function<Duration(const std::string &, Time)> &wait) {
  std::map<int64_t, double> returns; ///< By tenth of a second.
  double early = 0;
  double all = 0;
  for (Time now = from; now < until; now = now + Duration{1}) {
    Time back = now + wait("request-" + std::to_string(now.Ms), now);
    all += 1;
    early += back < until ? 1 : 0;
    returns[back.Ms / 100] += 1;
  }
  Returns out{early / all, 0};
  for (const auto &[at, n] : returns)
    out.Peak = std::max(out.Peak, n / 100);
  return out;
}

} // namespace

/// Guards against callers that retry before the control group has a leader and fail, because they
/// retry only once, and against a burst of retries when it has one. All processes start at once,
/// callers arrive from 200 ms on, and the configuration is available after 1,700 ms.
Test(RetryAfterPolicy, callersReturnWhenTheGroupHasStarted) {
  RetryAfterPolicy times(Time{10'000});
  Returns returns = play(Time{10'200}, Time{11'700}, [&](const std::string &id, Time now) {
    return times.afterStarting(id, now);
  });
  cr_assert_eq(returns.Early, 0);
  cr_assert_leq(returns.Peak, 3.5, "%.1f", returns.Peak);
}

/// Guards against a long delay at a VM that starts alone, which receives a configuration soon, and
/// at one that has had no control group for long.
Test(RetryAfterPolicy, callersOfAVmThatStartsAloneReturnSoon) {
  RetryAfterPolicy times(Time{10'000});
  cr_assert_geq(times.afterStarting("a", Time{10'100}).Ms, 1900);
  times.setLeaderKnown(true);
  cr_assert_lt(times.afterStarting("a", Time{10'100}).Ms, 700);
  times.setLeaderKnown(false);
  cr_assert_lt(times.afterStarting("a", Time{15'000}).Ms, 900);
}

/// Guards against callers that retry before rate shares are usable. Shares arrive at 400 ms and
/// admit the backlog at 1,000 ms. A new leader replies with shares of zero until it knows those
/// assigned by the previous one.
Test(RetryAfterPolicy, callersReturnWhenSharesHaveSettled) {
  RetryAfterPolicy times(Time{0});
  Returns returns = play(Time{0}, Time{1100}, [&](const std::string &id, Time now) {
    const std::vector<link::RateShare> shares{{"c", now >= Time{400} ? 20U : 0U}};
    times.onShares(shares, now);
    return times.afterRate(id, now);
  });
  // The time of arrival of the shares is unknown to callers refused before it.
  cr_assert_leq(returns.Early, 0.25, "%.2f", returns.Early);
  // In normal operation a rate that is used up has room again soon.
  cr_assert_lt(times.afterRate("a", Time{2000}).Ms, 700);
}

/// Guards against callers that all retry at the same moment.
Test(RetryAfterPolicy, busyCallersAreSpread) {
  RetryAfterPolicy times(Time{0});
  Returns returns =
      play(Time{0}, Time{100}, [&](const std::string &id, Time) { return times.afterBusy(id); });
  cr_assert_leq(returns.Peak, 0.45, "%.2f", returns.Peak);
}
