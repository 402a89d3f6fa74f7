#pragma once

#include "core/Clock.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace briarspar::daemon {

/// Runs tasks at given times on a fixed number of threads. A task runs late if all threads are
/// busy. Thread-safe.
class HedgeScheduler {
public:
  using Task = std::function<void()>;
  using Ticket = std::pair<int64_t, uint64_t>; ///< Due time in ms and serial number.

  /// The clock must outlive the pool.
  HedgeScheduler(const core::Clock &clock, size_t threads);

  /// Discards the tasks that have not started and waits for the others to finish.
  ~HedgeScheduler();

  Ticket schedule(core::Time due, Task task);

  /// Removes a task if it has not started.
  void remove(const Ticket &ticket);

private:
  void work();

  const core::Clock &Clock;
  std::mutex Mutex;
  std::condition_variable Idle;  ///< Signals threads that have no task.
  std::condition_variable Timer; ///< Signals the thread that waits for the next due time.
  std::map<Ticket, Task> Queue;
  uint64_t Serial = 0;
  bool HasTimer = false;
  int64_t NextDue = 0;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace briarspar::daemon
