#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace briarspar::entry {

struct TargetNoticesSettings {
  /// Longest time for which a target can ask for no requests. A target that wants none for longer
  /// is expected to leave the target list.
  core::Duration MaxPause{600'000};
  /// Notices are kept for this long after a target is no longer listed, because a list of another
  /// leader or a late one can lack a target for a moment. Targets that leave serve for some
  /// seconds.
  core::Duration Retention{30'000};
};

/// What targets said about themselves in their responses: that they are leaving, or want no
/// requests for some time. This VM learns it before the target list shows it and without contact to
/// the control group, and no list takes it back: a notice ends with the process that gave it, as
/// the list shows another process under its id or at another address then. Not thread-safe.
class TargetNotices {
public:
  explicit TargetNotices(const TargetNoticesSettings &settings = {}) : Settings(settings) {}

  /// Records that a target is leaving. Returns whether that is new.
  bool recordLeaving(const core::TargetId &id, core::Time now);

  /// Records that a target wants no requests for `span`, at most MaxPause. Returns whether the
  /// pause is new or ends later than known.
  bool recordPause(const core::TargetId &id, core::Duration span, core::Time now);

  /// Returns whether a target may get requests at `now`.
  bool mayUse(const core::TargetId &id, core::Time now) const;

  /// Returns the end of a pause that is in progress at `now`.
  std::optional<core::Time> pausedUntil(const core::TargetId &id, core::Time now) const;

  /// Discards the notices of a target whose process is another one now.
  void discard(const core::TargetId &id) { Notices.erase(id); }

  /// Discards the notices of a listed target if another process has given them. `process` has no
  /// value if the list does not tell processes apart.
  void keepProcess(const core::TargetId &id, core::Incarnation process);

  /// Discards the notices of targets that have not been listed for the retention time. To be called
  /// with each new list.
  void onList(const std::function<bool(const core::TargetId &)> &isListed, core::Time now);

  size_t size() const { return Notices.size(); }

private:
  struct Notice {
    core::Incarnation Process; ///< As listed when the notice was first on a list; 0 before.
    std::optional<core::Time> LeavingSince;
    core::Time PausedUntil;
    std::optional<core::Time> UnlistedSince; ///< Time of the first list without the target.
  };

  const TargetNoticesSettings Settings;
  std::map<core::TargetId, Notice> Notices;
};

/// Parses the value of a Retry-After header in seconds, which may have a fraction. Returns nullopt
/// for dates and other text.
std::optional<core::Duration> parseRetryAfter(std::string_view value);

} // namespace briarspar::entry
