#include "config/ChangeEvaluatorChecks.h"
#include "config/Text.h"
#include "config/Validation.h"

#include <algorithm>
#include <set>

namespace briarspar::config {

namespace {

/// Maximum number of block records. A full state is sent to a VM in one frame and is encoded on the
/// leader's control thread; docs/CAPACITY.md has the cost. All voters must use the same value.
constexpr size_t MaxBlocks = 20'000;

} // namespace

std::string ChangeEvaluator::checkBlocks(const std::vector<BlockId> &blocks) const {
  if (blocks.empty() || blocks.size() > MaxBlocksPerCommand)
    return concat("a command names 1 to ", MaxBlocksPerCommand, " blocks");
  if (blocks.size() > 1 && EvaluatedCommand.ExpectedVersion.Value != 0)
    return "a command for several blocks expects no version";
  std::set<BlockId> seen;
  for (const BlockId &block : blocks) {
    if (std::string error = checkBlock(block.Value); !error.empty())
      return error;
    if (!seen.insert(block).second)
      return concat("block ", block.Value, " is named twice");
  }
  return {};
}

Outcome ChangeEvaluator::operator()(const SetBlocks &change) {
  if (std::string error = checkBlocks(change.Blocks); !error.empty())
    return invalid(error);
  if (!isRegion(change.Region.Value))
    return invalid(concat("no region is named ", change.Region.Value));
  auto added = std::count_if(change.Blocks.begin(), change.Blocks.end(), [&](const BlockId &it) {
    return find(Current.Blocks, it) == nullptr;
  });
  if (Current.Blocks.size() + static_cast<size_t>(added) > MaxBlocks)
    return invalid(concat("more than ", MaxBlocks, " blocks"));
  for (const BlockId &block : change.Blocks) {
    Outcome failure;
    if (!mayReplace<BlockRecord>(block, failure))
      return failure;
    put(BlockRecord{block, change.Region, {}});
  }
  return accepted(change.Blocks.front().Value);
}

Outcome ChangeEvaluator::operator()(const DeleteBlocks &change) {
  if (std::string error = checkBlocks(change.Blocks); !error.empty())
    return invalid(error);
  for (const BlockId &block : change.Blocks) {
    Outcome failure;
    if (findExpected<BlockRecord>(block, failure) == nullptr)
      return failure;
    remove<BlockRecord>(block);
  }
  return accepted(change.Blocks.front().Value);
}

} // namespace briarspar::config
