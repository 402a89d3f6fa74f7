#include "agreement/Applier.h"

#include "absl/strings/str_cat.h"

#include <cassert>
#include <utility>

namespace briarspar::agreement {

absl::Status Applier::restore() {
  if (State.LatestSnapshot == nullptr)
    return absl::OkStatus();
  State.Commit = State.LatestSnapshot->Index;
  State.Applied = State.LatestSnapshot->Index;
  return State.Machine.restore(State.LatestSnapshot->Data);
}

void Applier::advance(core::LogIndex commit) {
  if (commit <= State.Commit)
    return;
  assert(commit <= State.Log.lastIndex());
  State.Commit = commit;
  while (State.Applied < State.Commit)
    applyNext();
  uint64_t snapshotted = State.LatestSnapshot == nullptr ? 0 : State.LatestSnapshot->Index.Value;
  if (State.Applied.Value - snapshotted >= State.Settings.SnapshotInterval)
    takeSnapshot();
}

void Applier::applyNext() {
  State.Applied = State.Applied.next();
  const Entry &entry = State.Log.at(State.Applied);
  if (entry.Kind != EntryKind::Command)
    return;
  std::string answer = State.Machine.apply(entry.Index, entry.Data);
  if (State.PendingProposals.erase(entry.Index) != 0)
    State.Outputs.Results.push_back({entry.Index, std::move(answer)});
}

void Applier::takeSnapshot() {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->Index = State.Applied;
  snapshot->InTerm = *State.Log.termAt(State.Applied);
  snapshot->Members = State.Log.configurationAt(State.Applied);
  snapshot->Data = State.Machine.snapshot();
  uint64_t kept = std::min<uint64_t>(State.Settings.RetainedEntries, State.Applied.Value);
  core::LogIndex boundary(State.Applied.Value - kept);
  absl::Status status =
      State.Storage.saveSnapshot(*snapshot, State.Hard, State.Log.after(boundary));
  if (!status.ok()) {
    State.fail(status);
    return;
  }
  State.SyncNeeded = false;
  State.Log.compactTo(boundary);
  State.LatestSnapshot = std::move(snapshot);
}

void Applier::install(Snapshot snapshot) {
  assert(snapshot.Index > State.Commit);
  // Entries after the snapshot stay when the log holds the snapshot's last entry.
  bool matches = State.Log.termAt(snapshot.Index) == snapshot.InTerm;
  std::vector<Entry> kept;
  if (matches)
    kept = State.Log.after(snapshot.Index);
  if (absl::Status status = State.Storage.saveSnapshot(snapshot, State.Hard, kept); !status.ok()) {
    State.fail(status);
    return;
  }
  State.SyncNeeded = false;
  State.Log.reset(snapshot);
  for (Entry &entry : kept)
    State.Log.append(std::move(entry));
  State.Commit = snapshot.Index;
  State.Applied = snapshot.Index;
  if (absl::Status status = State.Machine.restore(snapshot.Data); !status.ok())
    State.fail(status);
  State.LatestSnapshot = std::make_shared<Snapshot>(std::move(snapshot));
}

} // namespace briarspar::agreement
