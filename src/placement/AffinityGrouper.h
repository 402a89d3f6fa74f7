#pragma once

#include "absl/types/span.h"
#include "placement/BlockTable.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarspar::placement {

/// A newly seen client block and the targets that its callers used, as sorted distinct indices.
struct NewBlock {
  Prefix Block;
  std::vector<uint32_t> Targets;
};

struct AffinityGrouperSettings {
  uint16_t SiteCount = 0;
  double MaxImbalance =
      0.05; ///< A site takes at most (1 + this) x mean blocks, rounded up, plus one.
};

/// Assigns new client blocks to sites by affinity, after DynPart: a block goes to the site whose
/// blocks share most of its targets, among the sites within the imbalance bound; without any
/// affinity it goes to the least filled site. The affinity of a block with a site is the sum over
/// the block's targets of the part of the target's known blocks that the site holds.
class AffinityGrouper {
public:
  explicit AffinityGrouper(const AffinityGrouperSettings &settings);

  /// Chooses the site of one block (DynPart) and counts it there.
  SiteId place(const NewBlock &block);
  /// Chooses sites for many blocks at once (DynPartGroup): blocks with equal target sets are placed
  /// together, as far as the bound allows. The result has the order of the input.
  std::vector<SiteId> placeAll(absl::Span<const NewBlock> blocks);
  /// Counts a block that is already assigned.
  void add(const NewBlock &block, SiteId site);

  const std::vector<uint64_t> &sizes() const { return Sizes; }

private:
  uint64_t bound(uint64_t arriving) const;
  SiteId best(const std::vector<uint32_t> &targets, uint64_t limit);
  void count(const std::vector<uint32_t> &targets, SiteId site, uint64_t blocks);

  AffinityGrouperSettings Settings;
  std::vector<uint64_t> Sizes; // Blocks per site.
  uint64_t Total = 0;
  // Target to the blocks that each site holds of it.
  std::unordered_map<uint32_t, std::vector<std::pair<uint16_t, uint64_t>>> PerTarget;
  std::vector<double> Scores; // Scratch, one per site.
};

} // namespace briarspar::placement
