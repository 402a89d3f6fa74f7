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

/// How requests at the targets of one region ended.
struct RegionOutcomes {
  core::RegionId Region;
  uint64_t Good = 0;
  uint64_t Failed = 0;
};

/// What a VM measured since its previous renewal. Travels as the renewal's attachment.
struct VmReport {
  std::vector<moves::VersionStats> Stats;      ///< For routes with a running version move.
  std::vector<moves::InFlightReport> InFlight; ///< For running drains.
  std::vector<RegionOutcomes> Regions;         ///< Without versions under trial.
  uint64_t Finished = 0;                       ///< Requests that a target answered.
  uint64_t BusyMs = 0;                         ///< Sum of their times at targets, in ms.
  uint64_t IntervalMs = 0;                     ///< Length of the span measured, in ms.
  uint64_t ExcludedDigest = 0;                 ///< Of the excluded VMs that it knows of.
};

/// What the leader tells a VM with a renewal answer.
struct LeaderReport {
  core::Term Term; ///< The leader's term; addresses slot reports.
  /// VMs that look-ups must not name: leaving, suspect or dead. Nothing when the VM knows them.
  std::optional<std::vector<core::VmId>> Excluded;
  std::string Crashes; ///< Encoded balance::CrashReport; empty when unchanged.
};

void to_json(core::Json &j, const RegionOutcomes &outcomes);
void from_json(const core::Json &j, RegionOutcomes &outcomes);

/// Digest of excluded VMs in order of id. 0 for none.
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
