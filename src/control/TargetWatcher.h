#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"
#include "discovery/ListReader.h"
#include "discovery/TargetList.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::control {

struct TargetWatcherSettings {
  core::Duration InitialSnapshotMaxAge{
      1500}; ///< A list read before the process led counts for so long:
             ///< a target may leave within 3 s of its notice.
  discovery::ListReaderSettings Reader;
};

/// What a page of the platform's list has changed.
struct ListChange {
  size_t Before = 0;         ///< Targets before it.
  uint64_t Skipped = 0;      ///< Entries that could not be read since the last change.
  bool DrainingOnly = false; ///< Only targets that begin to leave; the reading goes on.
};

/// Keeps the list of targets that a leader spreads: reads the platform's list while it leads, and
/// once before, so that a group that has lost all its processes has a list as soon as it has a
/// leader. Without I/O: the embedder sends what next() asks for and reports what came. Not
/// thread-safe.
class TargetWatcher {
public:
  TargetWatcher(const discovery::ListFormat &format, const TargetWatcherSettings &settings)
      : Settings(settings), Reader(format, settings.Reader) {}

  /// Starts an epoch of the list's versions.
  void becomeLeader(core::Term term, core::Time now);

  /// Returns the path and query of the page to ask for now, if any.
  std::optional<std::string> next(bool isLeader, core::Time now);

  /// Takes an answer. Returns what it changes in the list, nothing when it changes nothing, and an
  /// error when the page cannot be used.
  absl::StatusOr<std::optional<ListChange>> onPage(int status, std::string_view body, bool isLeader,
                                                   core::Time now);

  /// Takes the loss of the connection.
  void onFailure(core::Time now) { Reader.onFailure(now); }

  const discovery::TargetList &targets() const { return Targets; }

private:
  struct TimedSnapshot {
    std::vector<discovery::Target> Targets;
    core::Time At;
  };

  const TargetWatcherSettings Settings;
  discovery::ListReader Reader;
  discovery::TargetList Targets;
  std::optional<TimedSnapshot> InitialSnapshot; ///< Since the start of the process.
  uint64_t ReportedSkipped = 0;                 ///< Entries left out that changes have told of.
};

} // namespace briarspar::control
