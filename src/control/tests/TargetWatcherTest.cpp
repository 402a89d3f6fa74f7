#include "control/TargetWatcher.h"

#include <criterion/criterion.h>

#include <string>

using namespace briarspar;
using namespace briarspar::control;
using namespace briarspar::core;

namespace {

/// Pages have the form "token:id": the token of the next page and the id of a target, followed by
/// "!" when it drains; "?" stands for an entry that cannot be parsed.
struct TextFormat final : discovery::ListFormat {
  std::string pagePath(std::string_view token) const override {
    return "/list?" + std::string(token);
  }
  absl::StatusOr<discovery::ListPage> parsePage(std::string_view body, Time) const override {
    size_t colon = body.find(':');
    if (colon == std::string_view::npos)
      return absl::InvalidArgumentError("no page");
    discovery::ListPage page;
    page.NextPage = std::string(body.substr(0, colon));
    std::string id(body.substr(colon + 1));
    if (id == "?") {
      page.Unreadable = 1;
      return page;
    }
    discovery::Target target;
    target.Draining = id.back() == '!';
    target.Id = TargetId(target.Draining ? id.substr(0, id.size() - 1) : id);
    page.Targets.push_back(target);
    return page;
  }
};

struct Fixture {
  TextFormat Format;
  TargetWatcher Watcher{Format, {}};
};

} // namespace

/// Guards against a new leader without a target list for a second after the loss of all processes,
/// while it rereads what it read just before, and against starting from an outdated list.
Test(TargetWatcher, leaderStartsFromRecentSnapshot) {
  for (int64_t electedAt : {1000, 5000}) {
    Fixture fixture;
    cr_assert(fixture.Watcher.next(/*isLeader=*/false, Time{0}).has_value());
    auto change = fixture.Watcher.onPage(200, ":a", /*isLeader=*/false, Time{100});
    cr_assert(change.ok() && !change->has_value(), "only the leader distributes the list");
    cr_assert_not(fixture.Watcher.next(/*isLeader=*/false, Time{electedAt - 25}).has_value(),
                  "a follower reads one snapshot");
    fixture.Watcher.becomeLeader(Term(3), Time{electedAt});
    cr_assert_eq(fixture.Watcher.targets().targets().size(), electedAt == 1000 ? 1 : 0);
    cr_assert(fixture.Watcher.next(/*isLeader=*/true, Time{electedAt}).has_value());
  }
}

/// Guards against a snapshot that restarts because its process is elected in the meantime.
Test(TargetWatcher, electionKeepsSnapshotInProgress) {
  Fixture fixture;
  cr_assert_eq(fixture.Watcher.next(false, Time{0}).value(), "/list?");
  cr_assert(fixture.Watcher.onPage(200, "p2:a", false, Time{100}).ok());
  fixture.Watcher.becomeLeader(Term(3), Time{150});
  cr_assert_eq(fixture.Watcher.next(true, Time{150}).value(), "/list?p2");
  auto change = fixture.Watcher.onPage(200, ":b", true, Time{250});
  cr_assert(change.ok() && change->has_value());
  cr_assert_eq(fixture.Watcher.targets().targets().size(), 2);
}

/// Guards against changes that are reported twice or not at all, and against skipped entries that
/// are not reported because they are not on the last page.
Test(TargetWatcher, changesReportSkippedEntries) {
  Fixture fixture;
  fixture.Watcher.becomeLeader(Term(1), Time{0});
  auto page = [&](const std::string &body, int64_t ms) {
    cr_assert(fixture.Watcher.next(true, Time{ms}).has_value());
    auto change = fixture.Watcher.onPage(200, body, true, Time{ms});
    cr_assert(change.ok());
    return *change;
  };
  cr_assert_not(page("p2:a", 0).has_value());
  cr_assert_not(page("p3:?", 10).has_value());
  std::optional<ListChange> whole = page(":b", 20);
  cr_assert(whole.has_value());
  cr_assert_eq(whole->Skipped, 1);
  cr_assert_not(whole->DrainingOnly);
  std::optional<ListChange> drain = page("p2:a!", 1000);
  cr_assert(drain.has_value());
  cr_assert(drain->DrainingOnly);
  cr_assert_eq(drain->Before, 2);
  cr_assert_eq(drain->Skipped, 0);
  cr_assert_not(page(":b", 1010).has_value(), "the rest is unchanged");
}
