#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarspar::balance {

/// Bounds of a FairQueue.
struct FairQueueSettings {
  uint32_t ReservePermille = 30; ///< Share of the slots that the leading customer leaves free.
  size_t MaxWaiting = 4096;      ///< Requests that wait, all customers together.
  size_t MaxWaitingPerCustomer = 1024; ///< Requests of one customer that wait.
  uint32_t CreditRequests = 64;        ///< Unused share that a customer of weight 1 may catch up.
};

/// A request that waits for a slot.
struct QueuedRequest {
  uint64_t Handle = 0; ///< Chosen by the caller; unique among the waiting.
  core::CustomerId Customer;
  core::Time Deadline; ///< The request is dropped at this time.
};

/// Whether a request was queued.
struct PushResult {
  bool Queued = false;
  std::optional<uint64_t> Evicted; ///< Another request that was dropped to make room: not run.
};

/// Weighted fair queueing between customers. Every customer gets its share of the slots by weight;
/// a customer below its share is served before one above it, so a customer that sends several times
/// its rate delays mostly itself. Requests of one customer leave in order of arrival. Safe to call
/// from any thread.
///
/// One queue serves one pool. Count requests that find a free slot with passed(), so that the
/// shares include them.
class FairQueue {
public:
  explicit FairQueue(const FairQueueSettings &settings = {});

  /// Sets the weight of a customer. The default is 1; 0 counts as 1.
  void setWeight(const core::CustomerId &customer, uint32_t weight);

  /// Queues a request. When the queue is full, the newest request of the customer with the longest
  /// queue by weight makes room, unless that is the pushing customer.
  PushResult push(const QueuedRequest &request, core::Time now);

  /// Counts a request that was served without waiting.
  void recordImmediate(const core::CustomerId &customer);

  /// Returns the next request to serve, never one past its deadline. Call it while slots are free.
  /// A customer that is ahead of the others leaves the last few of the free slots to them;
  /// `totalSlots` counts the slots in use too. 0 for both turns this off.
  std::optional<QueuedRequest> pop(core::Time now, uint32_t freeSlots = 0, uint32_t totalSlots = 0);

  /// True when pop() would return nothing because the next request's customer leaves the free slots
  /// to others.
  bool isBlockedByReserve(uint32_t freeSlots, uint32_t totalSlots) const;

  /// Removes and returns the requests whose deadline has passed. They have not run.
  std::vector<QueuedRequest> expire(core::Time now);

  /// Removes a request whose caller has left. False when it is not waiting.
  bool remove(uint64_t handle);

  size_t size() const;

private:
  struct Flow {
    uint32_t Weight = 1;
    uint64_t NextTag = 0; ///< Start tag of the next request to be served.
    std::list<QueuedRequest> Queue;
  };

  using FlowMap = std::map<core::CustomerId, Flow>;
  struct Position {
    FlowMap::iterator Owner;
    std::list<QueuedRequest>::iterator Item;
  };

  FlowMap::iterator flowOf(const core::CustomerId &customer);
  void limitCredit(Flow &flow) const;
  void charge(Flow &flow);
  bool mustLeaveReserve(const Flow &flow, uint32_t freeSlots, uint32_t totalSlots) const;
  FlowMap::iterator longestFlow();
  void erase(uint64_t handle);
  void collectExpired(core::Time now);
  bool isFull() const { return ByHandle.size() >= Settings.MaxWaiting; }

  const FairQueueSettings Settings;
  mutable std::mutex Mutex;
  uint64_t VirtualTime = 0;
  FlowMap Flows;
  std::set<std::pair<uint64_t, core::CustomerId>> Ready; ///< Flows that wait, by start tag.
  std::unordered_map<uint64_t, Position> ByHandle;
  std::set<std::pair<int64_t, uint64_t>> ByDeadline;
  std::vector<QueuedRequest> Expired; ///< Returned by the next call of expire().
};

} // namespace briarspar::balance
