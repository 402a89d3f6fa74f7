#pragma once

#include "config/Command.h"
#include "core/Clock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace briarspar::daemon {

/// Operators' commands that wait for their outcome. A command is sent again until its outcome
/// arrives; the command id makes that safe. Control thread only.
class CommandRelay {
public:
  /// Receives the outcome, or DeadlineExceeded when it is not known in time.
  using Done = std::function<void(const absl::StatusOr<config::Outcome> &)>;

  void start(const config::Command &command, core::Time deadline, core::Time now, Done done);

  /// Returns the encoded commands to send now, and ends those past their deadline.
  std::vector<std::string> due(core::Time now);

  /// Takes the outcome of a command. Unknown and repeated ids are ignored.
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
