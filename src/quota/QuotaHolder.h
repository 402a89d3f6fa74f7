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
  core::Duration MaxWait{200};        ///< Maximum time a request waits for a token.
  core::Duration RequestInterval{10}; ///< Minimum interval between grant requests.
  core::Duration ReportInterval{150}; ///< Maximum interval between reports of uses.
  core::Duration ScarceInterval{20};  ///< ReportInterval of a customer with scarce tokens.
  core::Duration RefillAhead{150};    ///< Demand requested beyond a round trip, unless scarce.
  core::Duration DemandWindow{200};   ///< Time constant of the demand estimate.
  core::Duration ReserveWindow{4000}; ///< Time constant of the demand for reserves.
  core::Duration IdleTimeout{10'000}; ///< Idle time after which a customer is dropped.
  uint32_t Groups = 1;                ///< Number of groups of customers, by hash.
};

/// Result of an attempt to admit a request.
struct Admission {
  enum Kind : uint8_t {
    Admitted, ///< One token was spent. The request may run.
    Wait,     ///< No token yet: call retryAdmit() after Hint.
    Refused,  ///< The customer exceeds its rate. Hint is a value for Retry-After.
  };
  Kind Result = Refused;
  core::Duration Hint;
};

/// Admits requests at a VM from prepaid grants and requests further grants. tryAdmit(),
/// retryAdmit() and cancelWait() are safe to call from any thread; they hold one of a fixed number
/// of mutexes for a short time. tick() and receive() must be called from the control thread. The
/// caller checks the serving lease separately.
///
/// `now` must be read immediately before the call. Otherwise a grant that expired in between could
/// be spent while tick() is not called either, as in a paused process.
class QuotaHolder {
public:
  QuotaHolder(const QuotaHolderSettings &settings, const core::VmId &vm, core::Incarnation inc);
  ~QuotaHolder();

  /// First attempt for a request. After Wait, the caller must call retryAdmit() until it returns
  /// another result, or cancelWait().
  Admission tryAdmit(const core::CustomerId &customer, core::Time now);

  /// Further attempt for a waiting request. `arrived` is the time of tryAdmit().
  Admission retryAdmit(const core::CustomerId &customer, core::Time now, core::Time arrived);

  /// Ends the wait of a request whose caller has disconnected.
  void cancelWait(const core::CustomerId &customer);

  /// Returns the grant requests to send now, at most one per group. Call it every 5 to 10 ms.
  std::vector<GrantRequest> tick(core::Time now);

  /// Processes a response. Duplicated and late responses, and those for another VM or incarnation,
  /// are ignored.
  void receive(const GrantResponse &answer, core::Time now);

  /// Returns the group of a customer. Its grant requests go to the leader of this group.
  uint32_t groupOf(const core::CustomerId &customer) const;

  /// Returns the tokens usable at `now`. For metrics and tests.
  int64_t usable(const core::CustomerId &customer, core::Time now) const;

private:
  struct HeldGrant;
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
  void receive(const CustomerGrant &grant, const GrantResponse &answer, core::Time sentAt,
               core::Time now);

  QuotaHolderSettings Settings;
  core::VmId Vm;
  core::Incarnation Inc;
  std::array<std::unique_ptr<Shard>, ShardCount> Shards;
  std::vector<std::unique_ptr<Group>> Groups; ///< Control thread only.
};

} // namespace briarspar::quota
