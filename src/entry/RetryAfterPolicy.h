#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "link/Messages.h"

#include <optional>
#include <string_view>

namespace briarspar::entry {

struct RetryAfterPolicySettings {
  core::Duration BusyDelay{
      250}; ///< Shortest wait; a queue of a few requests is worked off by then.
  core::Duration BusyJitter{400};    ///< Added at random, so that callers do not return at once.
  core::Duration MinStartDelay{300}; ///< Wait for a configuration or a list on its way.
  core::Duration TypicalStartTime{
      2000};                       ///< From the start of all processes to shares of the rates: 1.1
                                   ///< s to the election and 0.7 s after it on the users' bench.
  core::Duration StartJitter{600}; ///< Added at random to waits for a start; those who were refused
                                   ///< meanwhile return in a third of the time.
  core::Duration ShareWarmUp{700}; ///< From the first share of a rate until it has admitted what
                                   ///< waits: shares start without tokens.
};

/// When callers that are refused should come back. The load it answers: callers try once more at
/// most, so that a wait that is too short costs them the answer, and one that is too long makes it
/// late; and all callers that were refused at one moment must not return at one moment. Not
/// thread-safe.
class RetryAfterPolicy {
public:
  explicit RetryAfterPolicy(core::Time start, const RetryAfterPolicySettings &settings = {})
      : Settings(settings), Start(start) {}

  /// Takes whether the leader of the control group is known.
  void setLeaderKnown(bool known) { LeaderKnown = known; }

  /// Takes the shares of rates that an answer of the leader brings.
  void onShares(absl::Span<const link::RateShare> shares, core::Time now);

  /// After a refusal because targets are full or were lost. `id` is drawn by the caller.
  core::Duration afterBusy(std::string_view id) const;

  /// After a refusal because the customer's rate has no room.
  core::Duration afterRate(std::string_view id, core::Time now) const;

  /// After a refusal because the configuration or the list of targets has not arrived. They are on
  /// their way when the leader is known; otherwise the whole group may be starting.
  core::Duration afterStarting(std::string_view id, core::Time now) const;

private:
  const RetryAfterPolicySettings Settings;
  const core::Time Start; ///< Of the process.
  bool LeaderKnown = false;
  std::optional<core::Time> SharesAt; ///< First share of any rate.
};

} // namespace briarspar::entry
