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

/// Queue of traffic threads that wait for a target with a free slot, ordered by weighted fair
/// queueing between customers. All members are thread-safe.
class SlotQueue {
public:
  /// The references must outlive the queue.
  SlotQueue(balance::TargetChooser &chooser, balance::SlotHolder &slots, const core::Clock &clock)
      : Chooser(chooser), Slots(slots), Clock(clock) {}

  /// Acquires a slot and returns its target, or nothing if the deadline passes or the queue is
  /// full. Blocks.
  std::optional<balance::Choice> acquire(const core::CustomerId &customer,
                                         const balance::PoolId &pool, core::Time deadline);

  /// Acquires a slot at a target that is not in `exclude`. Does not block, and returns nothing if
  /// other requests are waiting.
  std::optional<balance::Choice> tryAcquire(const balance::PoolId &pool,
                                            absl::Span<const core::TargetId> exclude);

  /// Releases a slot and passes it to the next waiting request.
  void release(const balance::PoolId &pool, const core::TargetId &target);

  /// Serves waiting requests after a change of the limits, the targets or the lease.
  void onCapacityChange();

  /// Returns the number of requests that wait for a slot of the pool.
  size_t waiting(const balance::PoolId &pool) { return poolOf(pool).Queue.size(); }

  void setWeight(const core::CustomerId &customer, uint32_t weight);

private:
  struct Waiter {
    std::condition_variable Ready;
    bool Ended = false; ///< True once evicted or served.
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
  std::mutex Mutex; ///< Protects Pools and Weights, not the pools themselves.
  std::map<balance::PoolId, std::unique_ptr<Pool>> Pools;
  std::map<core::CustomerId, uint32_t> Weights;
};

} // namespace briarspar::daemon
