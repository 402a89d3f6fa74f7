#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace briarspar::balance {

/// A group of targets that can serve the same requests, for example the targets of one route.
using PoolId = core::StringId<struct PoolTag>;

/// Region and failure domain of a VM or target.
struct Locality {
  core::RegionId Region;
  core::DomainId Domain;
};

/// A target as the configuration describes it.
struct TargetInfo {
  core::TargetId Id;
  PoolId Pool;
  core::VersionId Version;
  Locality Where;
  uint32_t Slots = 0; ///< Maximum requests in flight over all VMs; 0 while it drains.
};

/// Report of a VM to the leader about the slots that it holds and wants. It replaces all earlier
/// reports of the same run.
struct SlotReport {
  core::VmId Vm;
  core::Incarnation Run;
  core::Term Leader;     ///< Term of the leader that it is addressed to. Other leaders ignore it.
  uint64_t Sequence = 0; ///< Increases within a run, also over changes of leader.
  core::Duration Uptime; ///< Since the process started.
  std::map<core::TargetId, uint32_t> Held; ///< Slots in use or usable; absent means 0.
  /// Limits in force. May be below Held, because a request can outlive its limit.
  std::map<core::TargetId, uint32_t> Usable;
  std::map<PoolId, uint32_t> Demand; ///< Slots wanted, including those in use.
  std::set<core::TargetId> Avoided;  ///< Targets that the VM currently sends no requests to.
};

/// Response of the leader to one report. It replaces all limits of the holder.
struct SlotResponse {
  core::VmId Vm;
  core::Incarnation Run;
  core::Term Leader;
  uint64_t ResponseTo = 0;                   ///< Sequence of the report.
  std::map<core::TargetId, uint32_t> Limits; ///< Absent means 0.
};

/// Encode as CBOR.
std::string encode(const SlotReport &report);
std::string encode(const SlotResponse &answer);

/// Decode from CBOR. Malformed or oversized input returns an error status.
absl::StatusOr<SlotReport> decodeSlotReport(std::string_view bytes);
absl::StatusOr<SlotResponse> decodeSlotResponse(std::string_view bytes);

} // namespace briarspar::balance
