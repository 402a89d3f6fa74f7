#include "node/EventLoop.h"

#include <deque>
#include <exception>

namespace briarspar::node {

absl::Status runEventLoop(asio::io_context &io, const core::Clock &clock, core::EventSink &events,
                          const EventLoopSettings &settings) {
  std::deque<core::Time> errors;
  for (;;) {
    try {
      io.run();
      return absl::OkStatus();
    } catch (const std::exception &e) {
      events.emit({core::EventId::UnexpectedError, {{"reason", e.what()}}});
    }
    const core::Time now = clock.now();
    errors.push_back(now);
    while (now - errors.front() > settings.Window)
      errors.pop_front();
    if (errors.size() >= settings.MaxErrors)
      return absl::InternalError("too many unexpected errors");
  }
}

} // namespace briarspar::node
