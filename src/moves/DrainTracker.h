#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>

namespace briarspar::moves {

/// Number of requests that one VM has in flight on the drained object.
struct InFlightReport {
  core::VmId Source;
  core::Incarnation SourceIncarnation;
  /// Increases within an incarnation; reports with a lower value are ignored.
  uint64_t Sequence = 0;
  core::MoveId Move;
  /// The VM applied the drain before it took the count, and has assigned no work since.
  bool AppliedDrain = false;
  uint64_t InFlight = 0;
};

void to_json(core::Json &j, const InFlightReport &report);
void from_json(const core::Json &j, InFlightReport &report);

struct DrainSettings {
  core::Duration Propagation{3'000}; ///< Delay from commit until every VM has applied the drain.
  core::Duration MaxRequestDuration{60'000}; ///< Longest deadline of any route.
  core::Duration LookupTtl{0}; ///< Time for which callers may use cached lookups; 0 for targets.
};

/// Determines when a drain has no work left in flight. It never cancels work. Requests of a VM that
/// died may still run on the target, so they count until the longest deadline has passed. Not
/// thread-safe.
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
  /// Requests in flight according to the last reports, and the number of VMs without a report.
  uint64_t inFlight() const;
  uint64_t unreportedVms() const;

private:
  struct Vm {
    core::Incarnation Incarnation;
    uint64_t Sequence = 0;
    bool EverReported = false; // Has reported in any incarnation.
    bool Reported = false;     // Has reported in the current incarnation.
    bool Expired = false;
    uint64_t InFlight = 0;
    core::Time EarlierWorkEndsAt; // Upper bound for work of earlier or expired incarnations.
  };

  DrainSettings Settings;
  core::Time CommittedAt;
  std::map<core::VmId, Vm> Vms;
};

} // namespace briarspar::moves
