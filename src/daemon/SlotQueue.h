#pragma once

#include "absl/types/span.h"
#include "balance/FairQueue.h"
#include "balance/SlotHolder.h"
#include "balance/TargetChooser.h"
#include "core/Clock.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace briarspar::daemon {

/// Lets traffic threads wait for a target with a free slot, in the order of weighted fair queueing
/// between customers. Every member is safe to call from any thread.
class SlotQueue {
public:
  /// The references must outlive the queue.
  SlotQueue(balance::TargetChooser &chooser, balance::SlotHolder &slots, const core::Clock &clock)
      : Chooser(chooser), Slots(slots), Clock(clock) {}

  /// Returns a target whose slot has been acquired; nothing when the deadline passed or the queue
  /// is full. Blocks until then.
  std::optional<balance::Choice> acquire(const core::CustomerId &customer,
                                         const balance::PoolId &pool, core::Time deadline);

  /// Returns a target other than `exclude`, without waiting and only when nobody waits.
  std::optional<balance::Choice> tryAcquire(const balance::PoolId &pool,
                                            absl::Span<const core::TargetId> exclude);

  /// Gives a slot back and hands it to the next waiting request.
  void release(const balance::PoolId &pool, const core::TargetId &target);

  /// Hands out slots after the limits, the targets or the lease changed.
  void onCapacityChange();

  /// Requests that wait for a slot of the pool.
  size_t waiting(const balance::PoolId &pool) { return poolOf(pool).Queue.size(); }

  void setWeight(const core::CustomerId &customer, uint32_t weight);

private:
  struct Waiter {
    std::condition_variable Ready;
    bool Ended = false; ///< Evicted or served.
    std::optional<balance::Choice> Served;
  };

  struct Pool {
    std::mutex Mutex;
    balance::FairQueue Queue;
    std::unordered_map<uint64_t, Waiter *> Waiters;
    uint64_t LastHandle = 0;
  };

  Pool &poolOf(const balance::PoolId &id);
  void serve(const balance::PoolId &id, Pool &pool);
  std::optional<balance::Choice> wait(const balance::PoolId &id, Pool &pool, uint64_t handle,
                                      Waiter &waiter, core::Time deadline,
                                      std::unique_lock<std::mutex> &lock);

  balance::TargetChooser &Chooser;
  balance::SlotHolder &Slots;
  const core::Clock &Clock;
  std::mutex Mutex; ///< Guards the maps, not the pools.
  std::map<balance::PoolId, std::unique_ptr<Pool>> Pools;
  std::map<core::CustomerId, uint32_t> Weights;
};

} // namespace briarspar::daemon
