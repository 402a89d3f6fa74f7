#pragma once

#include "absl/status/statusor.h"
#include "agreement/Messages.h"
#include "core/Event.h"

#include <string>
#include <vector>

namespace briarspar::agreement {

enum class Role : uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Outcome of one proposal: the state machine's answer, or an Unknown status if the replica lost
/// the leadership first. After Unknown the command may or may not take effect.
struct ProposalResult {
  core::LogIndex Index;
  absl::StatusOr<std::string> Answer;
};

struct RoleChange {
  Role NewRole = Role::Follower;
  core::Term InTerm;
};

/// Work that the embedder carries out after calls to a replica.
struct Actions {
  std::vector<Envelope> Messages; ///< To be sent; may be lost, delayed or duplicated.
  std::vector<ProposalResult> Results;
  std::vector<RoleChange> RoleChanges; ///< In the order in which they occurred.
  std::vector<core::Event> Events;     ///< To be logged.
};

} // namespace briarspar::agreement
