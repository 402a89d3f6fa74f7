#pragma once

#include "config/Command.h"
#include "core/Ids.h"
#include "placement/BlockTable.h"

#include <map>
#include <memory>

namespace briarspar::daemon {

using SiteNumbers = std::map<core::RegionId, placement::SiteId>;

/// Numbers the regions of the VMs in the order of their names; every VM gets the same numbers.
SiteNumbers numberRegions(const config::Records &records);

/// The client blocks of the configuration as a table of sites. It follows deltas, so that a change
/// of a few blocks costs a few pages. Not thread-safe; the tables that it returns are.
class BlockIndex {
public:
  /// Callers in no block belong to the region `home`, the one whose VM they ask.
  explicit BlockIndex(core::RegionId home) : Home(std::move(home)) {}

  /// Applies the edits of a delta after which the configuration holds these records.
  void apply(const config::Delta &delta, const config::Records &records);
  /// Builds the table anew, for a full state.
  void rebuild(const config::Records &records, core::ConfigVersion version);

  const std::shared_ptr<const placement::BlockTable> &table() const { return Table; }

private:
  placement::BlockChange changeOf(const config::BlockId &id,
                                  const config::BlockRecord *record) const;

  core::RegionId Home;
  SiteNumbers Sites;
  core::ConfigVersion Version;
  std::shared_ptr<const placement::BlockTable> Table = placement::BlockTable::empty();
};

} // namespace briarspar::daemon
