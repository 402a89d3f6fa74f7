#include "entry/testing/TargetProcessFixture.h"

#include <criterion/criterion.h>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;
using Fixture = entry::testing::TargetProcessFixture;

/// Guards against a target that is never used again because the process before said that it was
/// leaving and was gone from the next list.
Test(EndedProcess, itsLeavingEndsWithItWhenTheNextListLacksIt) {
  Fixture f;
  f.Table.recordLeaving(f.Id, f.Now);
  f.list(100, {}, /*isListed=*/false);
  f.list(200);
  cr_assert_not(f.isUnused());
}

/// Guards against other VMs that take the next process for loaded.
Test(EndedProcess, itsLoadIsNotReported) {
  Fixture f;
  f.Table.recordLoad(f.Id, {3, 0, 4}, f.Now);
  f.list(200);
  cr_assert(f.Table.takeLoads().empty());
}

/// Guards against a flood of a process that has told this VM that it is cold, because the one
/// before it had told another VM that it was not.
Test(EndedProcess, itsWarmAnswerToAnotherVmEndsNoColdTime) {
  Fixture f;
  f.Table.recordProbe(f.Id, ProbeResult::Passed, Duration{3000}, f.Now);
  f.Now = f.Now + Duration{20};
  f.apply(link::ProcessFact::IsWarm, 0);
  cr_assert(f.look().value().IsLimited);
}
