#pragma once

#include "core/Clock.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace briarspar::daemon {

/// Counts events on the control thread and lets traffic threads wait for the next one. Thread-safe.
class EventCounter {
public:
  uint64_t current() const {
    std::lock_guard<std::mutex> lock(Mutex);
    return Count;
  }

  void signal() {
    std::lock_guard<std::mutex> lock(Mutex);
    ++Count;
    Changed.notify_all();
  }

  /// Raises the count to `count` if it is lower.
  void raiseTo(uint64_t count) {
    std::lock_guard<std::mutex> lock(Mutex);
    if (count <= Count)
      return;
    Count = count;
    Changed.notify_all();
  }

  /// Blocks until the count exceeds `seen` or `limit` has elapsed. Returns false on timeout.
  bool waitAfter(uint64_t seen, core::Duration limit) {
    std::unique_lock<std::mutex> lock(Mutex);
    return Changed.wait_for(lock, std::chrono::milliseconds(limit.Ms),
                            [&] { return Count > seen; });
  }

private:
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  uint64_t Count = 0;
};

} // namespace briarspar::daemon
