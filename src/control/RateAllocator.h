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
  /// A VM may use a share for this long after the report it answers.
  core::Duration Validity{3000};
  core::Duration Margin{100}; ///< Allowance for clock drift between two VMs.
  /// Part of each rate that is divided evenly; the rest follows demand.
  uint32_t EqualPermille = 250;
  /// A VM that takes over as holder gets at least an even part of the rate for this long.
  core::Duration TakeOverPeriod{3000};
  /// A VM that no longer reports may still use its part of the reserve; it counts for this long.
  core::Duration ReserveRetention{600'000};
  /// Ratio of the allocated share to the measured demand. Rate without demand stays unallocated at
  /// the leader, which can grant it immediately.
  double DemandHeadroom = 1.4;
};

/// Allocates the rates of customers to entry VMs according to demand. The shares that VMs may hold
/// never add up to more than the full rate: a share grows only by what other VMs have confirmed as
/// released or what has expired. Used by the leader. Not thread-safe.
class RateAllocator {
public:
  explicit RateAllocator(const RateAllocatorSettings &settings = {});

  /// Begins a term without knowledge of the shares that earlier leaders granted to `entries`. Until
  /// all of these VMs have reported their shares after accepting this leader, or all earlier shares
  /// have expired, VMs keep the shares they report and receive no more. A call with the current
  /// term has no effect, because responses of that term may still be in transit. `entries` also
  /// divide the reserve.
  void becomeLeader(core::Term term, const std::set<core::VmId> &entries, core::Time now);

  /// Sets the rates of all customers.
  void setRates(const catalog::ItemMap<catalog::Customer> &customers);

  /// Records the usage that a VM reports and returns its new shares. `heardTerm` is the newest
  /// leader term that the VM has accepted.
  std::vector<link::RateShare> allocate(const core::VmId &vm, core::Incarnation run,
                                        core::Term heardTerm,
                                        absl::Span<const link::CustomerUsage> uses,
                                        const link::RateHolders &holders, core::Time now);

  /// Returns whether the shares of earlier leaders are known or have expired.
  bool isSettled(core::Time now) const { return Unconfirmed.empty() || now >= SettledAt; }

private:
  struct Allocation {
    core::Incarnation Run;
    double Demand = 0;
    bool HoldsShare = true;   ///< Receives a portion of the evenly divided part.
    core::Time NewUntil;      ///< Until then the VM has not yet measured the demand of its scope.
    uint32_t Granted = 0;     ///< Last share sent to the VM.
    uint32_t Outstanding = 0; ///< Largest share that the VM may currently use.
    core::Time Until;         ///< Expiry of Outstanding.
  };

  using Customer = std::map<core::VmId, Allocation>;

  uint32_t desiredShare(const std::string &name, const Customer &customer,
                        const Allocation &allocation, const link::RateHolders &holders,
                        core::Time now) const;

  /// Returns the number of VMs that may use a part of the reserve.
  uint32_t countReserveVms(const core::VmId &vm, core::Time now);

  const RateAllocatorSettings Settings;
  core::Term Term;
  std::map<core::VmId, core::Time> LastReportAt;
  core::Time CountedAt; ///< When LastReportAt was last searched for VMs to be forgotten.
  std::set<core::VmId> Unconfirmed; ///< VMs that have not yet reported their shares in this term.
  core::Time SettledAt;             ///< All shares of earlier leaders have expired by then.
  std::map<std::string, Customer> Customers;
  std::map<std::string, link::CustomerLimit> Limits;
};

} // namespace briarspar::control
