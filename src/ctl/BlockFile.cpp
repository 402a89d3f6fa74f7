#include "ctl/BlockFile.h"

#include "config/Command.h"
#include "config/Text.h"
#include "config/Validation.h"
#include "operator_language/Parser.h"

#include <istream>
#include <sstream>

namespace briarspar::ctl {

using config::concat;

namespace {

/// Part of a statement that is left for the region, the words and a command id.
constexpr size_t ReservedBytes = 256;
constexpr std::string_view NoRegion = "-";

} // namespace

absl::Status BlockFile::readLine() {
  std::string text;
  while (Block.empty() && std::getline(In, text)) {
    ++Line;
    std::istringstream words(text);
    std::string rest;
    if (!(words >> Block) || Block[0] == '#') {
      Block.clear();
      continue;
    }
    std::string wrong = config::checkBlock(Block);
    if (wrong.empty() && (!(words >> Region) || words >> rest))
      wrong = "expected PREFIX REGION or PREFIX -";
    if (wrong.empty() && Region != NoRegion)
      wrong = config::checkName("region", Region);
    if (!wrong.empty())
      return absl::InvalidArgumentError(concat("line ", Line, ": ", wrong));
  }
  return absl::OkStatus();
}

absl::StatusOr<std::string> BlockFile::next() {
  if (absl::Status status = readLine(); !status.ok())
    return status;
  if (Block.empty())
    return std::string();
  First = Line;
  std::string region = Region;
  std::string blocks;
  for (size_t n = 0; n < config::MaxBlocksPerCommand; ++n) {
    if (Block.empty() || Region != region ||
        blocks.size() + Block.size() + ReservedBytes > operator_language::MaxStatementBytes)
      break;
    blocks += (blocks.empty() ? "" : ",") + Block;
    Block.clear();
    if (absl::Status status = readLine(); !status.ok())
      return status;
  }
  return region == NoRegion ? concat("delete block ", blocks)
                            : concat("set block ", blocks, " region ", region);
}

} // namespace briarspar::ctl
