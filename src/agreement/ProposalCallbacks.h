#pragma once

#include "absl/types/span.h"
#include "agreement/Actions.h"

#include <functional>
#include <map>
#include <string>

namespace briarspar::agreement {

/// What waits for the results of proposals at one replica. Not thread-safe.
class ProposalCallbacks {
public:
  /// Receives the state machine's answer, or why the command has no known outcome.
  using Callback = std::function<void(const absl::StatusOr<std::string> &)>;

  /// Has `callback` called with the result of the proposal at `index`.
  void add(core::LogIndex index, Callback callback) { Callbacks[index] = std::move(callback); }

  /// Calls what waits for the results, each once. A call may add further waits.
  void complete(absl::Span<const ProposalResult> results);

private:
  std::map<core::LogIndex, Callback> Callbacks;
};

} // namespace briarspar::agreement
