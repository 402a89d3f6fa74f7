#pragma once

#include "config/Command.h"
#include "core/Ids.h"
#include "placement/BlockTable.h"

#include <map>
#include <memory>

namespace briarspar::daemon {

using SiteNumbers = std::map<core::RegionId, placement::SiteId>;

/// Numbers the regions that have VMs, in the order of their names. Deterministic, so that all VMs
/// use the same numbers.
SiteNumbers numberRegions(const config::Records &records);

/// Maintains a lookup table from client blocks to sites. Deltas of the configuration are applied
/// incrementally, so that a change of a few blocks copies only a few pages. Not thread-safe, but
/// the returned tables are immutable.
class BlockIndex {
public:
  /// `home` is the region of this VM, to which callers outside all blocks are assigned.
  explicit BlockIndex(core::RegionId home) : Home(std::move(home)) {}

  /// Applies a delta. `records` is the configuration after the delta.
  void apply(const config::Delta &delta, const config::Records &records);
  /// Rebuilds the table from a full state.
  void rebuild(const config::Records &records, core::ConfigVersion version);

  const std::shared_ptr<const placement::BlockTable> &table() const { return Table; }

private:
  placement::BlockChange makeChange(const config::BlockId &id,
                                    const config::BlockRecord *record) const;

  core::RegionId Home;
  SiteNumbers Sites;
  core::ConfigVersion Version;
  std::shared_ptr<const placement::BlockTable> Table = placement::BlockTable::empty();
};

} // namespace briarspar::daemon
