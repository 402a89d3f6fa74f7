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

/// Runs tasks at set times on a fixed number of threads. A task that finds all threads busy runs
/// late. Safe to call from any thread.
class HedgeScheduler {
public:
  using Task = std::function<void()>;
  using Ticket = std::pair<int64_t, uint64_t>; ///< Due time in ms and a serial number.

  /// The clock must outlive the pool.
  HedgeScheduler(const core::Clock &clock, size_t threads);

  /// Drops the tasks that have not started and waits for those that have.
  ~HedgeScheduler();

  Ticket schedule(core::Time due, Task task);

  /// Drops a task that has not started.
  void remove(const Ticket &ticket);

private:
  void work();

  const core::Clock &Clock;
  std::mutex Mutex;
  std::condition_variable Idle;  ///< Threads without a task.
  std::condition_variable Timer; ///< The one thread that waits for the next due time.
  std::map<Ticket, Task> Queue;
  uint64_t Serial = 0;
  bool HasTimer = false;
  int64_t NextDue = 0;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace briarspar::daemon
