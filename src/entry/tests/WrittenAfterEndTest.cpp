#include "entry/testing/PoolFixture.h"

#include <criterion/criterion.h>

using namespace briarspar;
using namespace briarspar::entry;
using OpenFixture = entry::testing::PoolFixture;

/// Guards against an end that nobody notices because a request was written before it was read.
Test(TargetPool, endThatAWriteFindsIsTold) {
  OpenFixture f;
  auto it = f.open("a");
  f.answer(it, "a");
  f.reset(it);
  cr_assert_eq(f.Pool.acquire(f.Host, f.Port, f.needs("b", std::nullopt)), it.Own);
  f.start(*it.Own, "b");
  f.runUntilEnded(it);
  cr_assert_eq(f.Ends.size(), 1, "%zu", f.Ends.size());
}
