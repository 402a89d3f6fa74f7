#include "core/testing/Property.h"
#include "discovery/ListReader.h"
#include "discovery/TargetList.h"

using namespace briarspar::core;
using namespace briarspar::discovery;

namespace {

Target target(const std::string &id, bool draining = false, Time coldUntil = {}) {
  Target it;
  it.Id = TargetId(id);
  it.Service = "s";
  it.Host = "10.0.0.1";
  it.Port = 80;
  it.Draining = draining;
  it.ColdUntil = coldUntil;
  return it;
}

/// Pages are "token:id" texts: the next token, then the id of a target, with a "!" when it drains.
struct FakeFormat final : ListFormat {
  std::string pagePath(std::string_view token) const override {
    return "/list?" + std::string(token);
  }
  absl::StatusOr<ListPage> parsePage(std::string_view body, Time) const override {
    size_t colon = body.find(':');
    if (colon == std::string_view::npos)
      return absl::InvalidArgumentError("no page");
    ListPage page;
    page.NextPage = std::string(body.substr(0, colon));
    std::string id(body.substr(colon + 1));
    bool draining = !id.empty() && id.back() == '!';
    if (draining)
      id.pop_back();
    page.Targets.push_back(target(id, draining));
    return page;
  }
};

} // namespace

/// Guards against a copy that keeps a target which has gone, or misses one that drains.
Test(TargetList, copiesFollowByDeltas) {
  testing::checkProperty("a copy equals the list", [] {
    TargetList list;
    TargetList copy;
    list.startEpoch(3);
    for (int i = 0; i < *rc::gen::inRange(1, 20); ++i) {
      std::vector<Target> reading;
      for (int id = 0; id < 6; ++id)
        if (*rc::gen::inRange(0, 3) != 0)
          reading.push_back(target("t" + std::to_string(id), *rc::gen::inRange(0, 2) == 0));
      list.update(reading, Time{1000 * i});
      if (*rc::gen::inRange(0, 4) == 0)
        list.startEpoch(list.version().Epoch + 1);
      if (list.version().Sequence != 0 && *rc::gen::inRange(0, 2) == 0)
        RC_ASSERT(copy.applyDelta(list.deltaSince(copy.version(), Time{}), Time{}).ok());
    }
    list.update({target("last")}, Time{99'000});
    RC_ASSERT(copy.applyDelta(list.deltaSince(copy.version(), Time{}), Time{}).ok());
    RC_ASSERT(copy.targets().size() == 1);
    RC_ASSERT(copy.targets().count(TargetId("last")) == 1);
  });
}

/// Guards against a deposed leader whose list displaces that of its successor.
Test(TargetList, anOlderEpochIsIgnored) {
  TargetList older;
  older.startEpoch(1);
  older.update({target("old")}, Time{});
  TargetList newer;
  newer.startEpoch(2);
  newer.update({target("new")}, Time{});
  TargetList copy;
  cr_assert(copy.applyDelta(newer.deltaSince({}, Time{}), Time{}).ok());
  cr_assert(copy.applyDelta(older.deltaSince({}, Time{}), Time{}).ok());
  cr_assert_eq(copy.targets().count(TargetId("new")), 1);
}

/// Guards against a leader that loses its lease for a moment and gains it again in the same term:
/// numbers that start anew would make copies ignore its next changes.
Test(TargetList, theSameEpochGoesOn) {
  TargetList list;
  list.startEpoch(4);
  list.update({target("a")}, Time{});
  list.update({target("a"), target("b")}, Time{});
  TargetList copy;
  cr_assert(copy.applyDelta(list.deltaSince(copy.version(), Time{}), Time{}).ok());
  list.startEpoch(4);
  list.update({target("a", /*draining=*/true), target("b")}, Time{});
  cr_assert(copy.applyDelta(list.deltaSince(copy.version(), Time{}), Time{}).ok());
  cr_assert(copy.targets().at(TargetId("a")).Draining);
}

/// Guards against a cold span that starts again at each reading, because clocks and delays differ.
Test(TargetList, theSameColdSpanIsNoChange) {
  TargetList list;
  list.startEpoch(1);
  cr_assert(list.update({target("t", false, Time{5000})}, Time{2000}));
  cr_assert_not(list.update({target("t", false, Time{5300})}, Time{2700}));
  cr_assert(list.update({target("t", false, Time{9000})}, Time{6000}));
}

/// Guards against a reading that mixes pages of two listings after a failure.
Test(ListReader, aFailedPageStartsTheReadingAnew) {
  FakeFormat format;
  ListReader reader(format);
  cr_assert(reader.next(Time{0}) == std::optional<std::string>("/list?"));
  cr_assert(reader.onPage(200, "p2:a", Time{10})->has_value() == false);
  cr_assert(reader.next(Time{10}) == std::optional<std::string>("/list?p2"));
  cr_assert_not(reader.onPage(429, "", Time{20}).ok());
  cr_assert_not(reader.next(Time{21}).has_value());
  cr_assert(reader.next(Time{2000}) == std::optional<std::string>("/list?"));
  absl::StatusOr<std::optional<std::vector<Target>>> whole = reader.onPage(200, ":b", Time{2010});
  cr_assert_eq((*whole)->size(), 1);
}

/// Guards against targets that get requests for more than the 3 s after their notice because a
/// reading takes long. The load: 15 pages, 105 ms each; a target of any page leaves at any time.
/// One second of the three is for the way to the entry VMs and for requests on their way.
Test(ListReader, drainsAreToldBeforeTheReadingEnds) {
  constexpr int pages = 15;
  constexpr int64_t pageMs = 105;
  for (int leaving = 0; leaving < pages; ++leaving)
    for (int64_t notice = 4000; notice < 4000 + pages * pageMs; notice += 100) {
      FakeFormat format;
      ListReader reader(format);
      TargetList list;
      list.startEpoch(1);
      int page = 0;
      int64_t told = 0;
      for (int64_t ms = 0; told == 0 && ms < 20'000; ms += pageMs) {
        if (!reader.next(Time{ms}))
          continue;
        std::string id = "t" + std::to_string(page) + (page == leaving && ms >= notice ? "!" : "");
        page = (page + 1) % pages;
        std::string next = page == 0 ? "" : "p" + std::to_string(page);
        Time arrived{ms + pageMs};
        auto reading = reader.onPage(200, next + ":" + id, arrived);
        cr_assert(reading.ok());
        if (*reading)
          list.update(**reading, arrived);
        else
          list.updateDraining(reader.lastPage());
        auto it = list.targets().find(TargetId("t" + std::to_string(leaving)));
        if (it != list.targets().end() && it->second.Draining)
          told = arrived.Ms;
      }
      cr_assert_gt(told, 0);
      cr_assert_leq(told - notice, 2000, "page %d: %d ms", leaving,
                    static_cast<int>(told - notice));
    }
}

/// Guards against drains of a page that are told before the targets themselves are, after a change
/// of the leader.
Test(TargetList, drainsWaitForTheFirstReadingOfAnEpoch) {
  TargetList list;
  list.startEpoch(1);
  list.update({target("a"), target("b")}, Time{});
  list.startEpoch(2);
  std::vector<Target> page{target("a", /*draining=*/true)};
  cr_assert_not(list.updateDraining(page));
  cr_assert_eq(list.version().Sequence, 0);
  list.update({target("a"), target("b")}, Time{});
  TargetList copy;
  cr_assert(copy.applyDelta(list.deltaSince(copy.version(), Time{}), Time{}).ok());
  cr_assert(list.updateDraining(page));
  cr_assert_not(list.updateDraining(page));
  cr_assert(copy.applyDelta(list.deltaSince(copy.version(), Time{}), Time{}).ok());
  cr_assert(copy.targets().at(TargetId("a")).Draining);
  cr_assert_not(copy.targets().at(TargetId("b")).Draining);
}

/// Guards against a lost answer that stops the reading for good, and against calls beyond the pace
/// while the list answers 429.
Test(ListReader, callsAreRareWhileTheListFails) {
  FakeFormat format;
  ListReader reader(format);
  int calls = 0;
  for (int64_t ms = 0; ms < 20'000; ms += 25)
    if (reader.next(Time{ms})) {
      ++calls;
      if (calls % 2 == 0)
        (void)reader.onPage(429, "", Time{ms});
    }
  cr_assert_geq(calls, 4);
  cr_assert_leq(calls, 20);
}
