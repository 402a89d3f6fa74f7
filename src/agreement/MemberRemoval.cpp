#include "agreement/MemberRemoval.h"

#include <algorithm>

namespace briarspar::agreement {

std::optional<VoterId> selectRemoval(absl::Span<const MemberContact> members,
                                     const MemberRemovalSettings &settings) {
  const MemberContact *longest = nullptr;
  size_t voters = 0;
  size_t heard = 0;
  for (const MemberContact &it : members) {
    bool isSilent = it.Silence >= settings.Timeout;
    if (!it.IsVoter && isSilent)
      return it.Id;
    if (!it.IsVoter)
      continue;
    ++voters;
    if (!isSilent)
      ++heard;
    else if (longest == nullptr || it.Silence > longest->Silence)
      longest = &it;
  }
  const size_t required = 2 * settings.BorneLosses + 1;
  if (longest == nullptr || voters <= required)
    return std::nullopt;
  const size_t remaining = voters - 1;
  return heard > remaining / 2 ? std::optional(longest->Id) : std::nullopt;
}

} // namespace briarspar::agreement
