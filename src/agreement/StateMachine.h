#pragma once

#include "absl/status/status.h"
#include "core/Ids.h"

#include <string>
#include <string_view>

namespace briarspar::agreement {

/// The replicated state machine. A Replica calls it on the embedder's thread, from within receive,
/// tick and takeActions. It must be deterministic: the same commands in the same order give the
/// same state and answers on every voter.
class StateMachine {
public:
  virtual ~StateMachine() = default;

  /// Applies one committed command. The returned answer is passed to the proposer if the proposal
  /// was made at this replica. Indexes increase but are not contiguous, because some log entries
  /// carry no command.
  virtual std::string apply(core::LogIndex index, std::string_view command) = 0;

  /// Returns the whole state.
  virtual std::string snapshot() const = 0;

  /// Replaces the whole state with a snapshot. An error stops the replica permanently.
  virtual absl::Status restore(std::string_view snapshot) = 0;
};

} // namespace briarspar::agreement
