#pragma once

#include "absl/types/span.h"
#include "balance/RegionBudget.h"
#include "balance/SlotMessages.h"
#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace briarspar::balance {

/// Timing and shares of a SlotLedger. Holders use the same LimitValidity.
struct SlotLedgerSettings {
  core::Duration LimitValidity{3000};     ///< Validity of a holder's limits from its report on.
  core::Duration LongestDeadline{30000};  ///< Longest deadline of any route.
  core::Duration AllocationInterval{50};  ///< Time after which the allocation of a pool is updated.
  core::Duration RemainderRotation{2000}; ///< Period of moving rounding remainders to other VMs.
  uint32_t MaxDemandInEqualShares = 4;    ///< Cap on the demand of a VM, in equal shares.
  uint32_t ReservePermille = 50;          ///< Share of a pool reserved for VMs that hold no slots.
};

/// A VM that may hold slots.
struct VmInfo {
  core::VmId Id;
  Locality Where;
};

/// Grants the slots of all targets to VMs. The requests that all VMs together may have in flight on
/// a target never exceed its slots. Runs at the leader. Not thread-safe.
///
/// The caller must call report() and send its response only while it holds the leader lease.
class SlotLedger {
public:
  explicit SlotLedger(const SlotLedgerSettings &settings = {});

  /// Sets the VMs that may hold slots. A VM removed from the configuration must stay in the list
  /// until its lease and the longest deadline have passed.
  void setVms(absl::Span<const VmInfo> vms);

  /// Sets the targets. Slots granted beyond the new size of a target are revoked. A removed target
  /// must stay in the list with 0 slots until its last requests have ended.
  void setTargets(absl::Span<const TargetInfo> targets);

  /// Capacities of regions and links. The ledger records their use in it.
  RegionBudget &regions() { return Regions; }

  /// Sets the longest deadline of any route: the time for which requests of a silent VM may still
  /// run.
  void setLongestDeadline(core::Duration deadline) { Settings.LongestDeadline = deadline; }

  /// Starts a term as leader. No slot that an earlier leader may have granted is granted until
  /// every VM has reported, or until a silent VM cannot hold slots any more (section 3 of the
  /// design).
  void becomeLeader(core::Term term, core::Time now);

  /// Ends the term as leader. Reports get no response from now on.
  void stepDown();

  /// Processes a report and returns the response; nullopt for a report that is old, duplicated,
  /// addressed to another leader, or from an unknown VM.
  std::optional<SlotResponse> report(const SlotReport &report, core::Time now);

  /// Excludes a VM from the allocation of slots because its serving lease has ended. Its slots are
  /// reclaimed when its last requests must have ended. A later report of the same run includes it
  /// again.
  void vmExpired(const core::VmId &vm, core::Incarnation run, core::Time now);

  /// Reclaims the slots of VMs that have been silent for too long. report() does so too.
  void tick(core::Time now);

  /// Returns true while VMs that have not reported may hold slots granted by an earlier leader.
  bool waitsForReports(core::Time now) const;

  /// Upper bound on the requests in flight on a target.
  uint32_t granted(const core::TargetId &target) const;

private:
  using SlotMap = std::map<core::TargetId, uint32_t>;

  /// The slots held by one run of a VM.
  struct Holding {
    core::Incarnation Run;
    core::RegionId Region; ///< Region of the VM, for the region budget.
    uint64_t Sequence = 0;
    core::Time LastReport;
    core::Time CoveredFrom; ///< From this time on no earlier run of the VM has a request in flight.
    bool Expired = false;
    SlotMap Granted;
    std::map<PoolId, uint32_t> Demand;
    /// As reported. Slots on these targets do not count towards the demand.
    std::set<core::TargetId> Avoided;
  };

  /// Slots of an ended run, not granted again before its last requests have ended.
  struct RetiredHolding {
    core::Time Until;
    Holding Held;
  };

  struct Vm {
    Locality Where;
    std::optional<Holding> Current;
  };

  /// Allocation of the slots of a pool. While the demands fit, each VM gets its demand up to
  /// MaxShare; otherwise the slots are shared in proportion to the demands.
  struct Allocation {
    core::Time At;
    uint32_t MaxShare = 0;
    std::map<core::VmId, uint32_t> Shares; ///< If contended.
    bool Contended = false;                ///< The demands exceed the slots.
  };

  struct Pool {
    std::vector<core::TargetId> Targets;
    uint32_t Slots = 0;
    std::optional<Allocation> Current;
  };

  SlotMap coveredLimits(const Vm &vm, const SlotReport &report, core::Time now) const;
  static bool isCurrent(const Vm &vm, const SlotReport &report);
  void beginRun(Vm &vm, const SlotReport &report, core::Time now);
  void retire(Holding &&holding, core::Time until);
  void setHeld(Holding &holding, const SlotMap &held);
  void setGranted(Holding &holding, const core::TargetId &target, uint32_t n);
  void clearGranted(Holding &holding);
  void moveUse(const core::TargetId &target, const core::RegionId &from, const core::RegionId &to);
  void revokeExcess(const Holding &holding, SlotMap &limits) const;
  void allocate(const core::VmId &id, Vm &vm, const PoolId &poolId, SlotMap &limits,
                core::Time now);
  void updateAllocation(const PoolId &poolId, Pool &pool, core::Time now) const;
  void allocateByDemand(Allocation &allocation, uint32_t slots,
                        const std::map<core::VmId, uint32_t> &demands) const;
  static uint32_t shareOf(const Allocation &allocation, const core::VmId &vm, uint32_t demand);
  void grow(Vm &vm, const Pool &pool, SlotMap &limits, uint32_t n);
  void shrink(const Vm &vm, const Pool &pool, SlotMap &limits, uint32_t n) const;
  uint32_t demandOf(const Holding &holding, const PoolId &pool) const;
  uint32_t reserveOf(const Pool &pool) const;
  uint32_t freeOn(const core::TargetId &target) const;
  uint32_t freeIn(const Pool &pool) const;
  uint32_t slotsOf(const core::TargetId &target) const;
  const core::RegionId &regionOf(const core::TargetId &target) const;
  int distance(const Locality &from, const core::TargetId &target) const;
  core::Duration maxInFlightTime() const;
  core::Duration reclaimDelay() const;

  SlotLedgerSettings Settings;
  bool Leading = false;
  core::Term Term;
  core::Time LeaderSince;
  /// Targets whose slots an earlier leader may have granted. Other targets were added in this term,
  /// so their slots can be granted before all VMs have reported.
  std::set<core::TargetId> Inherited;
  bool HasInherited = false;
  bool Withheld = false; ///< Slots of inherited targets must not be granted yet.
  RegionBudget Regions;
  std::map<core::VmId, Vm> Vms;
  std::map<core::TargetId, TargetInfo> Targets;
  std::map<PoolId, Pool> Pools;
  std::map<core::TargetId, uint32_t> GrantedOn;
  std::vector<RetiredHolding> RetiredHoldings;
  core::Time NextScan;
};

} // namespace briarspar::balance
