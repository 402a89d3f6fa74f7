#pragma once

#include "absl/status/status.h"
#include "balance/CrashGuard.h"
#include "catalog/Catalog.h"
#include "control/BusyTargets.h"
#include "control/DeliveryTracker.h"
#include "control/DeltaCache.h"
#include "control/DemandAggregator.h"
#include "control/EntryRegistry.h"
#include "control/RateAllocator.h"
#include "discovery/TargetList.h"
#include "link/EntryList.h"
#include "link/Messages.h"
#include "link/RateHolders.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace briarspar::control {

/// Builds the messages from the leader to entry VMs: changes of the configuration and of the target
/// list, rate shares, the list of entry VMs, the demand of all regions, busy targets, and requests
/// that crash targets. Performs no I/O. Not thread-safe.
class ControlResponseBuilder {
public:
  /// The catalog, the target list and the registry must outlive the object.
  ControlResponseBuilder(const catalog::Catalog &catalog, const discovery::TargetList &targets,
                         const EntryRegistry &entries, uint64_t crashSeed);

  /// Begins a term. `holders` are the entry VMs that may hold rate shares granted by earlier
  /// leaders.
  void becomeLeader(core::Term term, const std::set<core::VmId> &holders, core::Time now);

  /// Updates the rates from the customers in the catalog.
  void updateRates() { Rates.setRates(Catalog.customers()); }

  /// Returns whether the shares of earlier leaders are known or have expired.
  bool isSettled(core::Time now) const { return Rates.isSettled(now); }

  /// Records the versions that a VM holds.
  void recordSyncedVersions(const core::VmId &vm, core::Incarnation run,
                            const link::EntryReport &report, core::Time now);

  /// Adds the changes since the versions that the VM holds or that are in transit to it.
  void addChanges(link::ControlResponse &answer, const core::VmId &vm, core::Time now);

  /// Processes a report and adds the response to it; rate shares are added only if `mayHoldShares`
  /// is set. Returns an error when a part of the report cannot be decoded; the response is complete
  /// without that part.
  absl::Status addReply(link::ControlResponse &answer, const core::VmId &vm, core::Incarnation run,
                        const link::EntryReport &report, bool mayHoldShares, core::Time now);

  /// Returns whether the slowly changing parts are due for the VM, and if so records them as sent.
  bool claimSlowUpdate(const core::VmId &vm, core::Incarnation run, core::Time now);

  void addDemand(link::ControlResponse &answer, core::Time now);

  /// Encodes a message and records its deltas as sent.
  std::string encodeFor(const core::VmId &vm, const link::ControlResponse &answer, core::Time now);

private:
  void refreshLive(core::Time now);

  const catalog::Catalog &Catalog;
  const discovery::TargetList &Targets;
  const EntryRegistry &Entries;
  DeliveryTracker Sent;
  DeltaCache Deltas;
  RateAllocator Rates;
  DemandAggregator Demand;
  BusyTargets Busy;
  balance::CrashGuard Crashes;
  /// By VM, with the incarnation of its process.
  std::map<core::VmId, std::pair<core::Incarnation, core::Time>> LastSlowUpdate;
  link::EntryList Live; ///< Live entry VMs, as sent to entry VMs.
  /// Changes that lead to Live, by the digest of the list from which they start.
  std::map<uint64_t, link::EntryChange> LiveChanges;
  core::Time LiveAt;         ///< Last computation of Live.
  link::RateHolders Holders; ///< Computed from Live.
};

} // namespace briarspar::control
