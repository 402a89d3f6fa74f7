#include "control/DeltaCache.h"

#include "core/Codec.h"

namespace briarspar::control {

namespace {

/// Encoded list changes are used for so long: short beside the seconds for which targets are cold.
constexpr core::Duration MaxListAge{200};

} // namespace

const std::string &DeltaCache::catalog(const catalog::Catalog &catalog, core::LogIndex base) {
  if (CatalogVersion != catalog.changedAt()) {
    Catalogs.clear();
    CatalogVersion = catalog.changedAt();
  }
  auto [it, isNew] = Catalogs.try_emplace(base);
  if (isNew)
    it->second = core::encodeCbor(catalog.deltaSince(base));
  return it->second;
}

const std::string &DeltaCache::list(const discovery::TargetList &list,
                                    const discovery::ListVersion &base, core::Time now) {
  ListKey version{list.version().Epoch, list.version().Sequence};
  if (version != ListVersion || now - ListsEncodedAt >= MaxListAge) {
    Lists.clear();
    ListVersion = version;
    ListsEncodedAt = now;
  }
  // From another epoch on, all is sent, whatever the VM holds.
  ListKey key = base.Epoch == version.first ? ListKey{base.Epoch, base.Sequence} : ListKey{0, 0};
  auto [it, isNew] = Lists.try_emplace(key);
  if (isNew)
    it->second = core::encodeCbor(list.deltaSince(base, now));
  return it->second;
}

} // namespace briarspar::control
