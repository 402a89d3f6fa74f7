#pragma once

#include "absl/types/span.h"
#include "catalog/Catalog.h"
#include "link/Messages.h"
#include "link/RateHolders.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace briarspar::entry {

/// Limits on the use of customers' rates. The shares assigned by the leader add up to the full
/// rate; the reserve used by VMs without a valid share adds ReservePermille to it.
struct RateSharesSettings {
  /// A share expires this long after the report that it replies to was sent.
  core::Duration Validity{3000};
  uint32_t ReservePermille = link::ReservePermille; ///< Total for all VMs without a valid share.
  core::Duration DemandWindow{1500};                ///< Time constant of the measured arrival rate.
};

/// Token buckets for this VM's shares of customers' rates. The limits also hold while this VM is
/// isolated: a share that is not renewed expires, after which only this VM's part of the reserve
/// remains.
class RateShares {
public:
  explicit RateShares(const RateSharesSettings &settings = {});

  /// Sets the limits of all customers. Customers without a rate are not limited.
  void setLimits(const catalog::ItemMap<catalog::Customer> &customers, core::Time now);

  /// Sets the shares received in reply to a report sent at `sentAt`. `entries` is the number of
  /// live entry VMs, which divide the reserve where the leader does not tell how many do.
  void setShares(absl::Span<const link::RateShare> shares, size_t entries, core::Time sentAt,
                 core::Time now);

  /// Sets the customers whose share is held by another VM. This VM gives up its share of them, and
  /// ignores shares in replies to earlier reports, so that the leader can grant it to the holder at
  /// once. It requests a share of its own for them only while it can reach no holder. Returns
  /// whether this VM has given up or taken over a customer, which the leader should learn soon.
  bool setHeldByOthers(std::set<std::string> customers, core::Time now);

  /// Charges one request to a customer's rate. Returns false when no token is left.
  bool spend(const std::string &customer, core::Time now);

  /// Refunds a request that was not run.
  void refund(const std::string &customer, core::Time now);

  /// Returns the arrival rate and the current share of each customer. Customers without traffic are
  /// included, so that this VM has a share before the first request, unless another VM holds
  /// theirs.
  std::vector<link::CustomerUsage> uses(core::Time now);

private:
  struct Bucket {
    double RatePerS = 0; ///< Of the customer, over all VMs.
    double Burst = 0;    ///< Of the customer, over all VMs.
    uint32_t SharePermille = 0;
    core::Time ShareUntil;
    core::Time GivenUpAt; ///< Replies to reports sent until then are ignored.
    double Tokens = 0;
    core::Time FilledAt;
    double ArrivalsPerS = 0;
    core::Time ArrivalsAt;
  };

  double share(const Bucket &bucket, core::Time now) const;
  void fill(Bucket &bucket, core::Time now) const;
  void countArrivals(Bucket &bucket, double n, core::Time now) const;

  const RateSharesSettings Settings;
  std::map<std::string, Bucket> Buckets;
  std::set<std::string> HeldByOthers;
  double ReserveShare; ///< This VM's part of the reserve, as a fraction of the rate.
  double ReserveVms;   ///< Number of VMs that divide the reserve, live or not.
};

} // namespace briarspar::entry
