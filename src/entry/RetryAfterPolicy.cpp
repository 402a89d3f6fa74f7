#include "entry/RetryAfterPolicy.h"

#include "core/Hash.h"

#include <algorithm>

namespace briarspar::entry {

namespace {

/// Callers return within this fraction of a pause after its end, since its backlog grows with it.
constexpr int64_t PauseSpreadDivisor = 4;

/// Returns a pseudo-random time in [0, span), derived from the request id chosen by the caller.
core::Duration spread(std::string_view id, core::Duration span) {
  if (span.Ms <= 0)
    return {0};
  return {static_cast<int64_t>(core::hash64(id) % static_cast<uint64_t>(span.Ms))};
}

} // namespace

void RetryAfterPolicy::onShares(absl::Span<const link::RateShare> shares, core::Time now) {
  bool any = std::any_of(shares.begin(), shares.end(),
                         [](const link::RateShare &it) { return it.Permille > 0; });
  if (any && !SharesAt)
    SharesAt = now;
}

core::Duration RetryAfterPolicy::afterBusy(std::string_view id) const {
  return Settings.BusyDelay + spread(id, Settings.BusyJitter);
}

core::Duration RetryAfterPolicy::afterPause(std::string_view id, core::Duration left) const {
  return left + spread(id, std::max(Settings.BusyJitter, left / PauseSpreadDivisor));
}

core::Duration RetryAfterPolicy::afterRate(std::string_view id, core::Time now) const {
  if (SharesAt && now - *SharesAt >= Settings.ShareWarmUp)
    return afterBusy(id);
  core::Duration left = SharesAt ? Settings.ShareWarmUp - (now - *SharesAt) : Settings.ShareWarmUp;
  return left + spread(id, Settings.StartJitter);
}

core::Duration RetryAfterPolicy::afterStarting(std::string_view id, core::Time now) const {
  if (LeaderKnown)
    return Settings.MinStartDelay + spread(id, Settings.BusyJitter);
  core::Duration left = Settings.TypicalStartTime - (now - Start);
  return std::max(Settings.MinStartDelay, left) + spread(id, Settings.StartJitter);
}

} // namespace briarspar::entry
