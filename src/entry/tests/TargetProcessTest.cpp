#include "entry/testing/TargetProcessFixture.h"

#include <criterion/criterion.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;
using Fixture = entry::testing::TargetProcessFixture;

namespace {

/// State that is kept by the id of a target.
struct Kept {
  const char *Name;
  std::function<void(Fixture &)> Cause;
  std::function<bool(Fixture &)> Shows; ///< Whether selection still follows from it.
};

bool isUnused(Fixture &f) { return f.isUnused(); }

} // namespace

/// Guards against a new process that is judged by what was observed of the one before it.
Test(TargetProcess, observationsEndWithTheProcess) {
  const std::vector<Kept> kept{
      {"failure share", [](Fixture &f) { f.record(TargetOutcome::NotRun, 8); },
       [](Fixture &f) { return f.look().value().Value < 0.6; }},
      {"slowness", [](Fixture &f) { f.record(TargetOutcome::Success, 2, 9000); },
       [](Fixture &f) { return f.look().value().Slowness > 1.5; }},
      {"reported load",
       [](Fixture &f) {
         f.Table.recordLoad(f.Id, {3, 0, 4}, f.Now);
       },
       [](Fixture &f) { return f.look().value().Load > 2; }},
      {"load reported by the leader",
       [](Fixture &f) {
         const link::TargetLoad load{link::targetKey(f.Id), 3};
         f.Table.setBusyTargets({&load, 1}, f.Now);
       },
       [](Fixture &f) { return f.look().value().Load > 2; }},
      {"failures in a row", [](Fixture &f) { f.record(TargetOutcome::ConnectionLost, 2); },
       [](Fixture &f) {
         f.record(TargetOutcome::ConnectionLost, 1);
         return f.Table.takeEjections().size() == 1;
       }},
      {"last response", [](Fixture &f) { f.record(TargetOutcome::Success, 1); },
       [](Fixture &f) {
         f.record(TargetOutcome::TimedOut, 3, 1000);
         return f.Table.takeEjections().empty();
       }},
      {"421", [](Fixture &f) { f.record(TargetOutcome::WrongTarget, 1); }, isUnused},
      {"leaving", [](Fixture &f) { f.Table.recordLeaving(f.Id, f.Now); }, isUnused},
      {"pause", [](Fixture &f) { f.Table.recordPause(f.Id, Duration{60'000}, f.Now); }, isUnused},
  };
  for (const Kept &it : kept) {
    Fixture fresh;
    cr_assert_not(it.Shows(fresh), "%s: not caused yet", it.Name);
    for (uint64_t process : {100, 200}) {
      Fixture f;
      it.Cause(f);
      f.list(process);
      cr_assert_eq(it.Shows(f), process == 100, "%s, process %d", it.Name,
                   static_cast<int>(process));
    }
  }
}

/// Guards against a list, which shows a start late, that takes back what VMs found out about it.
Test(TargetProcess, findingsOnTheStartSurviveIt) {
  const std::vector<Kept> kept{
      {"own requests",
       [](Fixture &f) {
         for (int i = 0; i < 3; ++i)
           (void)f.pick();
       },
       [](Fixture &f) { return f.look().value().Load == 3; }},
      {"ejection", [](Fixture &f) { f.record(TargetOutcome::ConnectFailed, 1); }, isUnused},
      {"own doubt", [](Fixture &f) { f.Table.recordConnectionEnded(f.Id, f.Now, true, f.Now); },
       [](Fixture &f) {
         std::optional<Pick> it = f.look();
         return it->IsLimited && it->ColdBy == ColdEvidence::Lost;
       }},
      {"doubt of another VM", [](Fixture &f) { f.apply(link::ProcessFact::MayHaveEnded, 10); },
       [](Fixture &f) {
         std::optional<Pick> it = f.look();
         return it->IsLimited && it->ColdBy == ColdEvidence::LostByPeer;
       }},
      {"cold by probe",
       [](Fixture &f) { f.Table.recordProbe(f.Id, ProbeResult::Passed, Duration{5000}, f.Now); },
       [](Fixture &f) { return f.look().value().ColdBy == ColdEvidence::Probe; }},
      {"cold by notice", [](Fixture &f) { f.apply(link::ProcessFact::IsCold, 5000); },
       [](Fixture &f) { return f.look().value().ColdBy == ColdEvidence::Notice; }},
      {"cold after an ejection",
       [](Fixture &f) {
         f.record(TargetOutcome::ConnectFailed, 1);
         f.Table.recordProbe(f.Id, ProbeResult::Passed, Duration{0}, f.Now);
       },
       [](Fixture &f) { return f.look().value().ColdBy == ColdEvidence::Returned; }},
  };
  for (const Kept &it : kept) {
    Fixture f;
    it.Cause(f);
    f.list(200);
    cr_assert(it.Shows(f), "%s", it.Name);
  }
}

/// Guards against a cold target that is taken to have objects cached: those assigned to it, and
/// those that the process before had served.
Test(TargetProcess, coldProcessHasNothingCached) {
  for (uint64_t process : {100, 200}) {
    Fixture f;
    cr_assert(f.look(1).value().ObjectCached); // Its primary target.
    f.list(process, f.Now + Duration{5000});
    std::optional<Pick> served = f.look(1);
    cr_assert(served && served->ColdBy == ColdEvidence::List);
    cr_assert_eq(served->ObjectCached, process == 100);
    std::optional<Pick> assigned = f.look(2);
    cr_assert(assigned && !assigned->ObjectCached);
  }
}

/// Guards against a target that is never used again because the process before was leaving.
Test(TargetProcess, targetThatLeftAndCameBackIsUsed) {
  Fixture f;
  f.Table.recordLeaving(f.Id, f.Now);
  f.list(100);
  f.list(100, {}, /*isListed=*/false);
  cr_assert(isUnused(f));
  f.list(100);
  cr_assert(isUnused(f)); // A list that lacked it for a moment.
  f.list(100, {}, /*isListed=*/false);
  f.list(200);
  cr_assert_not(isUnused(f));
}

/// Guards against a flood of a target after each of several connections ends as usual.
Test(TargetProcess, doubtIsWithdrawnWhileAnEarlierConnectionIsOpen) {
  for (int64_t openedAt : {9000, 9001}) {
    Fixture f;
    f.OpenedAt = Time{openedAt};
    f.Table.recordConnectionEnded(f.Id, Time{9000}, /*isOrderly=*/true, f.Now);
    cr_assert(f.takeNotices().empty()); // The others may be about to end, too.
    cr_assert(f.Table.hasOpenDoubts(f.Now));
    f.Now = f.Now + Duration{30};
    std::vector<link::ProcessNotice> notices = f.takeNotices();
    cr_assert(notices.empty());
    f.Now = f.Now + Duration{70};
    notices = f.takeNotices();
    f.OpenedAt.reset();
    if (openedAt == 9000) {
      cr_assert(notices.empty());
      cr_assert_not(f.look().value().IsLimited);
    } else {
      // That connection may lead to the next process.
      cr_assert_eq(notices.size(), 1);
      cr_assert(notices[0].Fact == link::ProcessFact::MayHaveEnded);
      cr_assert_eq(notices[0].Span.Ms, 1100);
      cr_assert(f.look().value().IsLimited);
    }
  }
}

/// Guards against a host that went silent: its other connections only seem to be open.
Test(TargetProcess, doubtIsKeptAfterASilentLoss) {
  Fixture f;
  f.OpenedAt = Time{1000};
  f.Table.recordConnectionEnded(f.Id, Time{9000}, /*isOrderly=*/false, f.Now);
  f.Table.recordConnectionEnded(f.Id, Time{9000}, /*isOrderly=*/true, f.Now);
  f.Now = f.Now + Duration{30};
  cr_assert_eq(f.takeNotices().size(), 1);
  f.OpenedAt.reset();
  cr_assert(f.look().value().IsLimited);
}

/// Guards against a lost message that leaves the other VMs without the notice, and against
/// repeating it without end.
Test(TargetProcess, openDoubtIsAnnouncedAgain) {
  Fixture f;
  const Time start = f.Now;
  f.Table.recordConnectionEnded(f.Id, Time{9000}, /*isOrderly=*/true, f.Now);
  std::vector<int64_t> sentAt;
  for (; f.Now - start < Duration{5000}; f.Now = f.Now + Duration{10})
    if (!f.takeNotices().empty())
      sentAt.push_back((f.Now - start).Ms);
  cr_assert(sentAt == std::vector<int64_t>({100, 500, 900, 1300, 1700}));
}

/// Guards against a doubt that only this VM settles, and against an answer given before it.
Test(TargetProcess, answerToAnotherVmSettlesADoubt) {
  Fixture f;
  f.Table.recordConnectionEnded(f.Id, f.Now, /*isOrderly=*/true, f.Now);
  f.Now = f.Now + Duration{150};
  f.apply(link::ProcessFact::IsWarm, 0);
  cr_assert(f.pick().value().IsLimited);
  f.Now = f.Now + Duration{1};
  f.apply(link::ProcessFact::IsWarm, 0);
  cr_assert_not(f.pick().value().IsLimited);
}

/// Guards against a flood of processes that started while nobody could tell this VM, and against a
/// stop of the requests over connections that lead to known processes.
Test(TargetProcess, withoutLeaderOnlyNewConnectionsAreLimited) {
  Fixture f;
  f.Table.setControlLost(Time{9500});
  std::optional<Pick> first = f.pick();
  cr_assert(first && first->IsLimited && !first->OpenedBy);
  cr_assert_not(f.pick().has_value()); // The limit of a cold target.
  cr_assert_eq(f.Table.lastFailure().Cold, 1);
  f.OpenedAt = Time{9500};
  for (int i = 0; i < 3; ++i) {
    std::optional<Pick> reused = f.pick();
    cr_assert(reused && !reused->IsLimited);
    cr_assert_eq(reused->OpenedBy.value().Ms, 9500);
    f.Table.record(*reused, f.Route, TargetOutcome::Cancelled, Duration{0}, 0, f.Now);
  }
  f.OpenedAt = Time{9501};
  cr_assert_not(f.pick().has_value());
  // A response of the process counts for a short time.
  f.OpenedAt.reset();
  f.Table.recordProbe(f.Id, ProbeResult::Passed, Duration{0}, f.Now);
  cr_assert_not(f.pick().value().IsLimited);
  f.Now = f.Now + Duration{500};
  cr_assert(f.pick().value().IsLimited);
  f.Table.setControlLost(std::nullopt);
  cr_assert_not(f.pick().value().IsLimited);
}

/// Guards against requests that were chosen before a doubt or a cold time and flood the next
/// process as soon as it accepts their connections.
Test(TargetProcess, requestIsConfirmedWhenItsConnectionOpens) {
  const std::vector<Kept> starts{
      {"own doubt", [](Fixture &f) { f.Table.recordConnectionEnded(f.Id, f.Now, true, f.Now); },
       nullptr},
      {"doubt of another VM", [](Fixture &f) { f.apply(link::ProcessFact::MayHaveEnded, 10); },
       nullptr},
      {"cold by notice", [](Fixture &f) { f.apply(link::ProcessFact::IsCold, 3000); }, nullptr},
      {"cold by list", [](Fixture &f) { f.list(200, f.Now + Duration{3000}); }, nullptr},
  };
  for (const Kept &it : starts) {
    Fixture f;
    std::optional<Pick> first = f.pick();
    std::optional<Pick> before = f.pick();
    cr_assert(first && before && f.Table.confirmSend(*first, f.Now), "%s", it.Name);
    it.Cause(f);
    // One is within the limit of a cold target, and counts.
    cr_assert(f.Table.confirmSend(*first, f.Now), "%s", it.Name);
    cr_assert_not(f.Table.confirmSend(*before, f.Now), "%s", it.Name);
    f.Now = f.Now + Duration{400};
    cr_assert(f.Table.confirmSend(*before, f.Now), "%s", it.Name);
    cr_assert_not(f.Table.confirmSend(*before, f.Now), "%s", it.Name);
    cr_assert_not(f.pick().has_value(), "%s", it.Name);
    // A request that was chosen within the limit counts already.
    f.Now = f.Now + Duration{400};
    std::optional<Pick> limited = f.pick();
    cr_assert(limited && limited->IsLimited && f.Table.confirmSend(*limited, f.Now), "%s", it.Name);
  }
}
