#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "moves/MoveRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarspar::moves {

/// Upper bound on the share of a region's callers that may be moved, in either direction,
/// within any window of the given length.
struct ShiftCap {
  BasisPoints MaxShare = 500;
  core::Duration Window{60'000};
};

/// Measured load of a region.
struct RegionLoad {
  core::RegionId Region;
  uint64_t Capacity = 0; ///< Requests per second.
  uint64_t Load = 0;     ///< Requests per second.
  bool Up = true;
};

struct ShiftBudgetSettings {
  ShiftCap DefaultCap;               ///< For regions without a cap of their own.
  core::Duration Propagation{3'000}; ///< Delay from commit until in force on all VMs.
  core::Duration Ttl{10'000};        ///< Maximum time for which callers cache a lookup.
  /// A lease not renewed for this long expires; its charge stays.
  core::Duration LeaseDuration{10'000};
  core::Duration MaxLoadAge{15'000}; ///< No planned shift is granted on older loads.
};

/// Permission to move a share. Call ShiftBudget::commit() when the step is committed.
struct BudgetLease {
  uint64_t Id = 0;
  BasisPoints Share = 0;
  core::Time Expires;
};

/// A share of a failed region's callers that must go to another region.
struct ForcedShare {
  core::RegionId To;
  BasisPoints Share = 0;
};

/// Grants shares to move such that caps and region capacities hold although callers use cached
/// lookups. The callers of a step move at any time between its lease and Propagation + Ttl after
/// its commit. A charge therefore counts against the cap from the lease until Propagation + Ttl +
/// Window after the commit, and against the headroom of the destination until Propagation + Ttl +
/// MaxLoadAge after the commit. As a result, the moves within any window sum to at most the cap.
///
/// Forced shares of a failed region are not bounded by the cap, because those callers cannot stay.
/// They are bounded by the headroom of the other regions, less the charges in flight; callers
/// beyond it are refused. No planned shift is granted until the forced callers have moved.
class ShiftBudget {
public:
  explicit ShiftBudget(const ShiftBudgetSettings &settings = {});

  void setCap(const core::RegionId &region, const ShiftCap &cap);
  void observe(const RegionLoad &load, core::Time now);

  /// Call it when this process becomes leader. The charges of the predecessor are unknown, so every
  /// cap counts as fully used until they must have expired.
  void becomeLeader(core::Time now);

  /// Grants up to `wanted` of the callers of `capped`, or nothing if none can move now.
  /// `destination` is the region that receives them; empty: any other region that is up. `fullLoad`
  /// is the load of all callers of `capped`, in requests per second.
  std::optional<BudgetLease> lease(const core::RegionId &capped, const core::RegionId &destination,
                                   BasisPoints wanted, uint64_t fullLoad, core::Time now);
  /// Charges a move without a lease: a forced one, or a step of an earlier leader.
  void charge(const core::RegionId &capped, const core::RegionId &destination, BasisPoints basis,
              uint64_t fullLoad, core::Time now);
  /// Renews the lease of an uncommitted step. Returns false if it has expired.
  bool renew(uint64_t id, core::Time now);
  /// Records that the step of this lease was committed.
  void commit(uint64_t id, core::Time committedAt);
  /// Drops the lease of a step that can no longer be committed.
  void release(uint64_t id);

  /// Marks the region as down and returns the destinations of its callers. If the shares sum to
  /// less than FullShare, the remaining callers are refused as "not run". A repeated call returns
  /// the same shares. Callers of other failed regions that were assigned to this region are
  /// distributed again; see forcedShares().
  std::vector<ForcedShare> failRegion(const core::RegionId &region, core::Time now);
  /// Restores the forced shares that were committed under an earlier leader, so that a change of
  /// leader does not reassign those callers. `load` is the region's load when it failed, in
  /// requests per second. `down` is false if the region has recovered and its callers are being
  /// returned.
  void setForcedShares(const core::RegionId &region, std::vector<ForcedShare> forced, uint64_t load,
                       bool down = true);
  /// Current destinations of the callers of a region that is down or recovering.
  std::vector<ForcedShare> forcedShares(const core::RegionId &region) const;
  /// Returns one step of callers to a region that is up again, under its cap, because a recovered
  /// region has cold caches. Returns the forced shares that remain.
  std::vector<ForcedShare> returnForcedShares(const core::RegionId &region, core::Time now);

  /// Must be called when the step of returnForcedShares() was committed. Its callers move from
  /// then on, so its charge is extended to count from the commit.
  void commitReturn(const core::RegionId &region, core::Time committedAt);
  /// Load of the region when it last failed, in requests per second.
  uint64_t loadAtFailure(const core::RegionId &region) const;

  /// Used part of the cap, in basis points of the region's callers.
  BasisPoints charged(const core::RegionId &capped, core::Time now) const;
  /// Capacity less the load and all charges in flight, in requests per second.
  uint64_t headroom(const core::RegionId &region, core::Time now) const;
  /// Last measured load, in requests per second; nothing if it is unknown or stale.
  std::optional<uint64_t> loadOf(const core::RegionId &region, core::Time now) const;
  bool isUp(const core::RegionId &region) const;
  const ShiftBudgetSettings &settings() const { return Settings; }

private:
  struct Charge {
    core::RegionId Capped;
    core::RegionId Destination;
    BasisPoints Share = 0;
    uint64_t Requests = 0;  // Per second, at the destination.
    core::Time CompletedAt; // When the last caller has moved; valid if not Open.
    core::Time LeaseEnd;
    bool Open = true;
  };
  struct Region {
    RegionLoad Load;
    core::Time MeasuredAt;
    bool Measured = false;
    uint64_t LoadAtFailure = 0; // Requests per second.
    std::vector<ForcedShare> Forced;
    uint64_t LastReturnCharge = 0; // Charge of the last returned step; 0: none.
  };

  const ShiftCap &capOf(const core::RegionId &region) const;
  core::Time completedAt(const Charge &charge) const;
  bool becameLeaderRecently(const core::RegionId &capped, core::Time now) const;
  // Requests per second in flight without a particular destination.
  uint64_t unassignedLoad(core::Time now) const;
  uint64_t headroomElsewhere(const core::RegionId &region, core::Time now) const;
  void distribute(const core::RegionId &id, BasisPoints share, core::Time now);
  void addForced(const core::RegionId &id, const core::RegionId &to, BasisPoints basis,
                 core::Time now);
  void dropExpiredCharges(core::Time now);

  ShiftBudgetSettings Settings;
  std::map<core::RegionId, ShiftCap> Caps;
  std::map<core::RegionId, Region> Regions;
  std::map<uint64_t, Charge> Charges;
  uint64_t NextId = 1;
  std::optional<core::Time> LeaderSince;
  std::optional<core::Time> ShiftsBlockedUntil;
};

} // namespace briarspar::moves
