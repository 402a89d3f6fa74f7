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

/// Timing and shares of a SlotLedger. Holders use the same term and deadline.
struct SlotLedgerSettings {
  core::Duration LimitValidity{3000};     ///< Validity of a holder's limits after its report.
  core::Duration LongestDeadline{30000};  ///< Longest deadline of any route.
  core::Duration AllocationInterval{50};  ///< A division of a pool is used this long.
  core::Duration RemainderRotation{2000}; ///< How often a remainder moves to other VMs.
  uint32_t MaxDemandInEqualShares = 4;    ///< A larger wish counts as this many equal shares.
  uint32_t ReservePermille = 50;          ///< Share of a pool kept for VMs that hold nothing.
};

/// A VM that may hold slots.
struct VmInfo {
  core::VmId Id;
  Locality Where;
};

/// Grants the slots of all targets to VMs. The sum of what VMs may have in flight on a target never
/// exceeds its slots. Lives at the leader; not thread-safe.
///
/// The caller invokes report() and sends its answer only while it holds the leader lease.
class SlotLedger {
public:
  explicit SlotLedger(const SlotLedgerSettings &settings = {});

  /// Sets the VMs that may hold slots. VMs removed from the configuration stay in the list until
  /// their lease and the longest deadline have passed.
  void setVms(absl::Span<const VmInfo> vms);

  /// Sets the targets. Slots granted on a shrunk target are called back. A removed target stays in
  /// the list with no slots until its last requests have ended.
  void setTargets(absl::Span<const TargetInfo> targets);

  /// Capacity of regions and links; the ledger keeps the use in it.
  RegionBudget &regions() { return Regions; }

  /// Sets the longest deadline of any route, for which requests of a silent VM may still run.
  void setLongestDeadline(core::Duration deadline) { Settings.LongestDeadline = deadline; }

  /// Starts a term of office. No slot is granted until the wait of section 3 of the design is over
  /// or every VM has reported.
  void becomeLeader(core::Term term, core::Time now);

  /// Ends the term of office. Reports get no answer.
  void stepDown();

  /// Takes a report and returns the answer; nothing for a report that is old, duplicated, addressed
  /// to another leader, or from an unknown VM.
  std::optional<SlotAnswer> report(const SlotReport &report, core::Time now);

  /// Takes a VM out of the division of slots because its serving lease has ended. Its slots are
  /// reclaimed when its last requests must have ended. A later report of the run revives it.
  void vmExpired(const core::VmId &vm, core::Incarnation run, core::Time now);

  /// Reclaims slots of silent VMs whose wait is over. report() does so too.
  void tick(core::Time now);

  /// True while slots of an earlier leader may be held by VMs that have not reported.
  bool waitsForReports(core::Time now) const;

  /// Upper bound on the requests in flight on a target.
  uint32_t granted(const core::TargetId &target) const;

private:
  using SlotMap = std::map<core::TargetId, uint32_t>;

  /// What one run of a VM holds.
  struct Holding {
    core::Incarnation Run;
    core::RegionId Region; ///< Of the VM, for the region budget.
    uint64_t Sequence = 0;
    core::Time LastReport;
    core::Time CoveredFrom; ///< From then on earlier runs of the VM have no request in flight.
    bool Expired = false;
    SlotMap Granted;
    std::map<PoolId, uint32_t> Demand;
    std::set<core::TargetId> Avoided; ///< As reported; their slots do not meet the demand.
  };

  /// Slots of an ended run, held back until its last requests have ended.
  struct RetiredHolding {
    core::Time Until;
    Holding Held;
  };

  struct Vm {
    Locality Where;
    std::optional<Holding> Current;
  };

  /// The division of a pool. While the wishes fit, each is met up to Level; otherwise each VM gets
  /// a part of the slots in proportion to its wish.
  struct Allocation {
    core::Time At;
    uint32_t MaxShare = 0;
    std::map<core::VmId, uint32_t> Shares; ///< When contended.
    bool Contended = false;                ///< The wishes exceed the slots.
  };

  struct Pool {
    std::vector<core::TargetId> Targets;
    uint32_t Slots = 0;
    std::optional<Allocation> Shares;
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
  /// Targets that an earlier leader may have granted. Others were added in this term, so their
  /// slots need no wait for the reports of VMs.
  std::set<core::TargetId> Inherited;
  bool HasInherited = false;
  bool Withheld = false; ///< Slots of inherited targets are not granted yet.
  RegionBudget Regions;
  std::map<core::VmId, Vm> Vms;
  std::map<core::TargetId, TargetInfo> Targets;
  std::map<PoolId, Pool> Pools;
  std::map<core::TargetId, uint32_t> GrantedOn;
  std::vector<RetiredHolding> RetiredHoldings;
  core::Time NextScan;
};

} // namespace briarspar::balance
