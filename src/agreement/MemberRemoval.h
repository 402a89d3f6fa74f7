#pragma once

#include "absl/types/span.h"
#include "agreement/VoterId.h"
#include "core/Clock.h"

#include <cstddef>
#include <optional>

namespace briarspar::agreement {

struct MemberRemovalSettings {
  /// Voters that may be lost at once; a group of twice as many and one more bears that.
  size_t BorneLosses = 2;
  /// A member that has acknowledged nothing for this long may be removed. It rejoins by itself if
  /// it still runs.
  core::Duration Timeout{1200};
};

/// A member of the group as the leader sees it.
struct MemberContact {
  VoterId Id;
  bool IsVoter = false;
  core::Duration Silence; ///< Time since the newest message that it acknowledged.
};

/// Selects the member to remove next: the one that has been silent longest, if the rest of the
/// group is large enough without it. So a voter is removed only after another one has taken its
/// place, whichever of the silent ones that replaces, and a group that is no larger than required
/// keeps silent voters, which may return with their state. A silent learner is removed in any case,
/// because it prevents others from joining. Returns nothing while no member may be removed, or
/// while the voters that are heard would be no majority afterwards.
std::optional<VoterId> selectRemoval(absl::Span<const MemberContact> members,
                                     const MemberRemovalSettings &settings);

} // namespace briarspar::agreement
