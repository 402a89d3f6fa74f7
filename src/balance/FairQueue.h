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

/// Limits of a FairQueue.
struct FairQueueSettings {
  uint32_t ReservePermille =
      30; ///< Share of the slots that customers at or above their share leave free.
  size_t MaxWaiting = 4096;            ///< Queued requests of all customers.
  size_t MaxWaitingPerCustomer = 1024; ///< Queued requests of one customer.
  uint32_t CreditRequests =
      64; ///< Unused share that a customer of weight 1 may accumulate, in requests.
};

/// A request that waits for a slot.
struct QueuedRequest {
  uint64_t Handle = 0; ///< Chosen by the caller; unique among the queued requests.
  core::CustomerId Customer;
  core::Time Deadline; ///< The request is dropped at this time.
};

/// Result of FairQueue::push().
struct PushResult {
  bool Queued = false;
  std::optional<uint64_t> Evicted; ///< Request dropped to make room. It has not run.
};

/// Weighted fair queueing between customers. Each customer gets a share of the slots in proportion
/// to its weight, and a customer below its share is served before one above it. A customer that
/// sends several times its rate therefore delays mostly its own requests. Requests of one customer
/// are served in order of arrival. Safe to call from any thread.
///
/// One queue serves one pool. Report requests that get a slot without queueing with
/// recordImmediate(), so that the shares include them.
class FairQueue {
public:
  explicit FairQueue(const FairQueueSettings &settings = {});

  /// Sets the weight of a customer. The default is 1; 0 is treated as 1.
  void setWeight(const core::CustomerId &customer, uint32_t weight);

  /// Queues a request. If the queue is full, evicts the newest request of the customer with the
  /// longest queue relative to its weight, unless that is the pushing customer.
  PushResult push(const QueuedRequest &request, core::Time now);

  /// Counts a request that was served without queueing.
  void recordImmediate(const core::CustomerId &customer);

  /// Returns the next request to serve, never one past its deadline. Call it while slots are free.
  /// A customer at or above its share does not get the last free slots (ReservePermille of
  /// `totalSlots`, which includes the slots in use). 0 for both arguments disables the reserve.
  std::optional<QueuedRequest> pop(core::Time now, uint32_t freeSlots = 0, uint32_t totalSlots = 0);

  /// Returns true if pop() would return nothing because the remaining free slots are reserved for
  /// customers below their share.
  bool isBlockedByReserve(uint32_t freeSlots, uint32_t totalSlots) const;

  /// Removes and returns the requests past their deadline. They have not run.
  std::vector<QueuedRequest> expire(core::Time now);

  /// Removes a request whose caller has disconnected. Returns false if it is not queued.
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
  std::set<std::pair<uint64_t, core::CustomerId>>
      Ready; ///< Flows with queued requests, by start tag.
  std::unordered_map<uint64_t, Position> ByHandle;
  std::set<std::pair<int64_t, uint64_t>> ByDeadline;
  std::vector<QueuedRequest> Expired; ///< Returned by the next call to expire().
};

} // namespace briarspar::balance
