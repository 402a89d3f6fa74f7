#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "link/Messages.h"

#include <optional>
#include <string_view>

namespace briarspar::entry {

struct RetryAfterPolicySettings {
  core::Duration BusyDelay{250}; ///< Minimum delay; a queue of a few requests drains within it.
  /// Random addition to the delay, so that callers do not return simultaneously.
  core::Duration BusyJitter{400};
  /// Delay while a configuration or target list is expected soon.
  core::Duration MinStartDelay{300};
  /// Typical time from the start of all processes until rate shares are assigned: 1.1 s until a
  /// leader is elected and 0.7 s more until it assigns shares.
  core::Duration TypicalStartTime{2000};
  core::Duration StartJitter{600}; ///< Random addition to delays during startup; callers refused in
                                   ///< that time return within a third of it.
  core::Duration ShareWarmUp{700}; ///< Time from the first rate share until the backlog is
                                   ///< admitted, because token buckets start empty.
};

/// Computes the Retry-After delay of refused requests. Callers retry at most once: with a delay
/// that is too short the request fails, and one that is too long adds latency. Callers that were
/// refused at the same time must not return at the same time. Not thread-safe.
class RetryAfterPolicy {
public:
  explicit RetryAfterPolicy(core::Time start, const RetryAfterPolicySettings &settings = {})
      : Settings(settings), Start(start) {}

  /// Sets whether the leader of the control group is known.
  void setLeaderKnown(bool known) { LeaderKnown = known; }

  /// Records the rate shares in a reply of the leader.
  void onShares(absl::Span<const link::RateShare> shares, core::Time now);

  /// Delay after a refusal because targets are full or were lost. The request id is chosen by the
  /// caller and serves as the source of randomness.
  core::Duration afterBusy(std::string_view id) const;

  /// Delay after a refusal because all targets asked for no requests for at least `left`. The
  /// callers' requests return spread over a time that grows with the pause.
  core::Duration afterPause(std::string_view id, core::Duration left) const;

  /// Delay after a refusal by the customer's rate limit.
  core::Duration afterRate(std::string_view id, core::Time now) const;

  /// Delay after a refusal because no configuration or target list has been received. If the leader
  /// is known they will arrive soon; otherwise the whole control group may be starting.
  core::Duration afterStarting(std::string_view id, core::Time now) const;

private:
  const RetryAfterPolicySettings Settings;
  const core::Time Start; ///< Start time of the process.
  bool LeaderKnown = false;
  std::optional<core::Time> SharesAt; ///< Time of the first share of any rate.
};

} // namespace briarspar::entry
