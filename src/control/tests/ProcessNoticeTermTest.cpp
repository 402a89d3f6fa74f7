#include "control/ProcessNoticeRelay.h"

#include <criterion/criterion.h>

#include <vector>

using namespace briarspar::core;
using namespace briarspar::control;
using namespace briarspar::link;

/// Guards against notices that are lost with an exception, or are of an earlier term, because one
/// waits while the next term starts.
Test(ProcessNoticeRelay, newTermStartsWithoutWaitingNotices) {
  ProcessNoticeRelay relay;
  const std::vector<ProcessNotice> notices{{77, ProcessFact::IsCold, Duration{3000}}};
  relay.receive(notices, Time{1000});
  cr_assert(relay.hasPending());
  relay.clear();
  cr_assert(relay.take(Time{1010}).empty());
  cr_assert_not(relay.hasPending());
}
