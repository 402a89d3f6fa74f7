#include "discovery/TargetList.h"

#include <criterion/criterion.h>

#include <vector>

using namespace briarspar::core;
using namespace briarspar::discovery;

/// Guards against a process that gets no requests because one that ran under its id before is still
/// listed as draining.
Test(TargetList, drainingOfAnEndedProcessIsIgnored) {
  Target ended;
  ended.Id = TargetId("a");
  ended.Process = Incarnation(100);
  ended.Draining = true;
  Target current = ended;
  current.Process = Incarnation(200);
  current.Draining = false;
  TargetList list;
  list.startEpoch(1);
  list.update({ended, current}, Time{});
  cr_assert_not(list.updateDraining(std::vector<Target>{ended}));
  cr_assert_not(list.targets().at(TargetId("a")).Draining);
}
