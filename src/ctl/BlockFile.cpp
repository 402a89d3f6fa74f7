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

/// Bytes of a statement reserved for the keywords, the region and a command id.
constexpr size_t ReservedBytes = 256;
constexpr std::string_view NoRegion = "-";

} // namespace

absl::Status BlockFile::readLine() {
  std::string text;
  while (PendingBlock.empty() && std::getline(In, text)) {
    ++LineNumber;
    std::istringstream words(text);
    std::string rest;
    if (!(words >> PendingBlock) || PendingBlock[0] == '#') {
      PendingBlock.clear();
      continue;
    }
    std::string error = config::checkBlock(PendingBlock);
    if (error.empty() && (!(words >> PendingRegion) || words >> rest))
      error = "expected PREFIX REGION or PREFIX -";
    if (error.empty() && PendingRegion != NoRegion)
      error = config::checkName("region", PendingRegion);
    if (!error.empty())
      return absl::InvalidArgumentError(concat("line ", LineNumber, ": ", error));
  }
  return absl::OkStatus();
}

absl::StatusOr<std::string> BlockFile::next() {
  if (absl::Status status = readLine(); !status.ok())
    return status;
  if (PendingBlock.empty())
    return std::string();
  FirstLine = LineNumber;
  std::string region = PendingRegion;
  std::string blocks;
  for (size_t n = 0; n < config::MaxBlocksPerCommand; ++n) {
    if (PendingBlock.empty() || PendingRegion != region ||
        blocks.size() + PendingBlock.size() + ReservedBytes > operator_language::MaxStatementBytes)
      break;
    blocks += (blocks.empty() ? "" : ",") + PendingBlock;
    PendingBlock.clear();
    if (absl::Status status = readLine(); !status.ok())
      return status;
  }
  return region == NoRegion ? concat("delete block ", blocks)
                            : concat("set block ", blocks, " region ", region);
}

} // namespace briarspar::ctl
