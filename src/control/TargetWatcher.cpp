#include "control/TargetWatcher.h"

#include <utility>

namespace briarspar::control {

void TargetWatcher::becomeLeader(core::Term term, core::Time now) {
  Targets.startEpoch(term.Value);
  // A first reading that is under way is as new as another one, and done earlier.
  if (!InitialSnapshot)
    return;
  if (now - InitialSnapshot->At <= Settings.InitialSnapshotMaxAge)
    Targets.update(InitialSnapshot->Targets, now);
  Reader.restart(now);
}

std::optional<std::string> TargetWatcher::next(bool isLeader, core::Time now) {
  // Too old to start from, it only takes memory.
  if (InitialSnapshot && now - InitialSnapshot->At > Settings.InitialSnapshotMaxAge)
    InitialSnapshot->Targets = {};
  if (!isLeader && InitialSnapshot)
    return std::nullopt;
  return Reader.next(now);
}

absl::StatusOr<std::optional<ListChange>> TargetWatcher::onPage(int status, std::string_view body,
                                                                bool isLeader, core::Time now) {
  ListChange change;
  change.Before = Targets.targets().size();
  absl::StatusOr<std::optional<std::vector<discovery::Target>>> reading =
      Reader.onPage(status, body, now);
  if (!reading.ok())
    return reading.status();
  if (*reading && !InitialSnapshot)
    InitialSnapshot = {**reading, now};
  if (!isLeader)
    return std::optional<ListChange>();
  // A reading of many pages over a distance takes longer than a second; a target that leaves may
  // get requests for 3 s after its notice.
  change.DrainingOnly = !*reading;
  bool changed =
      *reading ? Targets.update(**reading, now) : Targets.updateDraining(Reader.lastPage());
  if (!changed)
    return std::optional<ListChange>();
  change.Skipped =
      Reader.entriesSkipped() - std::exchange(ReportedSkipped, Reader.entriesSkipped());
  return std::optional<ListChange>(change);
}

} // namespace briarspar::control
