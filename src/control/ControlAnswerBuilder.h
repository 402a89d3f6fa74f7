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
#include "link/Messages.h"
#include "link/RateHolders.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace briarspar::control {

/// What a leader tells each entry VM: changes of the configuration and of the target list, its
/// shares of the rates, the other entry VMs, the demand of all regions, busy targets and requests
/// that end targets. Without I/O. Not thread-safe.
class ControlAnswerBuilder {
public:
  /// The catalogue, the list and the registry must outlive the object.
  ControlAnswerBuilder(const catalog::Catalog &catalog, const discovery::TargetList &targets,
                       const EntryRegistry &entries, uint64_t crashSeed);

  /// Starts to lead. `holders` are the entry VMs that may hold shares of earlier leaders.
  void becomeLeader(core::Term term, const std::set<core::VmId> &holders, core::Time now);

  /// Takes the rates of the catalogue's customers.
  void updateRates() { Rates.setRates(Catalog.customers()); }

  /// True when the shares of earlier leaders are known or have ended.
  bool isSettled(core::Time now) const { return Rates.isSettled(now); }

  /// Takes which versions a VM holds.
  void recordSyncedVersions(const core::VmId &vm, core::Incarnation run,
                            const link::EntryReport &report, core::Time now);

  /// Adds what has changed since the versions that the VM holds or is being sent.
  void addChanges(link::ControlAnswer &answer, const core::VmId &vm, core::Time now);

  /// Takes a report and adds what answers it; shares only for a VM that `mayHoldShares`. Returns an
  /// error when a part of the report can't be read; the answer is complete without it.
  absl::Status addReply(link::ControlAnswer &answer, const core::VmId &vm, core::Incarnation run,
                        const link::EntryReport &report, bool mayHoldShares, core::Time now);

  /// True when the VM is due for what changes slowly, which is then taken as sent.
  bool claimSlowUpdate(const core::VmId &vm, core::Incarnation run, core::Time now);

  /// Adds the demand of all regions.
  void addDemand(link::ControlAnswer &answer, core::Time now);

  /// Encodes an answer, which is then taken as sent.
  std::string encodeFor(const core::VmId &vm, const link::ControlAnswer &answer, core::Time now);

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
  std::map<core::VmId, std::pair<core::Incarnation, core::Time>>
      LastSlowUpdate;                    ///< By VM and its run.
  std::vector<link::EntryLocation> Live; ///< Entry VMs that answers name.
  uint64_t LiveDigest = 0;               ///< Of Live; 0 before it is made.
  core::Time LiveAt;                     ///< When Live was made.
  link::RateHolders Holders;             ///< Made from Live.
};

} // namespace briarspar::control
