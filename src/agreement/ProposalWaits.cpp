#include "agreement/ProposalWaits.h"

#include <utility>

namespace briarspar::agreement {

void ProposalWaits::settle(absl::Span<const ProposalResult> results) {
  for (const ProposalResult &result : results) {
    auto it = Waiting.find(result.Index);
    if (it == Waiting.end())
      continue;
    Done done = std::move(it->second);
    Waiting.erase(it);
    done(result.Answer);
  }
}

} // namespace briarspar::agreement
