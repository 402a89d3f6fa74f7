#pragma once

#include "core/Ids.h"

#include <cstdint>
#include <map>
#include <utility>

namespace briarspar::balance {

/// Counts the slots granted on the targets of each region and over each link between regions, and
/// says how many more may be granted. The leader's SlotLedger owns the authoritative one, so that
/// spill-over from all regions together stays within a region's capacity. Not thread-safe.
class RegionBudget {
public:
  /// Requests that may be in flight in a region at once, and how many of them only VMs of the same
  /// region may use. A region without a capacity is unlimited.
  void setCapacity(const core::RegionId &region, uint32_t capacity, uint32_t localReserve = 0);

  /// Requests that VMs of `from` may have in flight on targets of `to` at once. A pair without a
  /// limit is unlimited.
  void setLink(const core::RegionId &from, const core::RegionId &to, uint32_t limit);

  /// Returns how many more requests of `from` fit on targets of `to`.
  uint32_t headroom(const core::RegionId &from, const core::RegionId &to) const;

  /// Takes up to `wanted` and returns the number taken.
  uint32_t acquire(const core::RegionId &from, const core::RegionId &to, uint32_t wanted);

  /// Records slots that are known to be held, even beyond the limits.
  void recordHeld(const core::RegionId &from, const core::RegionId &to, uint32_t n);

  /// Gives slots back.
  void release(const core::RegionId &from, const core::RegionId &to, uint32_t n);

  /// Returns by how much the use of `from` on `to` has to shrink after a limit was lowered.
  uint32_t excess(const core::RegionId &from, const core::RegionId &to) const;

  uint32_t used(const core::RegionId &region) const;
  uint32_t linkUsed(const core::RegionId &from, const core::RegionId &to) const;

private:
  struct Region {
    uint32_t Capacity = UINT32_MAX;
    uint32_t LocalReserve = 0;
    uint32_t Used = 0;
    uint32_t Remote = 0; ///< The part of Used that VMs of other regions hold.
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
