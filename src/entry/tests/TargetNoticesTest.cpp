#include "entry/TargetNotices.h"

#include "entry/TargetTable.h"
#include "entry/testing/CopyingTarget.h"
#include "entry/testing/OneService.h"
#include "entry/testing/SessionFixture.h"

#include "core/testing/Property.h"

#include <set>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;

namespace {

constexpr size_t TargetCount = 4;

/// A VM with four targets of one service.
struct Fixture {
  Fixture()
      : Table(VmLocation{
            VmId("vm"), RegionId("r"), DomainId("z"), {{DomainId("z"), RegionId("r")}}}) {
    Table.setCatalog(entry::testing::oneService(), Time{0});
    Route.Name = "route";
    Route.Idempotent = true;
    Route.Sticky = true;
    Route.Timeout = Duration{1000};
    Route.LatencyGoal = Duration{400};
    Route.Services = {{entry::testing::ServiceName, 1}};
    setList(TargetCount);
  }

  void setList(size_t count, Time now = Time{0}) {
    Table.setTargets(entry::testing::targetsIn(std::vector<std::string>(count, "z"), 100), now);
  }

  std::optional<Pick> pick(Time now, uint64_t object = 0) {
    PickRequest request;
    request.Route = &Route;
    request.Service = entry::testing::ServiceName;
    request.Object = object;
    request.Priority = 2;
    request.Left = Duration{1000};
    std::optional<Pick> found = Table.pick(request, now);
    if (found)
      Table.record(*found, Route, TargetOutcome::Cancelled, Duration{1}, 0, now);
    return found;
  }

  /// Returns the targets that get requests for different objects.
  std::set<TargetId> used(Time now) {
    std::set<TargetId> out;
    for (uint64_t object = 1; object <= 200; ++object)
      if (std::optional<Pick> found = pick(now, object))
        out.insert(found->Id);
    return out;
  }

  TargetTable Table;
  catalog::Route Route;
};

} // namespace

/// Guards against requests to a target that said that it is leaving: from the affinity of objects,
/// and after a list that still names it or names it again.
Test(TargetNotices, leavingTargetGetsNoRequest) {
  Fixture f;
  cr_assert_eq(f.used(Time{0}).size(), TargetCount);
  const TargetId leaving("t1");
  cr_assert(f.Table.recordLeaving(leaving, Time{10}));
  cr_assert_not(f.Table.recordLeaving(leaving, Time{11}));
  cr_assert_eq(f.used(Time{20}).count(leaving), 0);
  f.setList(TargetCount, Time{1000});
  cr_assert_eq(f.used(Time{1000}).count(leaving), 0);
  f.setList(1, Time{2000});
  f.setList(TargetCount, Time{3000});
  cr_assert_eq(f.used(Time{3000}).count(leaving), 0);
  cr_assert_eq(f.used(Time{3000}).size(), TargetCount - 1);
}

/// Guards against notices that stay in memory, and against avoiding a process that has taken over
/// the id of one that left.
Test(TargetNotices, noticeEndsWithItsProcess) {
  const TargetNoticesSettings settings;
  TargetNotices notices;
  notices.recordLeaving(TargetId("a"), Time{0});
  notices.recordPause(TargetId("b"), Duration{1000}, Time{0});
  auto none = [](const TargetId &) { return false; };
  // The list has not changed for a long time when it first lacks the targets.
  const Time unlisted{3'600'000};
  notices.onList(none, unlisted);
  notices.onList(none, unlisted + settings.Retention);
  cr_assert_eq(notices.size(), 2);
  notices.onList(none, unlisted + settings.Retention + Duration{1});
  cr_assert_eq(notices.size(), 0);
  cr_assert(notices.mayUse(TargetId("a"), unlisted + settings.Retention));
  notices.recordLeaving(TargetId("c"), Time{0});
  notices.discard(TargetId("c"));
  cr_assert(notices.mayUse(TargetId("c"), Time{0}));
}

/// Guards against requests to a target that asked for none, and against a pause that a shorter one
/// cuts or that never ends.
Test(TargetNotices, pausedTargetGetsNoRequestUntilItsTime) {
  core::testing::checkProperty("no request within any pause", [] {
    const TargetNoticesSettings settings;
    TargetNotices notices;
    const TargetId id("a");
    Time now{0};
    Time until{0};
    for (int i = 0; i < 30; ++i) {
      now = now + Duration{*rc::gen::inRange<int64_t>(0, 3000)};
      if (*rc::gen::inRange(0, 2) == 0) {
        const Duration span{*rc::gen::element<int64_t>(0, 1, 500, 2000, 10'000, 1'000'000'000'000)};
        notices.recordPause(id, span, now);
        until = std::max(until, now + std::min(span, settings.MaxPause));
      }
      RC_ASSERT(notices.mayUse(id, now) == (now >= until));
    }
  });
}

/// Guards against a request that waits for a target to end its pause: it is refused at once, and
/// its caller learns when a target accepts requests again. Callers do not all return at the same
/// moment.
Test(TargetNotices, serviceOfPausedTargetsRefusesAtOnce) {
  Fixture f;
  for (size_t i = 0; i < TargetCount; ++i)
    f.Table.recordPause(TargetId("t" + std::to_string(i)),
                        Duration{2000 + static_cast<int64_t>(i) * 1000}, Time{0});
  cr_assert_not(f.pick(Time{500}).has_value());
  const PickFailure &why = f.Table.lastFailure();
  cr_assert_eq(why.Usable, 0);
  cr_assert_eq(why.Paused, TargetCount);
  cr_assert_eq(why.ResumesAt.Ms, 2000);
  const RetryAfterPolicy policy(Time{0});
  std::set<int64_t> delays;
  for (int i = 0; i < 100; ++i) {
    const Duration delay = policy.afterPause("id-" + std::to_string(i), Duration{1500});
    cr_assert_geq(delay.Ms, 1500);
    cr_assert_lt(delay.Ms, 2 * 1500);
    delays.insert(delay.Ms / 100);
  }
  cr_assert_geq(delays.size(), 4);
  cr_assert_eq(f.used(Time{2000}).size(), 1);
}

/// Guards against reading a date or other text as a number of seconds.
Test(TargetNotices, retryAfterIsReadInSeconds) {
  cr_assert(parseRetryAfter("2") == std::optional<Duration>(Duration{2000}));
  cr_assert(parseRetryAfter(" 0.25 ") == std::optional<Duration>(Duration{250}));
  cr_assert(parseRetryAfter("1e30").has_value());
  for (const char *text : {"", "-1", "nan", "inf", "soon", "2 s", "Sun, 06 Dec 2026 08:00:00 GMT"})
    cr_assert_not(parseRetryAfter(text).has_value());
}

namespace {

/// A VM with a connection of a caller, and one target process whose responses have a header.
struct SocketFixture : entry::testing::SessionFixture {
  SocketFixture(entry::testing::CopyTime copies, bool idempotent)
      : Target(Io, Context.Names, "t", copies) {
    entry::testing::configure(Context, entry::testing::oneOpenRoute(idempotent), {"t"},
                              Target.port(), Clock.now());
  }

  /// Sends a request and returns the head of the response.
  std::string exchange(const std::string &id) {
    Received.clear();
    send("GET /a HTTP/1.1\r\nHost: h\r\n" + Context.Names.RequestId + ": " + id + "\r\n\r\n");
    for (int n = 0; n < 100'000 && Received.find("\r\n\r\n") == std::string::npos; ++n)
      poll();
    return Received.substr(0, Received.find("\r\n\r\n"));
  }

  entry::testing::CopyingTarget Target;
};

} // namespace

/// Guards against passing further requests to a target after an answer with which it said that it
/// is leaving, and against passing that header on.
Test(TargetNotices, answerOfLeavingTargetEndsItsUse) {
  using entry::testing::CopyTime;
  SocketFixture f(CopyTime::Never, true);
  f.Target.ExtraHeader = f.Context.Names.Leaving + ": 1\r\n";
  const std::string answer = f.exchange("first");
  cr_assert_eq(answer.substr(9, 3), std::string("200"));
  cr_assert_eq(answer.find(f.Context.Names.Leaving), std::string::npos);
  cr_assert_eq(f.exchange("second").substr(9, 3), std::string("503"));
  cr_assert_eq(f.Target.runs("second"), 0);
}

/// Guards against requests to a target during the time for which it asked for none, and against a
/// service that stays unused after it.
Test(TargetNotices, refusalWithRetryAfterPausesTarget) {
  using entry::testing::CopyTime;
  SocketFixture f(CopyTime::Never, false);
  f.Target.RefuseFirst = 1;
  f.Target.ExtraHeader = "Retry-After: 2.5\r\n";
  cr_assert_eq(f.exchange("first").substr(9, 3), std::string("503"));
  for (int n = 0; n < 5; ++n) {
    const std::string answer = f.exchange("early-" + std::to_string(n));
    cr_assert_eq(answer.substr(9, 3), std::string("503"));
    const size_t at = answer.find("Retry-After: ");
    cr_assert_neq(at, std::string::npos);
    cr_assert_geq(std::stod(answer.substr(at + 13)), 2.5 - 0.4 * n);
    cr_assert_eq(f.Target.runs("early-" + std::to_string(n)), 0);
    f.Clock.advance({400});
  }
  f.Clock.advance({600});
  cr_assert_eq(f.exchange("later").substr(9, 3), std::string("200"));
}
