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
  /// Maximum age of a snapshot that was read before this process became leader; a target may stop
  /// within 3 s of its drain notice.
  core::Duration InitialSnapshotMaxAge{1500};
  discovery::ListReaderSettings Reader;
};

/// Change of the target list caused by a page of the platform list.
struct ListChange {
  size_t Before = 0;    ///< Number of targets before the change.
  uint64_t Skipped = 0; ///< Entries that could not be parsed since the last change.
  /// Only contains targets that started draining; the snapshot is not complete yet.
  bool DrainingOnly = false;
};

/// Maintains the target list that the leader distributes. Reads the platform's list continuously
/// while this process leads, and once before that, so that after the loss of all processes a list
/// is available as soon as a leader is elected. Performs no I/O: the embedder sends the requests
/// that next() returns and reports the responses. Not thread-safe.
class TargetWatcher {
public:
  TargetWatcher(const discovery::ListFormat &format, const TargetWatcherSettings &settings)
      : Settings(settings), Reader(format, settings.Reader) {}

  /// Starts a new epoch of list versions.
  void becomeLeader(core::Term term, core::Time now);

  /// Returns the path and query of the page to request now, if any.
  std::optional<std::string> next(bool isLeader, core::Time now);

  /// Processes a response. Returns the change of the list, if any, or an error when the page cannot
  /// be used.
  absl::StatusOr<std::optional<ListChange>> onPage(int status, std::string_view body, bool isLeader,
                                                   core::Time now);

  /// Handles the loss of the connection.
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
  std::optional<TimedSnapshot> InitialSnapshot; ///< First snapshot since the process started.
  uint64_t ReportedSkipped = 0; ///< Skipped entries already included in a returned change.
};

} // namespace briarspar::control
