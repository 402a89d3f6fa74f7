#pragma once

#include "absl/status/status.h"
#include "core/Clock.h"
#include "core/Event.h"

#include <asio/io_context.hpp>

#include <cstddef>

namespace briarspar::node {

struct EventLoopSettings {
  /// Exceptions within Window after which the loop ends, because the process can no longer do its
  /// job.
  size_t MaxErrors = 16;
  core::Duration Window{60'000};
};

/// Runs the handlers of the io_context until it is stopped or has no work left. An exception ends
/// only the handler that threw it and is logged: one unexpected message must not end the process,
/// with all requests that it serves. Returns Internal after too many exceptions.
absl::Status runEventLoop(asio::io_context &io, const core::Clock &clock, core::EventSink &events,
                          const EventLoopSettings &settings = {});

} // namespace briarspar::node
