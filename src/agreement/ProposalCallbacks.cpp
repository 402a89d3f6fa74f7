#include "agreement/ProposalCallbacks.h"

#include <utility>

namespace briarspar::agreement {

void ProposalCallbacks::complete(absl::Span<const ProposalResult> results) {
  for (const ProposalResult &result : results) {
    auto it = Callbacks.find(result.Index);
    if (it == Callbacks.end())
      continue;
    Callback callback = std::move(it->second);
    Callbacks.erase(it);
    callback(result.Answer);
  }
}

} // namespace briarspar::agreement
