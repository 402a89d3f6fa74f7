#pragma once

#include "agreement/Replica.h"

#include <optional>

namespace briarspar::agreement {

/// Adds a voter to the group, removing an older identity of the same VM first. Each call starts the
/// next step that is due. Returns OK when `id` is already a member, and FailedPrecondition while
/// another change is in progress or when a newer identity of the VM is a member.
absl::Status admitVoter(Replica &leader, const VoterId &id, core::Time now);

/// Returns the VM to which a non-leader forwards a join request: a VM with an empty disk knows only
/// its seeds, and none of them may be the leader. Returns nothing when no other leader is known, or
/// when the request did not come from the joining VM itself, so that it is forwarded at most once.
std::optional<core::VmId> joinForwardTarget(const std::optional<VoterId> &leader,
                                            const core::VmId &own, const core::VmId &from,
                                            const core::VmId &joiner);

} // namespace briarspar::agreement
