#pragma once

#include "absl/types/span.h"
#include "discovery/Target.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::discovery {

/// Pace of the readings of the platform's list.
struct ListReaderSettings {
  core::Duration Interval{700}; ///< From the start of a reading to the next; the list itself lags
                                ///< by about as much, and a drain must be noticed within 3 s.
  core::Duration InitialBackoff{250}; ///< After a failed page; doubles with each further failure.
  core::Duration MaxBackoff{2000};
  core::Duration PageTimeout{1500}; ///< A page that has not come by then counts as failed.
};

/// Decides when which page of the platform's list is read, and joins the pages to a reading. Owns
/// no connection: the embedder sends what next() asks for and reports what came.
class ListReader {
public:
  ListReader(const ListFormat &format, const ListReaderSettings &settings = {});

  /// Returns the path and query to request now, if any. The request is then outstanding until
  /// onPage or onFailure.
  std::optional<std::string> next(core::Time now);

  /// Takes an answer. Returns the whole reading after its last page, and the error when the page
  /// cannot be used; it is then asked for again.
  absl::StatusOr<std::optional<std::vector<Target>>> onPage(int status, std::string_view body,
                                                            core::Time now);

  /// Returns the targets of the page that came last, while its reading goes on.
  absl::Span<const Target> lastPage() const {
    return absl::MakeConstSpan(Snapshot).subspan(PageStart);
  }

  /// Takes the loss of the connection.
  void onFailure(core::Time now);

  /// Forgets a reading in progress; the next one starts at once.
  void restart(core::Time now);

  /// Pages asked for and entries left out, since the start. For metrics.
  uint64_t pagesRead() const { return Pages; }
  uint64_t entriesSkipped() const { return Skipped; }

private:
  const ListFormat &Format;
  const ListReaderSettings Settings;
  std::vector<Target> Snapshot;
  size_t PageStart = 0; ///< Of the last page in Reading.
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
