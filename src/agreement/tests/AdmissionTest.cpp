#include "agreement/Admission.h"

#include <criterion/criterion.h>

using namespace briarspar;
using namespace briarspar::agreement;
using namespace briarspar::core;

/// Guards against a voter with an empty disk that never joins again, because its seeds do not lead:
/// the next two lost disks then end the group. Guards also against requests that go round.
Test(Admission, aRequestToJoinReachesTheLeaderOnce) {
  const VmId own("own");
  const VmId joiner("joiner");
  const VoterId leader{VmId("leader"), Incarnation(1)};
  cr_assert_eq(joinForwardTarget(leader, own, joiner, joiner).value().Value, "leader");
  // Passed on already.
  cr_assert_not(joinForwardTarget(leader, own, VmId("other"), joiner).has_value());
  cr_assert_not(joinForwardTarget(std::nullopt, own, joiner, joiner).has_value());
  // A hint that is out of date.
  cr_assert_not(joinForwardTarget(VoterId{own, Incarnation(1)}, own, joiner, joiner).has_value());
  cr_assert_not(
      joinForwardTarget(VoterId{joiner, Incarnation(1)}, own, joiner, joiner).has_value());
}
