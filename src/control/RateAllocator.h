#pragma once

#include "absl/types/span.h"
#include "catalog/Catalog.h"
#include "core/Clock.h"
#include "core/Ids.h"
#include "link/Messages.h"
#include "link/RateHolders.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace briarspar::control {

struct RateAllocatorSettings {
  core::Duration Validity{3000}; ///< For so long after its report a VM may use a share.
  core::Duration Margin{100};    ///< Added for the difference in rate of two clocks.
  uint32_t EqualPermille = 250;  ///< Part of each rate that is divided evenly; the rest follows
                                 ///< the demand.
  double DemandHeadroom = 1.4;   ///< Share for each part of the rate that is asked for. What nobody
                                 ///< asks for stays with the leader, who can grant it at once.
};

/// Divides the customers' rates between the entry VMs by their demand. At no time do the shares
/// that VMs may hold add up to more than the whole rate: a share grows only by what others have
/// confirmed to have given up, or what has expired. Used by the leader. Not thread-safe.
class RateAllocator {
public:
  explicit RateAllocator(const RateAllocatorSettings &settings = {});

  /// Starts without knowledge of the shares that earlier leaders gave to `entries`. VMs keep what
  /// they report and get no more until all of them have reported what they hold after they heard
  /// from this leader, or until every earlier share has ended. A call with the term that it leads
  /// already changes nothing, as answers of that term may be on their way.
  void becomeLeader(core::Term term, const std::set<core::VmId> &entries, core::Time now);

  /// Takes the rates of the customers.
  void setRates(const catalog::ItemMap<catalog::Customer> &customers);

  /// Takes what a VM wants and holds, and returns its new shares. `heardTerm` is the newest
  /// leader's term that the VM has accepted.
  std::vector<link::RateShare> allocate(const core::VmId &vm, core::Incarnation run,
                                        core::Term heardTerm,
                                        absl::Span<const link::CustomerUsage> uses,
                                        const link::RateHolders &holders, core::Time now);

  /// True when the shares of earlier leaders are known or have ended.
  bool isSettled(core::Time now) const { return Unconfirmed.empty() || now >= SettledAt; }

private:
  struct Allocation {
    core::Incarnation Run;
    double Demand = 0;
    bool HoldsShare = true;   ///< Gets a part of what is divided evenly.
    uint32_t Granted = 0;     ///< Last share that was sent.
    uint32_t Outstanding = 0; ///< Most that the VM may use.
    core::Time Until;         ///< End of what is outstanding.
  };

  using Customer = std::map<core::VmId, Allocation>;

  uint32_t desiredShare(const std::string &name, const Customer &customer,
                        const Allocation &holding, const link::RateHolders &holders) const;

  const RateAllocatorSettings Settings;
  core::Term Term;
  std::set<core::VmId> Unconfirmed; ///< What these VMs hold is not known.
  core::Time SettledAt;             ///< Shares of earlier leaders have ended.
  std::map<std::string, Customer> Customers;
  std::map<std::string, link::CustomerLimit> Limits;
};

} // namespace briarspar::control
