#include "agreement/MembershipChange.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <string>

namespace briarspar::agreement {

namespace {

std::string text(const VoterId &id) {
  return absl::StrCat(id.Vm.Value, "/", id.DataIncarnation.Value);
}

bool hasVm(const std::set<VoterId> &ids, const core::VmId &vm) {
  return std::any_of(ids.begin(), ids.end(), [&](const VoterId &id) { return id.Vm == vm; });
}

absl::Status checkNewIdentity(const Configuration &members, const VoterId &id) {
  if (members.contains(id))
    return absl::AlreadyExistsError(absl::StrCat(text(id), " is a member"));
  if (hasVm(members.Voters, id.Vm) || hasVm(members.Learners, id.Vm))
    return absl::FailedPreconditionError(
        absl::StrCat("an older identity of ", id.Vm.Value, " is still a member"));
  auto newest = members.NewestIncarnations.find(id.Vm);
  if (newest != members.NewestIncarnations.end() && id.DataIncarnation <= newest->second)
    return absl::InvalidArgumentError(absl::StrCat(text(id), " is not newer than ",
                                                   newest->second.Value, ", which was a member"));
  return absl::OkStatus();
}

} // namespace

absl::Status MembershipChange::readyForChange() const {
  if (!State.isLeader())
    return absl::UnavailableError("not the leader");
  // Without an own committed entry, a change by an earlier leader may still take effect.
  if (!Leader.hasCommittedInCurrentTerm())
    return absl::FailedPreconditionError("no entry of this leader's term is committed yet");
  if (State.Log.configurationIndex() > State.Commit)
    return absl::FailedPreconditionError("the previous change is not committed yet");
  return absl::OkStatus();
}

absl::Status MembershipChange::addVoter(const VoterId &id) {
  if (absl::Status status = readyForChange(); !status.ok())
    return status;
  Configuration next = State.Log.configuration();
  if (absl::Status status = checkNewIdentity(next, id); !status.ok())
    return status;
  if (!next.Learners.empty())
    return absl::FailedPreconditionError(
        absl::StrCat(text(*next.Learners.begin()), " is still a learner"));
  next.Learners.insert(id);
  next.NewestIncarnations[id.Vm] = id.DataIncarnation;
  change(next);
  return absl::OkStatus();
}

absl::Status MembershipChange::removeVoter(const VoterId &id) {
  if (absl::Status status = readyForChange(); !status.ok())
    return status;
  Configuration next = State.Log.configuration();
  if (!next.contains(id))
    return absl::NotFoundError(absl::StrCat(text(id), " is not a member"));
  next.Voters.erase(id);
  next.Learners.erase(id);
  if (next.Voters.empty())
    return absl::FailedPreconditionError("the last voter cannot be removed");
  change(next);
  return absl::OkStatus();
}

void MembershipChange::promoteLearner() {
  if (!readyForChange().ok() || State.Log.configuration().Learners.empty())
    return;
  Configuration next = State.Log.configuration();
  VoterId id = *next.Learners.begin();
  if (!Leader.isCaughtUp(id))
    return;
  next.Learners.erase(id);
  next.Voters.insert(id);
  change(next);
}

void MembershipChange::change(const Configuration &next) {
  State.appendInCurrentTerm(EntryKind::Configuration, encodeConfiguration(next));
  Leader.refreshPeers();
}

} // namespace briarspar::agreement
