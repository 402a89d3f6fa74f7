#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "link/Messages.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace briarspar::control {

struct ProcessNoticeRelaySettings {
  /// A notice that repeats the last one on its target is passed on again after this time, as the
  /// message with the first one may have been lost.
  core::Duration RepeatInterval{300};
  /// Ends of a cold time that differ by less than this are the same.
  core::Duration ColdTolerance{400};
  /// Notices are kept for this long. Then the target list shows what they told.
  core::Duration Retention{5000};
};

/// Decides which notices on target processes the leader passes on to all entry VMs. Many VMs notice
/// the end of a process at the same time; one notice on it is passed on. Performs no I/O. Not
/// thread-safe.
class ProcessNoticeRelay {
public:
  explicit ProcessNoticeRelay(const ProcessNoticeRelaySettings &settings = {})
      : Settings(settings) {}

  /// Forgets all notices, at the start of a term.
  void clear() {
    Latest.clear();
    Pending.clear();
  }

  /// Records notices of one VM. Those that tell the other VMs something new are kept for take().
  void receive(absl::Span<const link::ProcessNotice> notices, core::Time now);

  bool hasPending() const { return !Pending.empty(); }

  /// Returns the notices to pass on to all entry VMs.
  std::vector<link::ProcessNotice> take(core::Time now);

  /// Returns the current notices, for a VM that has just joined.
  std::vector<link::ProcessNotice> current(core::Time now);

private:
  struct Notice {
    link::ProcessFact Fact = link::ProcessFact::MayHaveEnded;
    core::Time At;  ///< Arrival.
    core::Time Ref; ///< When the process was last known to run, or when it ceases to be cold.
  };

  static bool isDoubt(link::ProcessFact fact);
  bool isNew(const Notice &notice, uint32_t target) const;
  static link::ProcessNotice encode(uint32_t target, const Notice &notice, core::Time now);

  const ProcessNoticeRelaySettings Settings;
  std::unordered_map<uint32_t, Notice> Latest; ///< By link::targetKey().
  std::vector<uint32_t> Pending;               ///< Keys of the notices to pass on.
};

} // namespace briarspar::control
