#pragma once

#include "absl/types/span.h"
#include "agreement/Actions.h"

#include <functional>
#include <map>
#include <string>

namespace briarspar::agreement {

/// The callbacks that wait for the results of proposals at one replica. Not thread-safe.
class ProposalCallbacks {
public:
  /// Receives the state machine's answer, or a status when the outcome of the command is unknown.
  using Callback = std::function<void(const absl::StatusOr<std::string> &)>;

  /// Registers `callback` for the result of the proposal at `index`.
  void add(core::LogIndex index, Callback callback) { Callbacks[index] = std::move(callback); }

  /// Calls and removes the callbacks of `results`. A callback may add further ones.
  void complete(absl::Span<const ProposalResult> results);

private:
  std::map<core::LogIndex, Callback> Callbacks;
};

} // namespace briarspar::agreement
