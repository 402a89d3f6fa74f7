#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "quota/Messages.h"
#include "quota/ReserveLedger.h"
#include "quota/TokenBucket.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace briarspar::quota {

struct QuotaOwnerSettings {
  core::Duration GrantLength{500};      ///< Validity of a grant; all owners of a group agree on it.
  core::Duration DemandRetention{200};  ///< How long an unmet demand counts towards the fair share.
  core::Duration MaxDelay{100};         ///< Tokens are granted at most this long before they exist.
  ReserveTimes Reserves;                ///< All owners of a group agree on them too.
  core::Duration VmIdleTimeout{60'000}; ///< Idle time after which a VM's sequence is forgotten.
};

/// Owns the rates of a group of customers and issues prepaid grants. Not thread-safe; used on the
/// control thread of the leader.
///
/// Bound: for every interval on the owner's clock, admitted <= burst + rate * length, over all VMs.
/// A granted token stays in its bucket, where it takes up depth, until the latest time at which it
/// can have been used: its reported use or its expiry. What can be granted is the content of the
/// bucket less all granted tokens.
class QuotaOwner {
public:
  /// Tells whether this process holds the leader lease; asked at every request.
  using LeaderLeaseCheck = std::function<bool(core::Time now)>;

  QuotaOwner(const QuotaOwnerSettings &settings, LeaderLeaseCheck holdsLeaderLease);

  /// Takes in reports and grants tokens.
  GrantAnswer request(const GrantRequest &request, core::Time now);

  /// Must be called when this process becomes owner. `previousLeaseEnd` is the end of the old
  /// owner's lease. All buckets start empty one grant length later, when the grants of all earlier
  /// owners have expired, with the part of the limit that is never reserved. Reserves that VMs
  /// return add to it at once; the rest follows when all earlier reserves have ended. `epoch` is
  /// the leader's term; it distinguishes the grants of owners.
  void becomeOwner(core::Time previousLeaseEnd, core::Term epoch);

  /// Sets or changes a limit. The bucket of a new customer starts empty. From a change until
  /// the reserves of the old limit have ended (a serving lease), or one grant length after it
  /// without reserves, the bound holds with the larger rate and the larger burst of the two.
  void setLimit(const core::CustomerId &customer, Rate rate, Burst burst, core::Time now);

  /// Forgets a customer. Set again, it starts empty, when its old grants and reserves have ended.
  void removeCustomer(const core::CustomerId &customer, core::Time now);

  /// Granted tokens whose use or return is not known yet. For metrics.
  int64_t outstanding(const core::CustomerId &customer) const;

private:
  using GrantKey = std::pair<VmKey, uint64_t>;

  struct Grant {
    GrantKey Key;
    int64_t Tokens = 0; ///< Granted.
    int64_t Used = 0;   ///< Reported and deducted.
    core::Time Expiry;
  };
  struct Demand {
    int64_t Unmet = 0;
    int64_t Served = 0; ///< Tokens granted, or what the least served VM had when this one joined.
    core::Time At;
  };
  struct Customer {
    Customer(Rate rate, Burst burst, core::Time at)
        : LimitRate(rate), LimitBurst(burst), Bucket(rate, burst, at) {}

    Rate LimitRate;
    Burst LimitBurst;
    TokenBucket Bucket; ///< Of the whole limit, or of the returned reserves while IsPartial.
    ReserveLedger Ledger;
    bool IsPartial = false; ///< Reserves of earlier owners may still be used.
    Rate ReturnedRate;
    Burst ReturnedDepth;
    std::set<VmKey> ReturnedBy;
    int64_t Outstanding = 0;          ///< Whole tokens granted, not used, returned or expired.
    std::map<uint64_t, Grant> Grants; ///< By order of issue, which is the order of expiry.
    std::map<GrantKey, uint64_t> ByKey;
    std::map<VmKey, Demand> Demands;
    std::deque<std::pair<core::Time, VmKey>> DemandQueue; ///< Oldest first.
    std::set<std::pair<int64_t, VmKey>> UnservedVms; ///< VMs with unmet demand by tokens served.
    int64_t TotalUnmet = 0;
  };
  struct VmRecord {
    core::Incarnation Inc;
    uint64_t Sequence = 0;
    core::Time Heard;
  };

  CustomerGrant serve(const CustomerDemand &demand, const VmKey &vm, uint64_t sequence,
                      core::Time now);
  bool accept(const GrantRequest &request, core::Time now);
  void forgetIdle(core::Time now);
  void expireGrants(Customer &customer, core::Time now);

  void expireDemands(Customer &customer, core::Time now);
  void setDemand(Customer &customer, const VmKey &vm, int64_t unmet, int64_t served,
                 core::Time now);
  int64_t fairShare(const Customer &customer, const VmKey &vm, int64_t tokens) const;
  Customer startEmpty(Rate rate, Burst burst, core::Time from) const;
  void applyLimit(Customer &customer, core::Time now);
  std::optional<Reserve> issueReserve(Customer &customer, const VmKey &vm, uint64_t sequence,
                                      int64_t demand, core::Time now) const;
  void takeReserveReport(Customer &customer, const VmKey &vm, const ReserveReport &report,
                         core::Time now);
  void settle(Customer &customer, const GrantKey &key, const GrantReport &report, core::Time now);
  CustomerGrant grant(Customer &customer, const CustomerDemand &demand, const GrantKey &key,
                      core::Time now);

  QuotaOwnerSettings Settings;
  LeaderLeaseCheck HoldsLeaderLease;
  core::Term Epoch;
  core::Time EmptyUntil;  ///< Tokens accrue from this time on.
  core::Time ReservesEnd; ///< The reserves of all earlier owners have ended.
  uint64_t NextIssue = 1;
  core::Time NextForget;
  std::unordered_map<core::CustomerId, Customer> Customers;
  std::unordered_map<core::CustomerId, core::Time> Removed; ///< When their last grants have ended.
  std::map<core::VmId, VmRecord> Vms;
};

} // namespace briarspar::quota
