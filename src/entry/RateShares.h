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

/// Bounds of the use of customers' rates. The shares that the leader hands out add up to the whole
/// rate; what VMs use without a valid share adds up to ReservePermille more.
struct RateSharesSettings {
  core::Duration Validity{3000}; ///< A share ends this long after its report was sent.
  uint32_t ReservePermille = link::ReservePermille; ///< For all VMs without a valid share together.
  core::Duration DemandWindow{1500};                ///< Time constant of the measured arrivals.
};

/// Spends this VM's shares of the customers' rates. Holds for VMs that hear from nobody too: a
/// share that is not renewed ends, and then only this VM's part of the reserve remains.
class RateShares {
public:
  explicit RateShares(const RateSharesSettings &settings = {});

  /// Takes the limits of all customers. Customers without a rate are not limited.
  void setLimits(const catalog::ItemMap<catalog::Customer> &customers, core::Time now);

  /// Takes the shares that answer a report sent at `sentAt`, and the number of live entry VMs.
  void setShares(absl::Span<const link::RateShare> shares, size_t entries, core::Time sentAt,
                 core::Time now);

  /// Takes the customers whose share another VM holds for this one; this VM has one of its own only
  /// while it finds no holder.
  void setHeldByOthers(std::set<std::string> customers) { HeldByOthers = std::move(customers); }

  /// Spends one request of a customer's rate. Returns false when nothing is left.
  bool spend(const std::string &customer, core::Time now);

  /// Gives back a request that was not run.
  void refund(const std::string &customer, core::Time now);

  /// Returns the arrivals and the share in use of each customer, so that a VM has a share before
  /// the first request. Those held by others are left out when there is nothing to tell.
  std::vector<link::CustomerUsage> uses(core::Time now);

private:
  struct Bucket {
    double RatePerS = 0; ///< Of the customer, over all VMs.
    double Burst = 0;    ///< Of the customer, over all VMs.
    uint32_t SharePermille = 0;
    core::Time ShareUntil;
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
  double ReserveShare; ///< This VM's part of the reserve, as a part of the rate.
  double Entries;      ///< Live entry VMs.
};

} // namespace briarspar::entry
