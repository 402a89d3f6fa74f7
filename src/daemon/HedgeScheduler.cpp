#include "daemon/HedgeScheduler.h"

#include <chrono>

namespace briarspar::daemon {

HedgeScheduler::HedgeScheduler(const core::Clock &clock, size_t threads) : Clock(clock) {
  for (size_t n = 0; n < threads; ++n)
    Threads.emplace_back([this] { work(); });
}

HedgeScheduler::~HedgeScheduler() {
  {
    std::lock_guard<std::mutex> lock(Mutex);
    Stopping = true;
  }
  Idle.notify_all();
  Timer.notify_all();
  for (std::thread &thread : Threads)
    thread.join();
}

HedgeScheduler::Ticket HedgeScheduler::schedule(core::Time due, Task task) {
  std::lock_guard<std::mutex> lock(Mutex);
  Ticket ticket{due.Ms, ++Serial};
  Queue.emplace(ticket, std::move(task));
  // Most tasks are removed before they are due; waking a thread for each would cost more than the
  // hedges save.
  if (!HasTimer)
    Idle.notify_one();
  else if (due.Ms < NextDue)
    Timer.notify_one();
  return ticket;
}

void HedgeScheduler::remove(const Ticket &ticket) {
  std::lock_guard<std::mutex> lock(Mutex);
  Queue.erase(ticket);
}

void HedgeScheduler::work() {
  std::unique_lock<std::mutex> lock(Mutex);
  while (!Stopping) {
    if (Queue.empty() || HasTimer) {
      Idle.wait(lock);
      continue;
    }
    auto first = Queue.begin();
    const core::Duration left = core::Time{first->first.first} - Clock.now();
    if (left.Ms > 0) {
      HasTimer = true;
      NextDue = first->first.first;
      Timer.wait_for(lock, std::chrono::milliseconds(left.Ms));
      HasTimer = false;
      continue;
    }
    Task task = std::move(first->second);
    Queue.erase(first);
    if (!Queue.empty())
      Idle.notify_one();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace briarspar::daemon
