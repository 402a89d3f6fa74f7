#pragma once

#include "config/Command.h"
#include "core/Clock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace briarspar::daemon {

/// Tracks operators' commands whose outcome is pending. A command is resent until its outcome
/// arrives; commands are idempotent by their ids. Used on the control thread only.
class CommandRelay {
public:
  /// Receives the outcome, or DeadlineExceeded if it does not arrive in time.
  using Done = std::function<void(const absl::StatusOr<config::Outcome> &)>;

  void start(const config::Command &command, core::Time deadline, core::Time now, Done done);

  /// Returns the encoded commands to send now. Fails and removes those past their deadline.
  std::vector<std::string> due(core::Time now);

  /// Completes a command with its outcome. Unknown and repeated ids are ignored.
  void finish(const std::string &id, const config::Outcome &outcome);

private:
  struct Waiting {
    std::string Encoded;
    core::Time Deadline;
    core::Time NextSend;
    std::vector<Done> Callers;
  };

  std::map<std::string, Waiting> Commands;
};

} // namespace briarspar::daemon
