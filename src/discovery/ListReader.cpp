#include "discovery/ListReader.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace briarspar::discovery {

ListReader::ListReader(const ListFormat &format, const ListReaderSettings &settings)
    : Format(format), Settings(settings) {}

std::optional<std::string> ListReader::next(core::Time now) {
  if (Outstanding && now - SentAt >= Settings.PageTimeout)
    onFailure(now);
  if (Outstanding || now < NextAt)
    return std::nullopt;
  if (Token.empty()) {
    Snapshot.clear();
    PageStart = 0;
    SnapshotStart = now;
  }
  Outstanding = true;
  SentAt = now;
  ++Pages;
  return Format.pagePath(Token);
}

absl::StatusOr<std::optional<std::vector<Target>>>
ListReader::onPage(int status, std::string_view body, core::Time now) {
  absl::StatusOr<ListPage> page =
      status == 200 ? Format.parsePage(body, now)
                    : absl::UnavailableError(absl::StrCat("the list answered ", status));
  if (!page.ok()) {
    onFailure(now);
    return page.status();
  }
  Outstanding = false;
  Backoff = {0};
  Skipped += page->Unreadable;
  PageStart = Snapshot.size();
  for (Target &it : page->Targets)
    Snapshot.push_back(std::move(it));
  Token = page->NextPage;
  if (!Token.empty()) {
    NextAt = now;
    return std::optional<std::vector<Target>>();
  }
  NextAt = SnapshotStart + Settings.Interval;
  PageStart = 0;
  return std::optional<std::vector<Target>>(std::exchange(Snapshot, {}));
}

void ListReader::onFailure(core::Time now) {
  Outstanding = false;
  // The token may have become stale with the failure, so that the reading starts anew.
  Token.clear();
  Backoff = Backoff.Ms == 0 ? Settings.InitialBackoff : std::min(Backoff * 2, Settings.MaxBackoff);
  NextAt = now + Backoff;
}

void ListReader::restart(core::Time now) {
  Outstanding = false;
  Token.clear();
  Backoff = {0};
  NextAt = now;
}

} // namespace briarspar::discovery
