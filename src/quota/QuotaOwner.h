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
  core::Duration GrantLength{500};     ///< Validity of a grant. Equal at all owners of a group.
  core::Duration DemandRetention{200}; ///< Time for which an unmet demand counts for fair shares.
  core::Duration MaxDelay{100};        ///< Tokens are granted at most this long before they accrue.
  ReserveTimes Reserves;               ///< Equal at all owners of a group.
  core::Duration VmIdleTimeout{60'000}; ///< Idle time after which a VM's record is dropped.
};

/// Enforces the rate limits of a group of customers by issuing prepaid grants. Not thread-safe;
/// runs on the control thread of the leader.
///
/// Bound: in every interval on the owner's clock, admitted <= burst + rate * length, over all VMs.
/// A granted token stays in its bucket, where it occupies depth, until the latest time at which it
/// may have been used: its reported use or its expiry. The tokens available for grants are the
/// content of the bucket minus all outstanding tokens.
class QuotaOwner {
public:
  /// Tells whether this process holds the leader lease. Called for each request.
  using LeaderLeaseCheck = std::function<bool(core::Time now)>;

  QuotaOwner(const QuotaOwnerSettings &settings, LeaderLeaseCheck holdsLeaderLease);

  /// Processes the reports of a request and grants tokens.
  GrantResponse request(const GrantRequest &request, core::Time now);

  /// Must be called when this process becomes owner. `previousLeaseEnd` is the end of the previous
  /// owner's lease. All buckets start empty one grant length later, when the grants of all earlier
  /// owners have expired, with the part of the limit that is never reserved. Reserves returned by
  /// VMs are added at once, the rest when all earlier reserves have expired. `epoch` is the
  /// leader's term; it distinguishes the grants of owners.
  void becomeOwner(core::Time previousLeaseEnd, core::Term epoch);

  /// Sets or changes a limit. The bucket of a new customer starts empty. After a change, the bound
  /// holds with the larger rate and the larger burst of the two limits until the reserves of the
  /// old limit have expired (the length of a serving lease), or for one grant length if there are
  /// no reserves.
  void setLimit(const core::CustomerId &customer, Rate rate, Burst burst, core::Time now);

  /// Removes a customer. If it is set again, its bucket starts empty when its old grants and
  /// reserves have expired.
  void removeCustomer(const core::CustomerId &customer, core::Time now);

  /// Returns the granted tokens whose use or return is not yet known. For metrics.
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
    int64_t Served = 0; ///< Tokens granted; raised to the lowest value of the others on joining.
    core::Time At;
  };
  struct Customer {
    Customer(Rate rate, Burst burst, core::Time at)
        : LimitRate(rate), LimitBurst(burst), Bucket(rate, burst, at) {}

    Rate LimitRate;
    Burst LimitBurst;
    TokenBucket Bucket; ///< For the whole limit, or a part of it while IsPartial.
    ReserveLedger Ledger;
    bool IsPartial = false; ///< Reserves of earlier owners may still be in use.
    Rate ReturnedRate;
    Burst ReturnedDepth;
    std::set<VmKey> ReturnedBy;
    int64_t Outstanding = 0;          ///< Tokens granted and not yet used, returned or expired.
    std::map<uint64_t, Grant> Grants; ///< In order of issue, which is the order of expiry.
    std::map<GrantKey, uint64_t> ByKey;
    std::map<VmKey, Demand> Demands;
    std::deque<std::pair<core::Time, VmKey>> DemandQueue; ///< Oldest first.
    std::set<std::pair<int64_t, VmKey>> UnservedVms; ///< VMs with unmet demand, by tokens served.
    int64_t TotalUnmet = 0;
  };
  struct VmRecord {
    core::Incarnation Inc;
    uint64_t Sequence = 0;
    core::Time LastRequestAt;
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
  core::Time ReservesEnd; ///< From then on all reserves of earlier owners have expired.
  uint64_t NextIssue = 1;
  core::Time NextForget;
  std::unordered_map<core::CustomerId, Customer> Customers;
  /// Removed customers with the time when their last grants and reserves have expired.
  std::unordered_map<core::CustomerId, core::Time> Removed;
  std::map<core::VmId, VmRecord> Vms;
};

} // namespace briarspar::quota
