#pragma once

#include "absl/status/statusor.h"
#include "core/Codec.h"
#include "core/Hash.h"
#include "core/Ids.h"
#include "moves/DrainTracker.h"
#include "moves/VersionStats.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::daemon {

/// Outcomes of requests at the targets of one region.
struct RegionOutcomes {
  core::RegionId Region;
  uint64_t Good = 0;
  uint64_t Failed = 0;
};

/// Measurements of a VM since its previous renewal. Sent as the attachment of a renewal.
struct VmReport {
  std::vector<moves::VersionStats> Stats;      ///< For routes with a running version move.
  std::vector<moves::InFlightReport> InFlight; ///< For running drains.
  std::vector<RegionOutcomes> Regions;         ///< Excludes new versions of running moves.
  uint64_t Finished = 0;                       ///< Requests that a target answered.
  uint64_t BusyMs = 0;                         ///< Sum of their latencies at targets, in ms.
  uint64_t IntervalMs = 0;                     ///< Length of the measured interval, in ms.
  uint64_t ExcludedDigest = 0;                 ///< Digest of the excluded VMs known to it.
};

/// State that the leader sends to a VM with a renewal answer.
struct LeaderReport {
  core::Term Term; ///< The leader's term, to be used in slot reports.
  /// VMs that lookups must not return: leaving, suspect or dead. Omitted if known to the VM.
  std::optional<std::vector<core::VmId>> Excluded;
  std::string Crashes; ///< Encoded balance::CrashReport; empty if there are no crashes.
};

void to_json(core::Json &j, const RegionOutcomes &outcomes);
void from_json(const core::Json &j, RegionOutcomes &outcomes);

/// Returns a digest of the excluded VMs, which must be sorted by id. 0 if there are none.
template <class Vms> uint64_t excludedDigest(const Vms &excluded) {
  uint64_t digest = 0;
  for (const core::VmId &vm : excluded)
    digest = core::hash64(vm.Value, digest);
  return digest;
}

void from_json(const core::Json &j, VmReport &report);
void from_json(const core::Json &j, LeaderReport &report);

std::string encode(const VmReport &report);
std::string encode(const LeaderReport &report);
absl::StatusOr<VmReport> decodeVmReport(std::string_view bytes);
absl::StatusOr<LeaderReport> decodeLeaderReport(std::string_view bytes);

} // namespace briarspar::daemon
