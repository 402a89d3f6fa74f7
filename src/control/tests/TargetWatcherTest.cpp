#include "control/TargetWatcher.h"

#include <criterion/criterion.h>

#include <string>

using namespace briarspar;
using namespace briarspar::control;
using namespace briarspar::core;

namespace {

/// Pages are "token:id" texts: the next token, then the id of a target, with a "!" when it drains;
/// "?" stands for an entry that cannot be read.
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

struct World {
  TextFormat Format;
  TargetWatcher Watcher{Format, {}};
};

} // namespace

/// Guards against a second without a list after the loss of all processes, while the new leader
/// reads what it has read just before, and against a list of long ago.
Test(TargetWatcher, aLeaderStartsFromAYoungReading) {
  for (int64_t electedAt : {1000, 5000}) {
    World world;
    cr_assert(world.Watcher.next(/*isLeader=*/false, Time{0}).has_value());
    auto change = world.Watcher.onPage(200, ":a", /*isLeader=*/false, Time{100});
    cr_assert(change.ok() && !change->has_value(), "others do not spread the list");
    cr_assert_not(world.Watcher.next(/*isLeader=*/false, Time{electedAt - 25}).has_value(),
                  "one reading is enough");
    world.Watcher.becomeLeader(Term(3), Time{electedAt});
    cr_assert_eq(world.Watcher.targets().targets().size(), electedAt == 1000 ? 1 : 0);
    cr_assert(world.Watcher.next(/*isLeader=*/true, Time{electedAt}).has_value());
  }
}

/// Guards against a reading that starts anew when its process is elected meanwhile.
Test(TargetWatcher, aReadingUnderWayGoesOn) {
  World world;
  cr_assert_eq(world.Watcher.next(false, Time{0}).value(), "/list?");
  cr_assert(world.Watcher.onPage(200, "p2:a", false, Time{100}).ok());
  world.Watcher.becomeLeader(Term(3), Time{150});
  cr_assert_eq(world.Watcher.next(true, Time{150}).value(), "/list?p2");
  auto change = world.Watcher.onPage(200, ":b", true, Time{250});
  cr_assert(change.ok() && change->has_value());
  cr_assert_eq(world.Watcher.targets().targets().size(), 2);
}

/// Guards against changes that are told twice or not at all, and against entries left out that no
/// line tells of because they stand on another page than the last one.
Test(TargetWatcher, changesTellWhatWasLeftOut) {
  World world;
  world.Watcher.becomeLeader(Term(1), Time{0});
  auto page = [&](const std::string &body, int64_t ms) {
    cr_assert(world.Watcher.next(true, Time{ms}).has_value());
    auto change = world.Watcher.onPage(200, body, true, Time{ms});
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
  cr_assert_not(page(":b", 1010).has_value(), "nothing else has changed");
}
