#include "balance/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace briarspar::balance {

using core::CustomerId;
using core::Time;

namespace {

/// Virtual time charged for one request of a customer of weight 1.
constexpr uint64_t RequestCost = uint64_t{1} << 20;

} // namespace

FairQueue::FairQueue(const FairQueueSettings &settings) : Settings(settings) {}

void FairQueue::setWeight(const CustomerId &customer, uint32_t weight) {
  std::lock_guard<std::mutex> lock(Mutex);
  flowOf(customer)->second.Weight = std::max(weight, 1U);
}

FairQueue::FlowMap::iterator FairQueue::flowOf(const CustomerId &customer) {
  return Flows.try_emplace(customer).first;
}

/// A customer that used less than its share has a start tag behind the virtual time and is served
/// first until it has caught up. The lag is bounded, so that a customer cannot block the others
/// after a long idle time.
void FairQueue::limitCredit(Flow &flow) const {
  const uint64_t credit = Settings.CreditRequests * RequestCost;
  if (VirtualTime > credit)
    flow.NextTag = std::max(flow.NextTag, VirtualTime - credit);
}

void FairQueue::charge(Flow &flow) {
  VirtualTime = std::max(VirtualTime, flow.NextTag);
  flow.NextTag += RequestCost / flow.Weight;
}

/// While all slots are in use, every request waits for one to be released, even if its customer is
/// far below its share. A few reserved slots avoid this wait for customers below their share.
bool FairQueue::mustLeaveReserve(const Flow &flow, uint32_t freeSlots, uint32_t totalSlots) const {
  // For a small number of slots the reserve rounds down to 0, so that a single customer is always
  // served.
  const uint64_t reserve = uint64_t{totalSlots} * Settings.ReservePermille / 1000;
  return freeSlots <= reserve && reserve != 0 && flow.NextTag >= VirtualTime;
}

PushResult FairQueue::push(const QueuedRequest &request, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  collectExpired(now);
  auto it = flowOf(request.Customer);
  PushResult result;
  if (it->second.Queue.size() >= Settings.MaxWaitingPerCustomer || request.Deadline <= now)
    return result;
  if (isFull()) {
    auto longest = longestFlow();
    if (longest == Flows.end() || longest == it)
      return result;
    result.Evicted = longest->second.Queue.back().Handle;
    erase(*result.Evicted);
  }
  Flow &flow = it->second;
  if (flow.Queue.empty()) {
    limitCredit(flow);
    Ready.insert({flow.NextTag, it->first});
  }
  flow.Queue.push_back(request);
  const bool isNew =
      ByHandle.emplace(request.Handle, Position{it, std::prev(flow.Queue.end())}).second;
  assert(isNew && "handles are unique among the queued requests");
  (void)isNew;
  ByDeadline.insert({request.Deadline.Ms, request.Handle});
  result.Queued = true;
  return result;
}

void FairQueue::recordImmediate(const CustomerId &customer) {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = flowOf(customer);
  Flow &flow = it->second;
  const bool isReady = Ready.erase({flow.NextTag, it->first}) != 0;
  limitCredit(flow);
  charge(flow);
  if (isReady)
    Ready.insert({flow.NextTag, it->first});
}

std::optional<QueuedRequest> FairQueue::pop(Time now, uint32_t freeSlots, uint32_t totalSlots) {
  std::lock_guard<std::mutex> lock(Mutex);
  collectExpired(now);
  if (Ready.empty())
    return std::nullopt;
  auto it = Flows.find(Ready.begin()->second);
  Flow &flow = it->second;
  if (mustLeaveReserve(flow, freeSlots, totalSlots))
    return std::nullopt;
  const QueuedRequest next = flow.Queue.front();
  erase(next.Handle);
  Ready.erase({flow.NextTag, it->first});
  charge(flow);
  if (!flow.Queue.empty())
    Ready.insert({flow.NextTag, it->first});
  return next;
}

bool FairQueue::isBlockedByReserve(uint32_t freeSlots, uint32_t totalSlots) const {
  std::lock_guard<std::mutex> lock(Mutex);
  return !Ready.empty() &&
         mustLeaveReserve(Flows.find(Ready.begin()->second)->second, freeSlots, totalSlots);
}

std::vector<QueuedRequest> FairQueue::expire(Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  collectExpired(now);
  return std::exchange(Expired, {});
}

bool FairQueue::remove(uint64_t handle) {
  std::lock_guard<std::mutex> lock(Mutex);
  if (ByHandle.count(handle) == 0)
    return false;
  erase(handle);
  return true;
}

size_t FairQueue::size() const {
  std::lock_guard<std::mutex> lock(Mutex);
  return ByHandle.size();
}

void FairQueue::collectExpired(Time now) {
  while (!ByDeadline.empty() && ByDeadline.begin()->first <= now.Ms) {
    const uint64_t handle = ByDeadline.begin()->second;
    Expired.push_back(*ByHandle.at(handle).Item);
    erase(handle);
  }
}

FairQueue::FlowMap::iterator FairQueue::longestFlow() {
  auto longest = Flows.end();
  for (auto it = Flows.begin(); it != Flows.end(); ++it) {
    // Compares length / weight without a division.
    const bool isLonger =
        longest == Flows.end() || it->second.Queue.size() * longest->second.Weight >
                                      longest->second.Queue.size() * it->second.Weight;
    if (!it->second.Queue.empty() && isLonger)
      longest = it;
  }
  return longest;
}

void FairQueue::erase(uint64_t handle) {
  auto it = ByHandle.find(handle);
  assert(it != ByHandle.end());
  const Position position = it->second;
  Flow &flow = position.Owner->second;
  ByDeadline.erase({position.Item->Deadline.Ms, handle});
  ByHandle.erase(it);
  flow.Queue.erase(position.Item);
  if (flow.Queue.empty())
    Ready.erase({flow.NextTag, position.Owner->first});
}

} // namespace briarspar::balance
