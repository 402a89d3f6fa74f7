#include "control/TargetWatcher.h"

#include <utility>

namespace briarspar::control {

void TargetWatcher::becomeLeader(core::Term term, core::Time now) {
  Targets.startEpoch(term.Value);
  // An initial snapshot in progress is as current as a new one and completes earlier.
  if (!InitialSnapshot)
    return;
  if (now - InitialSnapshot->At <= Settings.InitialSnapshotMaxAge)
    Targets.update(InitialSnapshot->Targets, now);
  Reader.restart(now);
}

std::optional<std::string> TargetWatcher::next(bool isLeader, core::Time now) {
  // Frees the memory of an initial snapshot that is too old to be used.
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
  absl::StatusOr<std::optional<std::vector<discovery::Target>>> snapshot =
      Reader.onPage(status, body, now);
  if (!snapshot.ok())
    return snapshot.status();
  if (*snapshot && !InitialSnapshot)
    InitialSnapshot = {**snapshot, now};
  if (!isLeader)
    return std::optional<ListChange>();
  // Applies draining flags before the snapshot is complete: reading many pages over a long distance
  // takes more than a second, and a target may receive requests for only 3 s after its drain
  // notice.
  change.DrainingOnly = !*snapshot;
  bool changed =
      *snapshot ? Targets.update(**snapshot, now) : Targets.updateDraining(Reader.lastPage());
  if (!changed)
    return std::optional<ListChange>();
  change.Skipped =
      Reader.entriesSkipped() - std::exchange(ReportedSkipped, Reader.entriesSkipped());
  return std::optional<ListChange>(change);
}

} // namespace briarspar::control
