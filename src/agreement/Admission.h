#pragma once

#include "agreement/Replica.h"

namespace briarspar::agreement {

/// Adds a voter to the group of a leader, after the removal of an older identity of the same VM:
/// each call does the next step that is due. Returns OK when it is a member already and
/// FailedPrecondition while another change is in progress or when the identity is an older one.
absl::Status admitVoter(Replica &leader, const VoterId &id, core::Time now);

} // namespace briarspar::agreement
