#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>

namespace briarspar::moves {

/// Work that one VM has in flight on what a move drains.
struct InFlightReport {
  core::VmId Source;
  core::Incarnation SourceIncarnation;
  uint64_t Sequence = 0; ///< Increases within an incarnation; older reports are ignored.
  core::MoveId Move;
  /// The VM had applied the drain before it counted, and assigns nothing from then on.
  bool AppliedDrain = false;
  uint64_t InFlight = 0;
};

void to_json(core::Json &j, const InFlightReport &report);
void from_json(const core::Json &j, InFlightReport &report);

struct DrainSettings {
  core::Duration Propagation{3'000};         ///< From commit until every VM has applied the drain.
  core::Duration MaxRequestDuration{60'000}; ///< Longest route deadline.
  core::Duration LookupTtl{0}; ///< Time for which callers act on cached lookups; 0 for targets.
};

/// Decides when a drain has nothing left in flight. It never ends work: a VM that died may have
/// left requests running, so its share counts until the longest request has ended. Not thread-safe.
class DrainTracker {
public:
  /// `vms`: every VM that may have work in flight when the drain is committed.
  DrainTracker(const DrainSettings &settings, absl::Span<const core::VmId> vms,
               core::Time committedAt);

  void report(const InFlightReport &report, core::Time now);
  /// The serving lease of this VM has ended.
  void vmExpired(const core::VmId &vm, core::Time now);

  /// True while VMs that have not applied the drain may still assign work.
  bool mayAssign(core::Time now) const;
  /// True when no VM can assign work and none has any in flight.
  bool drained(core::Time now) const;
  /// Work last reported in flight, and the number of VMs that have not reported since the drain.
  uint64_t inFlight() const;
  uint64_t unreportedVms() const;

private:
  struct Vm {
    core::Incarnation Incarnation;
    uint64_t Sequence = 0;
    bool Known = false;    // Has reported in some incarnation.
    bool Reported = false; // Has reported in the present incarnation.
    bool Expired = false;
    uint64_t InFlight = 0;
    core::Time OthersEndAt; // When the work of earlier or expired incarnations has ended.
  };

  DrainSettings Settings;
  core::Time CommittedAt;
  std::map<core::VmId, Vm> Vms;
};

} // namespace briarspar::moves
