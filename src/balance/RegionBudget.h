#pragma once

#include "core/Ids.h"

#include <cstdint>
#include <map>
#include <utility>

namespace briarspar::balance {

/// Counts the slots granted on the targets of each region and over each link between regions, and
/// limits further grants. The leader's SlotLedger owns the authoritative instance, so that the
/// spill-over from all regions together stays within a region's capacity. Not thread-safe.
class RegionBudget {
public:
  /// Sets the maximum number of requests in flight in a region, and how many of them are reserved
  /// for VMs of the same region. A region without a capacity is unlimited.
  void setCapacity(const core::RegionId &region, uint32_t capacity, uint32_t localReserve = 0);

  /// Sets the maximum number of requests that VMs of `from` may have in flight on targets of `to`.
  /// A pair without a limit is unlimited.
  void setLink(const core::RegionId &from, const core::RegionId &to, uint32_t limit);

  /// Returns how many more slots VMs of `from` may acquire on targets of `to`.
  uint32_t headroom(const core::RegionId &from, const core::RegionId &to) const;

  /// Acquires up to `wanted` slots and returns the number acquired.
  uint32_t acquire(const core::RegionId &from, const core::RegionId &to, uint32_t wanted);

  /// Records slots that are already held, even beyond the limits.
  void recordHeld(const core::RegionId &from, const core::RegionId &to, uint32_t n);

  /// Releases slots.
  void release(const core::RegionId &from, const core::RegionId &to, uint32_t n);

  /// Returns by how much the use of `from` on `to` exceeds the limits, for example after one was
  /// lowered.
  uint32_t excess(const core::RegionId &from, const core::RegionId &to) const;

  uint32_t used(const core::RegionId &region) const;
  uint32_t linkUsed(const core::RegionId &from, const core::RegionId &to) const;

private:
  struct Region {
    uint32_t Capacity = UINT32_MAX;
    uint32_t LocalReserve = 0;
    uint32_t Used = 0;
    uint32_t Remote = 0; ///< Part of Used that is held by VMs of other regions.
  };
  struct Link {
    uint32_t Limit = UINT32_MAX;
    uint32_t Used = 0;
  };
  using LinkKey = std::pair<core::RegionId, core::RegionId>;

  std::map<core::RegionId, Region> Regions;
  std::map<LinkKey, Link> Links;
};

} // namespace briarspar::balance
