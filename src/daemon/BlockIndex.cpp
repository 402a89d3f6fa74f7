#include "daemon/BlockIndex.h"

#include <utility>
#include <vector>

namespace briarspar::daemon {

SiteNumbers numberRegions(const config::Records &records) {
  SiteNumbers sites;
  for (const auto &[id, vm] : records.Vms)
    sites[vm.Region] = {};
  uint16_t n = 0;
  for (auto &[region, site] : sites)
    site = placement::SiteId{n++};
  return sites;
}

placement::BlockChange BlockIndex::makeChange(const config::BlockId &id,
                                              const config::BlockRecord *record) const {
  placement::BlockChange change;
  // The configuration contains well-formed prefixes only.
  change.Block = placement::Prefix::parse(id.Value).value_or(placement::Prefix());
  bool isAll = change.Block == placement::Prefix();
  auto site = Sites.find(record != nullptr ? record->Region : Home);
  if (site != Sites.end() && (record != nullptr || isAll))
    change.Site = site->second;
  return change;
}

void BlockIndex::apply(const config::Delta &delta, const config::Records &records) {
  if (delta.To <= Version)
    return;
  // Edits contain complete records, so a delta may be applied to any version that it spans.
  if (delta.From > Version || numberRegions(records) != Sites) {
    rebuild(records, delta.To);
    return;
  }
  std::vector<placement::BlockChange> changes;
  for (const config::RecordEdit &edit : delta.Edits)
    if (edit.Kind == config::RecordKind::Block)
      changes.push_back(
          makeChange(config::BlockId(edit.Id),
                     edit.Value ? &std::get<config::BlockRecord>(*edit.Value) : nullptr));
  if (!changes.empty())
    Table = Table->with(changes);
  Version = delta.To;
}

void BlockIndex::rebuild(const config::Records &records, core::ConfigVersion version) {
  Sites = numberRegions(records);
  Version = version;
  std::vector<placement::BlockChange> changes{makeChange(config::BlockId("0.0.0.0/0"), nullptr)};
  for (const auto &[id, record] : records.Blocks)
    changes.push_back(makeChange(id, &record));
  Table = placement::BlockTable::empty()->with(changes);
}

} // namespace briarspar::daemon
