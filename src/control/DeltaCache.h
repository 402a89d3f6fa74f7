#pragma once

#include "catalog/Catalog.h"
#include "core/Clock.h"
#include "core/Ids.h"
#include "discovery/TargetList.h"

#include <map>
#include <string>
#include <utility>

namespace briarspar::control {

/// Changes of the configuration and of the target list as bytes, encoded once for all entry VMs
/// that hold the same version: encoding 1,100 routes for each of 80 VMs takes a leader longer than
/// its lease. Not thread-safe.
class DeltaCache {
public:
  /// Returns the encoded Catalog::deltaSince().
  const std::string &catalog(const catalog::Catalog &catalog, core::LogIndex base);

  /// Returns the encoded TargetList::deltaSince(). It may have been made up to MaxListAge ago; what
  /// it says about the time until a target is warm is then that much too long.
  const std::string &list(const discovery::TargetList &list, const discovery::ListVersion &base,
                          core::Time now);

private:
  using ListKey = std::pair<uint64_t, uint64_t>;

  std::map<core::LogIndex, std::string> Catalogs; ///< By base.
  core::LogIndex CatalogVersion;
  std::map<ListKey, std::string> Lists; ///< By epoch and sequence of the base.
  ListKey ListVersion;
  core::Time ListsEncodedAt;
};

} // namespace briarspar::control
