#include "agreement/LogBuffer.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cassert>

namespace briarspar::agreement {

namespace {

const Entry *findEntry(const std::vector<Entry> &entries, core::LogIndex index) {
  if (entries.empty() || index < entries.front().Index || index > entries.back().Index)
    return nullptr;
  return &entries[index.Value - entries.front().Index.Value];
}

/// Returns the stored entries that are consistent with the snapshot.
std::vector<Entry> usableEntries(const StoredState &state) {
  if (!state.LatestSnapshot)
    return state.Entries;
  const Entry *last = findEntry(state.Entries, state.LatestSnapshot->Index);
  if (last != nullptr && last->InTerm == state.LatestSnapshot->InTerm)
    return state.Entries;
  bool follows =
      !state.Entries.empty() && state.Entries.front().Index > state.LatestSnapshot->Index;
  return follows ? state.Entries : std::vector<Entry>();
}

} // namespace

absl::StatusOr<LogBuffer> LogBuffer::fromStored(const StoredState &state) {
  LogBuffer log;
  if (state.LatestSnapshot)
    log.reset(*state.LatestSnapshot);
  std::vector<Entry> entries = usableEntries(state);
  if (entries.empty())
    return log;
  core::LogIndex first = entries.front().Index;
  if (first > log.Boundary.next())
    return absl::DataLossError(absl::StrCat("log entries from ", log.Boundary.Value + 1, " to ",
                                            first.Value - 1, " are missing"));
  if (first <= log.Boundary) {
    // The term before the first stored entry is unknown, so that entry becomes the boundary.
    log.Boundary = first;
    log.BoundaryTerm = entries.front().InTerm;
    entries.erase(entries.begin());
  }
  for (Entry &entry : entries)
    log.append(std::move(entry));
  return log;
}

std::optional<core::Term> LogBuffer::termAt(core::LogIndex index) const {
  if (index == Boundary)
    return BoundaryTerm;
  if (index < Boundary || index > lastIndex())
    return std::nullopt;
  return at(index).InTerm;
}

const Entry &LogBuffer::at(core::LogIndex index) const {
  assert(index > Boundary && index <= lastIndex());
  return Entries[index.Value - Boundary.Value - 1];
}

std::vector<Entry> LogBuffer::slice(core::LogIndex first, size_t maxCount, size_t maxBytes) const {
  std::vector<Entry> result;
  size_t bytes = 0;
  for (core::LogIndex it = first; it <= lastIndex(); it = it.next()) {
    bytes += at(it).Data.size();
    if (!result.empty() && (result.size() >= maxCount || bytes > maxBytes))
      break;
    result.push_back(at(it));
  }
  return result;
}

std::vector<Entry> LogBuffer::after(core::LogIndex index) const {
  core::LogIndex start = std::max(index, Boundary);
  auto skipped =
      static_cast<std::ptrdiff_t>(std::min<uint64_t>(start.Value - Boundary.Value, Entries.size()));
  return {Entries.begin() + skipped, Entries.end()};
}

void LogBuffer::append(Entry entry) {
  assert(entry.Index == lastIndex().next());
  if (entry.Kind == EntryKind::Configuration && entry.Index > configurationIndex()) {
    absl::StatusOr<Configuration> configuration = decodeConfiguration(entry.Data);
    assert(configuration.ok()); // Checked when the entry was decoded or created.
    Configurations.emplace_back(entry.Index, *std::move(configuration));
  }
  Entries.push_back(std::move(entry));
}

void LogBuffer::truncateFrom(core::LogIndex index) {
  assert(index > Boundary);
  while (lastIndex() >= index)
    Entries.pop_back();
  while (Configurations.size() > 1 && configurationIndex() >= index)
    Configurations.pop_back();
}

void LogBuffer::compactTo(core::LogIndex index) {
  if (index <= Boundary)
    return;
  BoundaryTerm = at(index).InTerm;
  auto removed = static_cast<std::ptrdiff_t>(index.Value - Boundary.Value);
  Entries.erase(Entries.begin(), Entries.begin() + removed);
  Boundary = index;
  // The newest configuration up to the boundary remains in force there.
  while (Configurations.size() > 1 && Configurations[1].first <= Boundary)
    Configurations.erase(Configurations.begin());
}

void LogBuffer::reset(const Snapshot &snapshot) {
  Entries.clear();
  Boundary = snapshot.Index;
  BoundaryTerm = snapshot.InTerm;
  Configurations.assign(1, {snapshot.Index, snapshot.Members});
}

const Configuration &LogBuffer::configuration() const { return Configurations.back().second; }

const Configuration &LogBuffer::configurationAt(core::LogIndex index) const {
  auto it = std::find_if(Configurations.rbegin(), Configurations.rend(),
                         [&](const auto &item) { return item.first <= index; });
  return it == Configurations.rend() ? Configurations.front().second : it->second;
}

} // namespace briarspar::agreement
