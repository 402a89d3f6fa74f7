#include "daemon/SlotQueue.h"

#include <chrono>

namespace briarspar::daemon {

SlotQueue::Pool &SlotQueue::poolOf(const balance::PoolId &id) {
  std::lock_guard<std::mutex> lock(Mutex);
  std::unique_ptr<Pool> &pool = Pools[id];
  if (!pool) {
    pool = std::make_unique<Pool>();
    for (const auto &[customer, weight] : Weights)
      pool->Queue.setWeight(customer, weight);
  }
  return *pool;
}

void SlotQueue::setWeight(const core::CustomerId &customer, uint32_t weight) {
  std::lock_guard<std::mutex> lock(Mutex);
  uint32_t &known = Weights[customer];
  if (known == weight)
    return;
  known = weight;
  for (auto &[id, pool] : Pools)
    pool->Queue.setWeight(customer, weight);
}

std::optional<balance::Choice> SlotQueue::acquire(const core::CustomerId &customer,
                                                  const balance::PoolId &id, core::Time deadline) {
  Pool &pool = poolOf(id);
  std::unique_lock<std::mutex> lock(pool.Mutex);
  Waiter waiter;
  uint64_t handle = ++pool.LastHandle;
  balance::PushResult pushed = pool.Queue.push({handle, customer, deadline}, Clock.now());
  if (pushed.Evicted) {
    auto it = pool.Waiters.find(*pushed.Evicted);
    if (it != pool.Waiters.end()) {
      it->second->Ended = true;
      it->second->Ready.notify_one();
      pool.Waiters.erase(it);
    }
  }
  if (!pushed.Queued)
    return std::nullopt;
  pool.Waiters[handle] = &waiter;
  // A request that finds a free slot passes through the queue as well, so that the customer that is
  // ahead of the others leaves them the last free slots.
  serve(id, pool);
  if (waiter.Ended)
    return waiter.Served;
  return wait(id, pool, handle, waiter, deadline, lock);
}

std::optional<balance::Choice> SlotQueue::wait(const balance::PoolId &id, Pool &pool,
                                               uint64_t handle, Waiter &waiter, core::Time deadline,
                                               std::unique_lock<std::mutex> &lock) {
  Slots.setWaiting(id, static_cast<uint32_t>(pool.Queue.size()));
  while (!waiter.Ended) {
    core::Duration left = deadline - Clock.now();
    if (left.Ms <= 0)
      break;
    waiter.Ready.wait_for(lock, std::chrono::milliseconds(left.Ms));
  }
  pool.Waiters.erase(handle);
  pool.Queue.remove(handle);
  Slots.setWaiting(id, static_cast<uint32_t>(pool.Queue.size()));
  return waiter.Served;
}

std::optional<balance::Choice> SlotQueue::tryAcquire(const balance::PoolId &id,
                                                     absl::Span<const core::TargetId> exclude) {
  Pool &pool = poolOf(id);
  std::lock_guard<std::mutex> lock(pool.Mutex);
  if (pool.Queue.size() != 0)
    return std::nullopt;
  return Chooser.choose({id, exclude}, Clock.now());
}

void SlotQueue::release(const balance::PoolId &id, const core::TargetId &target) {
  Slots.release(target);
  Pool &pool = poolOf(id);
  std::lock_guard<std::mutex> lock(pool.Mutex);
  serve(id, pool);
}

void SlotQueue::onCapacityChange() {
  std::vector<std::pair<balance::PoolId, Pool *>> pools;
  {
    std::lock_guard<std::mutex> lock(Mutex);
    for (auto &[id, pool] : Pools)
      pools.emplace_back(id, pool.get());
  }
  for (auto &[id, pool] : pools) {
    std::lock_guard<std::mutex> lock(pool->Mutex);
    serve(id, *pool);
  }
}

void SlotQueue::serve(const balance::PoolId &id, Pool &pool) {
  while (pool.Queue.size() > 0) {
    const balance::SlotHolder::PoolSlots slots = Slots.poolSlots(id);
    if (pool.Queue.isBlockedByReserve(slots.Free, slots.Total))
      return;
    std::optional<balance::Choice> choice = Chooser.choose({id, {}}, Clock.now());
    if (!choice)
      return;
    std::optional<balance::QueuedRequest> next =
        pool.Queue.pop(Clock.now(), slots.Free, slots.Total);
    auto it = next ? pool.Waiters.find(next->Handle) : pool.Waiters.end();
    if (it == pool.Waiters.end()) {
      // The waiting requests are past their deadline; nobody takes the slot.
      Slots.release(choice->Target);
      Chooser.record({choice->Target, balance::Outcome::Cancelled, {}}, Clock.now());
      if (!next)
        return;
      continue;
    }
    it->second->Served = choice;
    it->second->Ended = true;
    it->second->Ready.notify_one();
    pool.Waiters.erase(it);
  }
}

} // namespace briarspar::daemon
