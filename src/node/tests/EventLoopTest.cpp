#include "node/EventLoop.h"

#include <asio/post.hpp>
#include <criterion/criterion.h>

#include <functional>
#include <stdexcept>

using namespace briarspar;
using namespace briarspar::node;

namespace {

struct EventCounter final : core::EventSink {
  void emit(core::Event) override { ++Events; }
  size_t Events = 0;
};

struct Fixture {
  /// Posts handlers that throw, each `gap` after the previous one.
  void throwRepeatedly(size_t count, core::Duration gap) {
    for (size_t n = 0; n < count; ++n)
      asio::post(Io, [this, gap] {
        Clock.advance(gap);
        throw std::runtime_error("unexpected");
      });
  }

  asio::io_context Io;
  core::ManualClock Clock;
  EventCounter Events;
};

} // namespace

/// Guards against one unexpected exception that ends the process.
Test(EventLoop, exceptionEndsOnlyItsHandler) {
  Fixture f;
  f.throwRepeatedly(3, {1});
  int handled = 0;
  asio::post(f.Io, [&] { ++handled; });
  cr_assert(runEventLoop(f.Io, f.Clock, f.Events).ok());
  cr_assert_eq(handled, 1);
  cr_assert_eq(f.Events.Events, 3);
}

/// Guards against a process that fails all the time and never restarts.
Test(EventLoop, manyExceptionsEndTheLoop) {
  Fixture f;
  EventLoopSettings settings;
  f.throwRepeatedly(settings.MaxErrors, {1});
  cr_assert(absl::IsInternal(runEventLoop(f.Io, f.Clock, f.Events, settings)));
}

/// Guards against ending a process for rare exceptions.
Test(EventLoop, rareExceptionsDoNotAddUp) {
  Fixture f;
  EventLoopSettings settings;
  f.throwRepeatedly(3 * settings.MaxErrors, settings.Window);
  cr_assert(runEventLoop(f.Io, f.Clock, f.Events, settings).ok());
}
