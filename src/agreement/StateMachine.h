#pragma once

#include "absl/status/status.h"
#include "core/Ids.h"

#include <string>
#include <string_view>

namespace briarspar::agreement {

/// The replicated state. A Replica calls it on the embedder's thread, from within receive, tick and
/// take. Equal commands in equal order must give equal states and answers on every voter.
class StateMachine {
public:
  virtual ~StateMachine() = default;

  /// Applies one committed command. The result is returned to the proposer, if it is here. Indexes
  /// rise but are not contiguous, because some log entries carry no command.
  virtual std::string apply(core::LogIndex index, std::string_view command) = 0;

  /// Returns the whole state.
  virtual std::string snapshot() const = 0;

  /// Replaces the whole state with a snapshot. An error stops the replica.
  virtual absl::Status restore(std::string_view snapshot) = 0;
};

} // namespace briarspar::agreement
