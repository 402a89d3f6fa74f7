#pragma once

#include "absl/types/span.h"
#include "discovery/Target.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::discovery {

/// Timing of requests to the platform list.
struct ListReaderSettings {
  /// Interval between the starts of two snapshots. The list itself lags by about the same time, and
  /// draining must be noticed within 3 s.
  core::Duration Interval{700};
  /// Delay after a failed page; doubles with each further failure.
  core::Duration InitialBackoff{250};
  core::Duration MaxBackoff{2000};
  core::Duration PageTimeout{1500}; ///< A page without a response by then counts as failed.
};

/// Schedules requests for the pages of the platform's list and combines the pages into snapshots.
/// Performs no I/O: the embedder sends the requests that next() returns and reports the responses.
class ListReader {
public:
  ListReader(const ListFormat &format, const ListReaderSettings &settings = {});

  /// Returns the path and query to request now, if any. The request is outstanding until onPage()
  /// or onFailure().
  std::optional<std::string> next(core::Time now);

  /// Processes a response. Returns the complete snapshot after its last page, and an error when the
  /// page cannot be used; the snapshot then restarts from its first page.
  absl::StatusOr<std::optional<std::vector<Target>>> onPage(int status, std::string_view body,
                                                            core::Time now);

  /// Returns the targets of the most recent page while its snapshot is incomplete.
  absl::Span<const Target> lastPage() const {
    return absl::MakeConstSpan(Snapshot).subspan(PageStart);
  }

  /// Handles the loss of the connection.
  void onFailure(core::Time now);

  /// Abandons a snapshot in progress; the next one starts immediately.
  void restart(core::Time now);

  /// Number of requested pages and of skipped entries since the start, for metrics.
  uint64_t pagesRead() const { return Pages; }
  uint64_t entriesSkipped() const { return Skipped; }

private:
  const ListFormat &Format;
  const ListReaderSettings Settings;
  std::vector<Target> Snapshot;
  size_t PageStart = 0; ///< Offset of the last page in Snapshot.
  std::string Token;
  bool Outstanding = false;
  core::Time SentAt;
  core::Time SnapshotStart;
  core::Time NextAt;
  core::Duration Backoff{0};
  uint64_t Pages = 0;
  uint64_t Skipped = 0;
};

} // namespace briarspar::discovery
