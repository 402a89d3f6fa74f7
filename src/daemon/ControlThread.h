#pragma once

#include "core/Clock.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <thread>

namespace briarspar::daemon {

/// The thread that owns all control state. It runs posted functions and a periodic tick.
class ControlThread {
public:
  ~ControlThread() { stop(); }

  asio::io_context &io() { return Io; }

  /// Starts the thread, which runs `tick` at the given interval.
  void start(core::Duration interval, std::function<void()> tick) {
    Interval = std::chrono::milliseconds(interval.Ms);
    OnTick = std::move(tick);
    arm();
    Worker = std::thread([this] { Io.run(); });
  }

  /// Runs a function on the thread asynchronously.
  void post(std::function<void()> function) { asio::post(Io, std::move(function)); }

  /// Runs a function on the thread and returns its result. Deadlocks if called on the thread
  /// itself.
  template <class F> auto call(F function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    asio::post(Io, [&task] { task(); });
    return result.get();
  }

  void stop() {
    Io.stop();
    if (Worker.joinable())
      Worker.join();
  }

private:
  void arm() {
    Timer.expires_after(Interval);
    Timer.async_wait([this](const asio::error_code &ec) {
      if (ec)
        return;
      OnTick();
      arm();
    });
  }

  asio::io_context Io;
  asio::steady_timer Timer{Io};
  std::chrono::milliseconds Interval{5};
  std::function<void()> OnTick;
  std::thread Worker;
};

} // namespace briarspar::daemon
