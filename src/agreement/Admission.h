#pragma once

#include "agreement/Replica.h"

#include <optional>

namespace briarspar::agreement {

/// Adds a voter to the group of a leader, after the removal of an older identity of the same VM:
/// each call does the next step that is due. Returns OK when it is a member already and
/// FailedPrecondition while another change is in progress or when the identity is an older one.
absl::Status admitVoter(Replica &leader, const VoterId &id, core::Time now);

/// Returns the voter to which one that does not lead passes a request to join: a VM with an empty
/// disk knows only its seeds, and none of them may lead. Nothing when no leader is known, or when
/// the request did not come from the VM that wants to join, so that it is passed on once only.
std::optional<core::VmId> joinForwardTarget(const std::optional<VoterId> &leader,
                                            const core::VmId &own, const core::VmId &from,
                                            const core::VmId &joiner);

} // namespace briarspar::agreement
