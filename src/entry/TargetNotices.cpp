#include "entry/TargetNotices.h"

#include "core/Text.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

bool TargetNotices::recordLeaving(const core::TargetId &id, core::Time now) {
  Notice &notice = Notices[id];
  if (notice.LeavingSince)
    return false;
  notice.LeavingSince = now;
  return true;
}

bool TargetNotices::recordPause(const core::TargetId &id, core::Duration span, core::Time now) {
  if (span.Ms <= 0)
    return false;
  Notice &notice = Notices[id];
  const core::Time until = now + std::min(span, Settings.MaxPause);
  if (until <= notice.PausedUntil)
    return false;
  notice.PausedUntil = until;
  return true;
}

bool TargetNotices::mayUse(const core::TargetId &id, core::Time now) const {
  auto it = Notices.find(id);
  return it == Notices.end() || (!it->second.LeavingSince && now >= it->second.PausedUntil);
}

std::optional<core::Time> TargetNotices::pausedUntil(const core::TargetId &id,
                                                     core::Time now) const {
  auto it = Notices.find(id);
  if (it == Notices.end() || it->second.LeavingSince || now >= it->second.PausedUntil)
    return std::nullopt;
  return it->second.PausedUntil;
}

void TargetNotices::keepProcess(const core::TargetId &id, core::Incarnation process) {
  auto it = Notices.find(id);
  if (it == Notices.end() || process.Value == 0)
    return;
  if (it->second.Process.Value == 0)
    it->second.Process = process;
  else if (it->second.Process != process)
    Notices.erase(it);
}

void TargetNotices::onList(const std::function<bool(const core::TargetId &)> &isListed,
                           core::Time now) {
  for (auto it = Notices.begin(); it != Notices.end();) {
    std::optional<core::Time> &since = it->second.UnlistedSince;
    if (isListed(it->first))
      since.reset();
    else if (!since)
      since = now;
    const bool isOver = since && now - *since > Settings.Retention;
    it = isOver ? Notices.erase(it) : std::next(it);
  }
}

std::optional<core::Duration> parseRetryAfter(std::string_view value) {
  std::optional<double> seconds = core::parseNumber<double>(core::trim(value));
  if (!seconds || !std::isfinite(*seconds) || *seconds < 0)
    return std::nullopt;
  constexpr double maxSeconds = 1e9;
  return core::Duration{static_cast<int64_t>(std::ceil(std::min(*seconds, maxSeconds) * 1000))};
}

} // namespace briarspar::entry
