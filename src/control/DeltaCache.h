#pragma once

#include "catalog/Catalog.h"
#include "core/Clock.h"
#include "core/Ids.h"
#include "discovery/TargetList.h"

#include <map>
#include <string>
#include <utility>

namespace briarspar::control {

/// Caches encoded deltas of the catalog and of the target list, so that each is encoded once for
/// all entry VMs that hold the same version. Encoding 1,100 routes separately for each of 80 VMs
/// takes longer than the leader lease. Not thread-safe.
class DeltaCache {
public:
  /// Returns the encoded result of Catalog::deltaSince().
  const std::string &catalog(const catalog::Catalog &catalog, core::LogIndex base);

  /// Returns the encoded result of TargetList::deltaSince(). It may be up to MaxListAge old, and
  /// the remaining cold time of targets in it is too long by that age.
  const std::string &list(const discovery::TargetList &list, const discovery::ListVersion &base,
                          core::Time now);

private:
  using ListKey = std::pair<uint64_t, uint64_t>;

  std::map<core::LogIndex, std::string> Catalogs; ///< By base version.
  core::LogIndex CatalogVersion;
  std::map<ListKey, std::string> Lists; ///< By epoch and sequence of the base version.
  ListKey ListsVersion;
  core::Time ListsEncodedAt;
};

} // namespace briarspar::control
