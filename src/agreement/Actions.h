#pragma once

#include "absl/status/statusor.h"
#include "agreement/Messages.h"
#include "core/Event.h"

#include <string>
#include <vector>

namespace briarspar::agreement {

enum class Role : uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Outcome of one proposal: the state machine's answer, or Unknown when the replica stopped being
/// leader first. After Unknown the command may or may not take effect.
struct ProposalResult {
  core::LogIndex Index;
  absl::StatusOr<std::string> Answer;
};

struct RoleChange {
  Role NewRole = Role::Follower;
  core::Term InTerm;
};

/// What the embedder has to do after a call to the replica.
struct Actions {
  std::vector<Envelope> Messages; ///< To send; loss, delay and duplication are tolerated.
  std::vector<ProposalResult> Results;
  std::vector<RoleChange> RoleChanges; ///< In order.
  std::vector<core::Event> Events;     ///< To log.
};

} // namespace briarspar::agreement
