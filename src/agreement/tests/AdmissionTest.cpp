#include "agreement/Admission.h"

#include <criterion/criterion.h>

using namespace briarspar;
using namespace briarspar::agreement;
using namespace briarspar::core;

/// Guards against a voter with an empty disk that cannot rejoin because none of its seeds is the
/// leader; after two more lost disks the group would have no quorum. Also guards against join
/// requests that are forwarded in a loop.
Test(Admission, joinRequestIsForwardedToTheLeaderOnce) {
  const VmId own("own");
  const VmId joiner("joiner");
  const VoterId leader{VmId("leader"), Incarnation(1)};
  cr_assert_eq(joinForwardTarget(leader, own, joiner, joiner).value().Value, "leader");
  // Already forwarded once.
  cr_assert_not(joinForwardTarget(leader, own, VmId("other"), joiner).has_value());
  cr_assert_not(joinForwardTarget(std::nullopt, own, joiner, joiner).has_value());
  // Stale leader hint.
  cr_assert_not(joinForwardTarget(VoterId{own, Incarnation(1)}, own, joiner, joiner).has_value());
  cr_assert_not(
      joinForwardTarget(VoterId{joiner, Incarnation(1)}, own, joiner, joiner).has_value());
}
