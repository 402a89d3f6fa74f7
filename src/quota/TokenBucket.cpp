#include "quota/TokenBucket.h"

#include <algorithm>

namespace briarspar::quota {

using core::Duration;
using core::Time;

int64_t TokenBucket::levelAt(Time now) const {
  Duration elapsed = now - At;
  if (elapsed < Duration{0} || Limit.MilliPerSecond == 0)
    return Level + elapsed.Ms * Limit.MilliPerSecond;
  // Times are compared first, because the product may overflow after a long idle time.
  int64_t msUntilFull = (depth() - Level) / Limit.MilliPerSecond + 1;
  if (elapsed.Ms >= msUntilFull)
    return depth();
  return Level + elapsed.Ms * Limit.MilliPerSecond;
}

void TokenBucket::deductMicro(int64_t amount, Time at) {
  at = std::max(at, At);
  Level = levelAt(at) - amount;
  At = at;
}

void TokenBucket::add(int64_t tokens, Time now) {
  Time at = std::max(now, At);
  Level = std::min(levelAt(at) + tokens * MicroTokens, depth());
  At = at;
}

void TokenBucket::setLimit(Rate rate, Burst burst, Time now) {
  Time at = std::max(now, At);
  Level = std::min(levelAt(at), burst.Requests * MicroTokens);
  At = at;
  Limit = rate;
  Depth = burst;
}

std::optional<Time> TokenBucket::timeOfLevel(int64_t level, Time now) const {
  int64_t missing = level - levelAt(now);
  if (missing <= 0)
    return now;
  if (level > depth() || Limit.MilliPerSecond == 0)
    return std::nullopt;
  return now + Duration{(missing + Limit.MilliPerSecond - 1) / Limit.MilliPerSecond};
}

} // namespace briarspar::quota
