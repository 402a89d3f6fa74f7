#include "daemon/CommandRelay.h"

#include "absl/status/status.h"

#include <algorithm>

namespace briarspar::daemon {

namespace {

/// A commit takes at most two round trips between regions, so a message without an outcome by then
/// is assumed lost.
constexpr core::Duration ResendInterval{250};

} // namespace

void CommandRelay::start(const config::Command &command, core::Time deadline, core::Time now,
                         Done done) {
  Waiting &waiting = Commands[command.Id];
  if (waiting.Callers.empty()) {
    waiting.Encoded = config::encode(command);
    waiting.NextSend = now;
  }
  waiting.Deadline = std::max(waiting.Deadline, deadline);
  waiting.Callers.push_back(std::move(done));
}

std::vector<std::string> CommandRelay::due(core::Time now) {
  std::vector<std::string> out;
  std::vector<Done> expired;
  for (auto it = Commands.begin(); it != Commands.end();) {
    Waiting &waiting = it->second;
    if (now >= waiting.Deadline) {
      expired.insert(expired.end(), waiting.Callers.begin(), waiting.Callers.end());
      it = Commands.erase(it);
      continue;
    }
    if (now >= waiting.NextSend) {
      out.push_back(waiting.Encoded);
      waiting.NextSend = now + ResendInterval;
    }
    ++it;
  }
  for (const Done &done : expired)
    done(absl::DeadlineExceededError("the outcome of the command is not known"));
  return out;
}

void CommandRelay::finish(const std::string &id, const config::Outcome &outcome) {
  auto it = Commands.find(id);
  if (it == Commands.end())
    return;
  std::vector<Done> callers = std::move(it->second.Callers);
  Commands.erase(it);
  for (const Done &done : callers)
    done(outcome);
}

} // namespace briarspar::daemon
