#include "entry/ReturnTimes.h"

#include "core/Hash.h"

#include <algorithm>

namespace briarspar::entry {

namespace {

/// Returns a time from 0 up to `span`. The id is drawn by the caller, so its hash spreads them.
core::Duration spread(std::string_view id, core::Duration span) {
  if (span.Ms <= 0)
    return {0};
  return {static_cast<int64_t>(core::hash64(id) % static_cast<uint64_t>(span.Ms))};
}

} // namespace

void ReturnTimes::noteShares(absl::Span<const link::RateShare> shares, core::Time now) {
  bool any = std::any_of(shares.begin(), shares.end(),
                         [](const link::RateShare &it) { return it.Permille > 0; });
  if (any && !SharesAt)
    SharesAt = now;
}

core::Duration ReturnTimes::afterBusy(std::string_view id) const {
  return Settings.Busy + spread(id, Settings.BusySpread);
}

core::Duration ReturnTimes::afterRate(std::string_view id, core::Time now) const {
  if (SharesAt && now - *SharesAt >= Settings.SharesSettle)
    return afterBusy(id);
  core::Duration left =
      SharesAt ? Settings.SharesSettle - (now - *SharesAt) : Settings.SharesSettle;
  return left + spread(id, Settings.StartSpread);
}

core::Duration ReturnTimes::afterStarting(std::string_view id, core::Time now) const {
  if (KnowsLeader)
    return Settings.LeastStart + spread(id, Settings.BusySpread);
  core::Duration left = Settings.UsualStart - (now - Start);
  return std::max(Settings.LeastStart, left) + spread(id, Settings.StartSpread);
}

} // namespace briarspar::entry
