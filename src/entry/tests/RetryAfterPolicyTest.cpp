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

/// Callers that ask from `from` on, 1,000 a second, are refused until `until`, and return once.
struct Returns {
  double Early = 0; ///< Part of the callers that return before `until`.
  double Peak = 0;  ///< Most returns in 100 ms, in times of the callers that ask in 100 ms.
};

Returns play(Time from, Time until,
             const std::function<Duration(const std::string &, Time)> &wait) {
  std::map<int64_t, double> returns; ///< By the tenth of a second.
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

/// Guards against callers that return while the group has no leader yet and are lost, as they try
/// again once only, and against a flood of returns when it has. The load: all processes start at
/// once, callers come from 200 ms on, and the configuration is there after 1,700 ms.
Test(RetryAfterPolicy, callersReturnWhenTheGroupHasStarted) {
  RetryAfterPolicy times(Time{10'000});
  Returns returns = play(Time{10'200}, Time{11'700}, [&](const std::string &id, Time now) {
    return times.afterStarting(id, now);
  });
  cr_assert_eq(returns.Early, 0);
  cr_assert_leq(returns.Peak, 3.5, "%.1f", returns.Peak);
}

/// Guards against a long wait at a VM that has started alone, which has a configuration at once,
/// and at one that has been without a group for long.
Test(RetryAfterPolicy, callersOfAVmThatStartsAloneReturnSoon) {
  RetryAfterPolicy times(Time{10'000});
  cr_assert_geq(times.afterStarting("a", Time{10'100}).Ms, 1900);
  times.setLeaderKnown(true);
  cr_assert_lt(times.afterStarting("a", Time{10'100}).Ms, 700);
  times.setLeaderKnown(false);
  cr_assert_lt(times.afterStarting("a", Time{15'000}).Ms, 900);
}

/// Guards against callers that return while shares of the rates are being made. The load: shares
/// come at 400 ms and admit what waits after 1,000 ms. Until a new leader knows the shares of the
/// last one it answers with shares of nothing.
Test(RetryAfterPolicy, callersReturnWhenSharesHaveSettled) {
  RetryAfterPolicy times(Time{0});
  Returns returns = play(Time{0}, Time{1100}, [&](const std::string &id, Time now) {
    const std::vector<link::RateShare> shares{{"c", now >= Time{400} ? 20U : 0U}};
    times.onShares(shares, now);
    return times.afterRate(id, now);
  });
  // Those that ask before the shares come cannot know when they do.
  cr_assert_leq(returns.Early, 0.25, "%.2f", returns.Early);
  // Later a rate that is full has room again soon.
  cr_assert_lt(times.afterRate("a", Time{2000}).Ms, 700);
}

/// Guards against callers that all return at the same moment.
Test(RetryAfterPolicy, busyCallersAreSpread) {
  RetryAfterPolicy times(Time{0});
  Returns returns =
      play(Time{0}, Time{100}, [&](const std::string &id, Time) { return times.afterBusy(id); });
  cr_assert_leq(returns.Peak, 0.45, "%.2f", returns.Peak);
}
