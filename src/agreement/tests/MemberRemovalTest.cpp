#include "agreement/MemberRemoval.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace briarspar::agreement;
using namespace briarspar::core;

namespace {

const MemberRemovalSettings Settings{2, Duration{2000}};

/// Voters v0, v1, ... with the given silences in ms.
std::vector<MemberContact> voters(const std::vector<int64_t> &silences) {
  std::vector<MemberContact> out;
  for (int64_t it : silences)
    out.push_back({{VmId("v" + std::to_string(out.size())), Incarnation(1)}, true, Duration{it}});
  return out;
}

std::string selected(const std::vector<MemberContact> &members) {
  std::optional<VoterId> id = selectRemoval(members, Settings);
  return id ? id->Vm.Value : "";
}

} // namespace

/// Guards against a replaced voter that stays when two were replaced at a time, which makes the
/// number of voters odd.
Test(MemberRemoval, replacedVotersAreRemovedWhateverTheirNumber) {
  cr_assert_eq(selected(voters({0, 0, 0, 2500, 0, 0})), "v3");
  cr_assert_eq(selected(voters({0, 0, 0, 2500, 4500, 0, 0})), "v4");
}

/// Guards against a group that shrinks while VMs are only cut off: the loss of two disks later
/// would lose what was acknowledged.
Test(MemberRemoval, groupOfTheRequiredSizeKeepsSilentVoters) {
  cr_assert_eq(selected(voters({0, 0, 0, 9000, 9000})), "");
  cr_assert_eq(selected(voters({0, 0, 9000})), "");
}

/// Guards against a removal after which the voters that are heard are no majority.
Test(MemberRemoval, voterIsKeptWhereTheRestWouldBeNoMajority) {
  cr_assert_eq(selected(voters({0, 0, 0, 3000, 3000, 3000, 3000})), "");
}

/// Guards against a learner that stops before it has caught up and keeps all others out of the
/// group.
Test(MemberRemoval, silentLearnerIsRemoved) {
  std::vector<MemberContact> members = voters({0, 0, 0, 9000, 9000});
  members.push_back({{VmId("l"), Incarnation(2)}, false, Duration{2000}});
  cr_assert_eq(selected(members), "l");
  members.back().Silence = Duration{100};
  cr_assert_eq(selected(members), "");
}
