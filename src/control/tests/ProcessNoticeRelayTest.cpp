#include "control/ProcessNoticeRelay.h"

#include <criterion/criterion.h>

#include <vector>

using namespace briarspar::core;
using namespace briarspar::control;
using namespace briarspar::link;

namespace {

constexpr uint32_t Key = 77;

ProcessNotice ended(int64_t ms) { return {Key, ProcessFact::MayHaveEnded, Duration{ms}}; }
ProcessNotice cold(int64_t ms) { return {Key, ProcessFact::IsCold, Duration{ms}}; }
ProcessNotice warm() { return {Key, ProcessFact::IsWarm, Duration{0}}; }

/// Hands over one notice and returns what is passed on.
std::vector<ProcessNotice> pass(ProcessNoticeRelay &relay, const ProcessNotice &notice, Time now) {
  relay.receive({&notice, 1}, now);
  return relay.take(now);
}

} // namespace

/// Guards against a message to every VM for each of the many VMs that lose a connection at once.
Test(ProcessNoticeRelay, oneNoticeIsPassedOnForManyVms) {
  ProcessNoticeRelay relay;
  size_t passedOn = 0;
  for (int64_t vm = 0; vm < 80; ++vm) {
    const std::vector<ProcessNotice> notices{ended(10), {Key + 1, ProcessFact::IsCold, {3000}}};
    relay.receive(notices, Time{1000 + vm});
    if (vm % 15 == 14)
      passedOn += relay.take(Time{1000 + vm}).size();
  }
  cr_assert_eq(passedOn, 2);
  cr_assert_not(relay.hasPending());
}

/// Guards against a span that leaves out the time for which a notice waits at the leader.
Test(ProcessNoticeRelay, spansCountFromTheTimeOfPassingOn) {
  ProcessNoticeRelay relay;
  const std::vector<ProcessNotice> notices{ended(20), {Key + 1, ProcessFact::IsCold, {3000}}};
  relay.receive(notices, Time{1000});
  cr_assert(relay.hasPending());
  const std::vector<ProcessNotice> out = relay.take(Time{1015});
  cr_assert_eq(out.size(), 2);
  cr_assert_eq(out[0].Span.Ms, 35);
  cr_assert_eq(out[1].Span.Ms, 2985);
}

/// Guards against a lost message that leaves VMs without the notice.
Test(ProcessNoticeRelay, noticeIsRepeatedAfterTheInterval) {
  ProcessNoticeRelay relay;
  cr_assert_eq(pass(relay, ended(10), Time{1000}).size(), 1);
  cr_assert_eq(pass(relay, ended(309), Time{1299}).size(), 0);
  cr_assert_eq(pass(relay, ended(310), Time{1300}).size(), 1);
  cr_assert_eq(pass(relay, warm(), Time{1310}).size(), 1);
  cr_assert_eq(pass(relay, warm(), Time{1609}).size(), 0);
  cr_assert_eq(pass(relay, warm(), Time{1610}).size(), 1);
}

/// Guards against late notices on the end of the process before that put a process in doubt which
/// has just answered, and against losing the notice of its own end.
Test(ProcessNoticeRelay, endRightAfterColdAnswerWaitsForItsRepetition) {
  ProcessNoticeRelay relay;
  cr_assert_eq(pass(relay, cold(3000), Time{1000}).size(), 1);
  cr_assert_eq(pass(relay, ended(200), Time{1100}).size(), 0);
  cr_assert_eq(pass(relay, ended(400), Time{1300}).size(), 1);
}

/// Guards against an end that is held back although the process had answered that it is warm.
Test(ProcessNoticeRelay, endAfterWarmAnswerIsPassedOnAtOnce) {
  ProcessNoticeRelay relay;
  cr_assert_eq(pass(relay, warm(), Time{1000}).size(), 1);
  cr_assert_eq(pass(relay, ended(5), Time{1005}).size(), 1);
}

/// Guards against an answer of the process before that ends the cold time of the current one.
Test(ProcessNoticeRelay, warmAnswerIsHeldBackDuringAColdTime) {
  ProcessNoticeRelay relay;
  cr_assert_eq(pass(relay, cold(3000), Time{1000}).size(), 1);
  cr_assert_eq(pass(relay, warm(), Time{1100}).size(), 0);
  cr_assert_eq(pass(relay, warm(), Time{3600}).size(), 0);
  cr_assert_eq(relay.current(Time{3600}).size(), 1);
  cr_assert_eq(pass(relay, warm(), Time{3601}).size(), 1);
}

/// Guards against a message for each answer on the same cold time, and against missing a later one.
Test(ProcessNoticeRelay, onlyOtherColdTimeIsPassedOn) {
  ProcessNoticeRelay relay;
  cr_assert_eq(pass(relay, cold(3000), Time{1000}).size(), 1);
  cr_assert_eq(pass(relay, cold(2800), Time{1500}).size(), 0);
  cr_assert_eq(pass(relay, cold(3000), Time{1500}).size(), 1);
}

/// Guards against a VM that joins during a cold time or doubt and floods the target, and against
/// notices that are kept without end.
Test(ProcessNoticeRelay, currentNoticesAreForAVmThatJoins) {
  ProcessNoticeRelay relay;
  cr_assert_eq(pass(relay, cold(9000), Time{1000}).size(), 1);
  const std::vector<ProcessNotice> others{{Key + 1, ProcessFact::MayHaveEnded, Duration{10}},
                                          {Key + 2, ProcessFact::IsWarm, Duration{0}}};
  relay.receive(others, Time{1000});
  (void)relay.take(Time{1000});
  const std::vector<ProcessNotice> current = relay.current(Time{2000});
  cr_assert_eq(current.size(), 2);
  for (const ProcessNotice &it : current)
    cr_assert_eq(it.Span.Ms, it.Target == Key ? 8000 : 1010);
  cr_assert(relay.current(Time{6001}).empty());
}

/// Guards against a leader that tells what it learned in an earlier term, and against one that
/// holds a notice back because it passed it on then.
Test(ProcessNoticeRelay, newTermStartsWithoutNotices) {
  ProcessNoticeRelay relay;
  cr_assert_eq(pass(relay, cold(3000), Time{1000}).size(), 1);
  relay.clear();
  cr_assert(relay.current(Time{1010}).empty());
  cr_assert_eq(pass(relay, cold(3000), Time{1010}).size(), 1);
}
