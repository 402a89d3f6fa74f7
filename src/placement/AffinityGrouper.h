#pragma once

#include "absl/types/span.h"
#include "placement/BlockTable.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarspar::placement {

/// A new client block with the targets that its callers use, as sorted distinct indices.
struct NewBlock {
  Prefix Block;
  std::vector<uint32_t> Targets;
};

struct AffinityGrouperSettings {
  uint16_t SiteCount = 0;
  /// Limit per site: (1 + MaxImbalance) x mean blocks, rounded up, plus one.
  double MaxImbalance = 0.05;
};

/// Assigns new client blocks to sites by affinity, using the DynPart algorithm. A block is assigned
/// to the site with the highest affinity among those within the imbalance bound, and to the least
/// filled one if it has no affinity. The affinity of a block to a site is the sum, over the targets
/// of the block, of the fraction of the target's known blocks that are at the site.
class AffinityGrouper {
public:
  explicit AffinityGrouper(const AffinityGrouperSettings &settings);

  /// Assigns one block (DynPart).
  SiteId place(const NewBlock &block);
  /// Assigns many blocks at once (DynPartGroup): blocks with equal target sets are assigned to the
  /// same site as far as the bound allows. The result is in input order.
  std::vector<SiteId> placeAll(absl::Span<const NewBlock> blocks);
  /// Records a block that is already assigned.
  void add(const NewBlock &block, SiteId site);

  const std::vector<uint64_t> &sizes() const { return Sizes; }

private:
  uint64_t siteLimit(uint64_t arriving) const;
  SiteId bestSite(const std::vector<uint32_t> &targets, uint64_t limit);
  void count(const std::vector<uint32_t> &targets, SiteId site, uint64_t blocks);

  AffinityGrouperSettings Settings;
  std::vector<uint64_t> Sizes; // Blocks per site.
  uint64_t Total = 0;
  // Number of blocks per target and site.
  std::unordered_map<uint32_t, std::vector<std::pair<uint16_t, uint64_t>>> PerTarget;
  std::vector<double> Scores; // Temporary values, one per site.
};

} // namespace briarspar::placement
