#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "quota/Messages.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarspar::quota {

struct QuotaHolderSettings {
  core::Duration MaxWait{200};        ///< Longest time a request waits for a token.
  core::Duration RequestInterval{10}; ///< Shortest time between two grant requests.
  core::Duration ReportInterval{150}; ///< Uses are reported at least this often.
  core::Duration ScarceInterval{20};  ///< The same for a customer whose tokens are scarce.
  core::Duration RefillAhead{150};    ///< Expected demand asked for beyond a round trip, if ample.
  core::Duration DemandWindow{200};   ///< Time constant of the demand estimate.
  core::Duration ReserveWindow{4000}; ///< The same of the demand that reserves are shared out by.
  core::Duration IdleTimeout{10'000}; ///< Idle time after which a customer's state is dropped.
  uint32_t Groups = 1;                ///< Groups of customers, by hash of the customer.
};

/// Result of an attempt to admit a request.
struct Admission {
  enum Kind : uint8_t {
    Admitted, ///< One token was spent; the request may run.
    Wait,     ///< No token yet: call retryAdmit() after Hint.
    Refused,  ///< The customer is beyond its rate; Hint is a value for Retry-After.
  };
  Kind Result = Refused;
  core::Duration Hint;
};

/// Spends prepaid grants at a VM and asks for more. tryAdmit(), retryAdmit() and cancelWait() are
/// safe from any thread; they take one of a fixed number of mutexes for a short time. tick() and
/// receive() are for the control thread. The serving lease is checked separately by the caller.
///
/// `now` must be read right before the call: while tick() is not called either, as in a paused
/// process, a grant that expired in between could be spent.
class QuotaHolder {
public:
  QuotaHolder(const QuotaHolderSettings &settings, const core::VmId &vm, core::Incarnation inc);
  ~QuotaHolder();

  /// First attempt for a request. After Wait, the caller must go on with retryAdmit() until it
  /// returns another result, or call cancelWait().
  Admission tryAdmit(const core::CustomerId &customer, core::Time now);

  /// Further attempt for a request that was told to wait. `arrived` is the time of tryAdmit().
  Admission retryAdmit(const core::CustomerId &customer, core::Time now, core::Time arrived);

  /// Ends the wait of a request whose caller has gone.
  void cancelWait(const core::CustomerId &customer);

  /// Returns the grant requests to send now, at most one per group. Call it every 5 to 10 ms.
  std::vector<GrantRequest> tick(core::Time now);

  /// Takes in a grant. Duplicated, late and foreign answers are ignored.
  void receive(const GrantAnswer &answer, core::Time now);

  /// Group of a customer; its requests go to the leader of this group.
  uint32_t groupOf(const core::CustomerId &customer) const;

  /// Tokens usable at `now`. For metrics and tests.
  int64_t usable(const core::CustomerId &customer, core::Time now) const;

private:
  struct Held;
  struct Customer;
  struct Shard;
  struct Group;

  static constexpr size_t ShardCount = 16;

  Shard &shardOf(const core::CustomerId &customer) const;
  Admission wait(const Customer &customer, core::Time now) const;
  bool mayWait(const Customer &customer) const;
  void tickGroup(uint32_t number, core::Time now, std::vector<GrantRequest> &out);
  void refresh(Customer &customer, const Group &group, core::Time now) const;
  void closeGrants(Customer &customer, const Group &group, core::Time now) const;
  int64_t expected(const Customer &customer, core::Duration span) const;
  int64_t wanted(const Customer &customer, const Group &group, core::Time now, bool joining) const;
  bool isUrgent(const Customer &customer, const Group &group, core::Time now) const;
  void fill(Customer &customer, Group &group, core::Time now, CustomerDemand &demand) const;
  void receive(const CustomerGrant &grant, const GrantAnswer &answer, core::Time sentAt,
               core::Time now);

  QuotaHolderSettings Settings;
  core::VmId Vm;
  core::Incarnation Inc;
  std::array<std::unique_ptr<Shard>, ShardCount> Shards;
  std::vector<std::unique_ptr<Group>> Groups; ///< Control thread only.
};

} // namespace briarspar::quota
