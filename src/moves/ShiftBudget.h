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

/// At most MaxShare of the callers of the named region may be moved, in either direction, within
/// any window of this length.
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
  ShiftCap DefaultCap;                  ///< For regions without a cap of their own.
  core::Duration Propagation{3'000};    ///< From commit until in force everywhere.
  core::Duration Ttl{10'000};           ///< Longest time for which callers cache a lookup.
  core::Duration LeaseDuration{10'000}; ///< A lease that is not renewed for this long is spent.
  core::Duration MaxLoadAge{15'000};    ///< Older loads allow no planned shift.
};

/// Permission to move a share. It must be settled when the step is committed.
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

/// Grants shares to move, so that caps and region capacities hold while callers act on cached
/// lookups. The callers of a step move at some moment between its lease and Propagation + Ttl after
/// its commit. A charge therefore counts against the cap from the lease until Propagation + Ttl +
/// Window after the commit, and against the destination's headroom until Propagation + Ttl +
/// MaxLoadAge after it. Then the moves within any window sum to at most the cap.
///
/// Forced moves of a failed region are not bounded by the cap, because those callers have no place
/// to stay. They are bounded by the headroom of the other regions, charges in flight included; the
/// rest is refused. No planned shift is granted until the forced callers have arrived.
class ShiftBudget {
public:
  explicit ShiftBudget(const ShiftBudgetSettings &settings = {});

  void setCap(const core::RegionId &region, const ShiftCap &cap);
  void observe(const RegionLoad &load, core::Time now);

  /// A new leader does not know the charges of its predecessor: every cap counts as fully used.
  void becomeLeader(core::Time now);

  /// Grants up to `wanted` of the callers of `capped`, or nothing when none can move now.
  /// `destination` is the region whose load rises; empty: any other region that is up. `fullLoad`
  /// is the load of all callers of `capped`, in requests per second.
  std::optional<BudgetLease> lease(const core::RegionId &capped, const core::RegionId &destination,
                                   BasisPoints wanted, uint64_t fullLoad, core::Time now);
  /// Charges a move that happens without a lease: a forced one, or a step of an earlier leader.
  void charge(const core::RegionId &capped, const core::RegionId &destination, BasisPoints basis,
              uint64_t fullLoad, core::Time now);
  /// Keeps the lease of an uncommitted step alive. Returns false if it has expired.
  bool renew(uint64_t id, core::Time now);
  /// The step of this lease was committed.
  void commit(uint64_t id, core::Time committedAt);
  /// The step of this lease is known to be never committed.
  void release(uint64_t id);

  /// Marks the region as down and returns where its callers go. Shares that sum to less than
  /// FullShare leave callers that are refused as "not run". A repeated call returns the same
  /// shares.
  /// Callers of earlier failed regions that were sent here are distributed again; see
  /// forcedShares().
  std::vector<ForcedShare> failRegion(const core::RegionId &region, core::Time now);
  /// Restores the forced moves of a region that is down, as committed under an earlier leader, so
  /// that a change of leader does not send those callers elsewhere. `load` is the region's load
  /// when it failed, in requests per second.
  /// With `down` false the region is up again and its callers are on their way back.
  void setForcedShares(const core::RegionId &region, std::vector<ForcedShare> forced, uint64_t load,
                       bool down = true);
  /// Where the callers of a region that is or was down go at present.
  std::vector<ForcedShare> forcedShares(const core::RegionId &region) const;
  /// Gives back one step of the callers of a region that is up again, under its cap: a region that
  /// returns has cold caches. Returns the forced moves that remain.
  std::vector<ForcedShare> returnForcedShares(const core::RegionId &region, core::Time now);

  /// The step that returnForcedShares() gave back was committed. Its callers move from then on, so
  /// its charge lasts longer than it did without the time of the commit.
  void commitReturn(const core::RegionId &region, core::Time committedAt);
  /// Load of the region when it last failed, in requests per second.
  uint64_t loadAtFailure(const core::RegionId &region) const;

  /// Part of the cap in use, in basis points of the region's callers.
  BasisPoints charged(const core::RegionId &capped, core::Time now) const;
  /// Requests per second that the region can take beyond its load and all charges in flight.
  uint64_t headroom(const core::RegionId &region, core::Time now) const;
  /// Load last measured, in requests per second; nothing if it is unknown or stale.
  std::optional<uint64_t> loadOf(const core::RegionId &region, core::Time now) const;
  bool isUp(const core::RegionId &region) const;
  const ShiftBudgetSettings &settings() const { return Settings; }

private:
  struct Charge {
    core::RegionId Capped;
    core::RegionId Destination;
    BasisPoints Share = 0;
    uint64_t Requests = 0; // Per second, at the destination.
    core::Time Settled;    // When the last caller moves; meaningful if not Open.
    core::Time LeaseEnd;
    bool Open = true;
  };
  struct Region {
    RegionLoad Load;
    core::Time SeenAt;
    bool Seen = false;
    uint64_t LoadAtFailure = 0; // Requests per second.
    std::vector<ForcedShare> Forced;
    uint64_t LastReturn = 0; // Charge of the last step given back; 0: none.
  };

  const ShiftCap &capOf(const core::RegionId &region) const;
  core::Time settledAt(const Charge &charge) const;
  bool tookOverRecently(const core::RegionId &capped, core::Time now) const;
  // Requests per second in flight to no particular region.
  uint64_t unassigned(core::Time now) const;
  uint64_t headroomElsewhere(const core::RegionId &region, core::Time now) const;
  void distribute(const core::RegionId &id, BasisPoints share, core::Time now);
  void addForced(const core::RegionId &id, const core::RegionId &to, BasisPoints basis,
                 core::Time now);
  void dropOld(core::Time now);

  ShiftBudgetSettings Settings;
  std::map<core::RegionId, ShiftCap> Caps;
  std::map<core::RegionId, Region> Regions;
  std::map<uint64_t, Charge> Charges;
  uint64_t NextId = 1;
  std::optional<core::Time> LeaderSince;
  std::optional<core::Time> FrozenUntil;
};

} // namespace briarspar::moves
