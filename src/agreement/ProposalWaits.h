#pragma once

#include "absl/types/span.h"
#include "agreement/Actions.h"

#include <functional>
#include <map>
#include <string>

namespace briarspar::agreement {

/// What waits for the results of proposals at one replica. Not thread-safe.
class ProposalWaits {
public:
  /// Receives the state machine's answer, or why the command has no known outcome.
  using Done = std::function<void(const absl::StatusOr<std::string> &)>;

  /// Has `done` called with the result of the proposal at `index`.
  void add(core::LogIndex index, Done done) { Waiting[index] = std::move(done); }

  /// Calls what waits for the results, each once. A call may add further waits.
  void settle(absl::Span<const ProposalResult> results);

private:
  std::map<core::LogIndex, Done> Waiting;
};

} // namespace briarspar::agreement
