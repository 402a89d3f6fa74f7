#include "control/TargetWatch.h"

#include <utility>

namespace briarspar::control {

void TargetWatch::becomeLeader(core::Term term, core::Time now) {
  Targets.startEpoch(term.Value);
  // A first reading that is under way is as new as another one, and done earlier.
  if (!FirstReading)
    return;
  if (now - FirstReading->At <= Settings.FirstReadingAge)
    Targets.update(FirstReading->What, now);
  Reader.restart(now);
}

std::optional<std::string> TargetWatch::next(bool leads, core::Time now) {
  // Too old to start from, it only takes memory.
  if (FirstReading && now - FirstReading->At > Settings.FirstReadingAge)
    FirstReading->What = {};
  if (!leads && FirstReading)
    return std::nullopt;
  return Reader.next(now);
}

absl::StatusOr<std::optional<ListChange>> TargetWatch::onPage(int status, std::string_view body,
                                                              bool leads, core::Time now) {
  ListChange change;
  change.Before = Targets.targets().size();
  absl::StatusOr<std::optional<std::vector<discovery::Target>>> reading =
      Reader.onPage(status, body, now);
  if (!reading.ok())
    return reading.status();
  if (*reading && !FirstReading)
    FirstReading = {**reading, now};
  if (!leads)
    return std::optional<ListChange>();
  // A reading of many pages over a distance takes longer than a second; a target that leaves may
  // get requests for 3 s after its notice.
  change.DrainingOnly = !*reading;
  bool changed =
      *reading ? Targets.update(**reading, now) : Targets.updateDraining(Reader.lastPage());
  if (!changed)
    return std::optional<ListChange>();
  change.LeftOut = Reader.entriesLeftOut() - std::exchange(ToldLeftOut, Reader.entriesLeftOut());
  return std::optional<ListChange>(change);
}

} // namespace briarspar::control
