#include "agreement/Admission.h"

#include "agreement/Configuration.h"

namespace briarspar::agreement {

namespace {

const VoterId *identityOf(const std::set<VoterId> &members, const core::VmId &vm) {
  for (const VoterId &it : members)
    if (it.Vm == vm)
      return &it;
  return nullptr;
}

} // namespace

absl::Status admitVoter(Replica &leader, const VoterId &id, core::Time now) {
  const Configuration &members = leader.configuration();
  if (members.contains(id))
    return absl::OkStatus();
  const VoterId *older = identityOf(members.Voters, id.Vm);
  if (older == nullptr)
    older = identityOf(members.Learners, id.Vm);
  if (older == nullptr)
    return leader.addVoter(id, now);
  if (!(older->DataIncarnation < id.DataIncarnation))
    return absl::FailedPreconditionError("the identity is older");
  return leader.removeVoter(VoterId(*older), now);
}

std::optional<core::VmId> joinForwardTarget(const std::optional<VoterId> &leader,
                                            const core::VmId &own, const core::VmId &from,
                                            const core::VmId &joiner) {
  if (!leader || leader->Vm == own || leader->Vm == joiner || from != joiner)
    return std::nullopt;
  return leader->Vm;
}

} // namespace briarspar::agreement
