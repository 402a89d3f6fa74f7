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

/// Pages have the form "token:id": the token of the next page and the id of a target, followed by
/// "!" when it drains.
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

/// Guards against a copy that keeps a removed target, or misses that one is draining.
Test(TargetList, copiesConvergeByDeltas) {
  testing::checkProperty("a copy equals the list after the last delta", [] {
    TargetList list;
    TargetList copy;
    list.startEpoch(3);
    for (int i = 0; i < *rc::gen::inRange(1, 20); ++i) {
      std::vector<Target> snapshot;
      for (int id = 0; id < 6; ++id)
        if (*rc::gen::inRange(0, 3) != 0)
          snapshot.push_back(target("t" + std::to_string(id), *rc::gen::inRange(0, 2) == 0));
      list.update(snapshot, Time{1000 * i});
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

/// Guards against the list of a deposed leader replacing that of its successor.
Test(TargetList, olderEpochIsIgnored) {
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

/// Guards against a restart of the sequence numbers when a leader briefly loses its lease and
/// regains it in the same term; copies would then ignore its next changes.
Test(TargetList, repeatedEpochKeepsSequence) {
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

/// Guards against a change in every snapshot because clocks and delays shift the end of the cold
/// period.
Test(TargetList, coldUntilJitterIsNoChange) {
  TargetList list;
  list.startEpoch(1);
  cr_assert(list.update({target("t", false, Time{5000})}, Time{2000}));
  cr_assert_not(list.update({target("t", false, Time{5300})}, Time{2700}));
  cr_assert(list.update({target("t", false, Time{9000})}, Time{6000}));
}

namespace {

Target process(const std::string &id, uint64_t start, bool draining = false) {
  Target it = target(id, draining);
  it.Process = Incarnation(start);
  return it;
}

} // namespace

/// Guards against a new process that entry VMs take for the one before it, as nothing else differs.
Test(TargetList, otherProcessIsAChange) {
  TargetList list;
  list.startEpoch(1);
  cr_assert(list.update({process("a", 100), process("b", 100)}, Time{}));
  TargetList copy;
  cr_assert(copy.applyDelta(list.deltaSince(copy.version(), Time{}), Time{}).ok());
  cr_assert_not(list.update({process("a", 100), process("b", 100)}, Time{}));
  cr_assert(list.update({process("a", 200), process("b", 100)}, Time{}));
  const Json delta = list.deltaSince(copy.version(), Time{});
  cr_assert_eq(delta.at("set").size(), 1);
  cr_assert(copy.applyDelta(delta, Time{}).ok());
  cr_assert_eq(copy.targets().at(TargetId("a")).Process.Value, 200);
  cr_assert_eq(copy.targets().at(TargetId("b")).Process.Value, 100);
}

/// Guards against a process that has ended and is still listed beside the next one with its id.
Test(TargetList, latestProcessOfAnIdCounts) {
  for (bool isFirst : {true, false}) {
    std::vector<Target> rows{process("a", 100, /*draining=*/true), process("a", 200)};
    if (isFirst)
      std::swap(rows[0], rows[1]);
    TargetList list;
    list.startEpoch(1);
    list.update(rows, Time{});
    cr_assert_eq(list.targets().size(), 1);
    cr_assert_eq(list.targets().at(TargetId("a")).Process.Value, 200);
    cr_assert_not(list.targets().at(TargetId("a")).Draining);
  }
}

/// Guards against an entry VM that cannot read the list of a leader of an earlier build.
Test(TargetList, deltaWithoutProcessIsRead) {
  TargetList list;
  list.startEpoch(1);
  list.update({process("a", 100, /*draining=*/true)}, Time{});
  Json delta = list.deltaSince({}, Time{});
  cr_assert_eq(delta["set"][0].size(), 10);
  delta["set"][0].erase(9);
  TargetList copy;
  cr_assert(copy.applyDelta(delta, Time{}).ok());
  cr_assert_eq(copy.targets().at(TargetId("a")).Process.Value, 0);
  cr_assert(copy.targets().at(TargetId("a")).Draining);
}

/// Guards against a snapshot that mixes pages of two listings after a failure.
Test(ListReader, failedPageRestartsSnapshot) {
  FakeFormat format;
  ListReader reader(format);
  cr_assert(reader.next(Time{0}) == std::optional<std::string>("/list?"));
  cr_assert(reader.onPage(200, "p2:a", Time{10})->has_value() == false);
  cr_assert(reader.next(Time{10}) == std::optional<std::string>("/list?p2"));
  cr_assert_not(reader.onPage(429, "", Time{20}).ok());
  cr_assert_not(reader.next(Time{21}).has_value());
  cr_assert(reader.next(Time{2000}) == std::optional<std::string>("/list?"));
  absl::StatusOr<std::optional<std::vector<Target>>> complete =
      reader.onPage(200, ":b", Time{2010});
  cr_assert_eq((*complete)->size(), 1);
}

/// Guards against targets that receive requests for more than 3 s after their drain notice because
/// a snapshot takes long. Load: 15 pages of 105 ms each; a target of any page starts draining at
/// any time. One of the three seconds is reserved for the delivery to entry VMs and for requests in
/// transit.
Test(ListReader, drainingIsReportedBeforeSnapshotEnds) {
  constexpr int pages = 15;
  constexpr int64_t pageMs = 105;
  for (int drainingPage = 0; drainingPage < pages; ++drainingPage)
    for (int64_t noticeMs = 4000; noticeMs < 4000 + pages * pageMs; noticeMs += 100) {
      FakeFormat format;
      ListReader reader(format);
      TargetList list;
      list.startEpoch(1);
      int page = 0;
      int64_t reportedAt = 0;
      for (int64_t ms = 0; reportedAt == 0 && ms < 20'000; ms += pageMs) {
        if (!reader.next(Time{ms}))
          continue;
        std::string id =
            "t" + std::to_string(page) + (page == drainingPage && ms >= noticeMs ? "!" : "");
        page = (page + 1) % pages;
        std::string next = page == 0 ? "" : "p" + std::to_string(page);
        Time arrived{ms + pageMs};
        auto snapshot = reader.onPage(200, next + ":" + id, arrived);
        cr_assert(snapshot.ok());
        if (*snapshot)
          list.update(**snapshot, arrived);
        else
          list.updateDraining(reader.lastPage());
        auto it = list.targets().find(TargetId("t" + std::to_string(drainingPage)));
        if (it != list.targets().end() && it->second.Draining)
          reportedAt = arrived.Ms;
      }
      cr_assert_gt(reportedAt, 0);
      cr_assert_leq(reportedAt - noticeMs, 2000, "page %d: %d ms", drainingPage,
                    static_cast<int>(reportedAt - noticeMs));
    }
}

/// Guards against draining flags that are distributed before the targets themselves after a change
/// of leader.
Test(TargetList, drainingWaitsForFirstSnapshotOfEpoch) {
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

/// Guards against a lost response that stops the reader permanently, and against requests without
/// back-off while the list returns 429.
Test(ListReader, failedRequestsBackOff) {
  FakeFormat format;
  ListReader reader(format);
  int requests = 0;
  for (int64_t ms = 0; ms < 20'000; ms += 25)
    if (reader.next(Time{ms})) {
      ++requests;
      if (requests % 2 == 0)
        (void)reader.onPage(429, "", Time{ms});
    }
  cr_assert_geq(requests, 4);
  cr_assert_leq(requests, 20);
}
