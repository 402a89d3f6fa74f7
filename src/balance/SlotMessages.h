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

/// Targets that can serve the same requests, for example the targets of one route.
using PoolId = core::StringId<struct PoolTag>;

/// Where a VM or target is.
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
  uint32_t Slots = 0; ///< Most requests in flight, summed over all VMs; 0 while it drains.
};

/// A VM tells the leader what it holds. A report replaces all earlier ones of its run.
struct SlotReport {
  core::VmId Vm;
  core::Incarnation Run;
  core::Term Leader;                       ///< The leader it is addressed to. Others ignore it.
  uint64_t Sequence = 0;                   ///< Increases within a run, over changes of leader too.
  core::Duration Uptime;                   ///< Since the process started.
  std::map<core::TargetId, uint32_t> Held; ///< Slots in use or usable; absent means none.
  std::map<core::TargetId, uint32_t>
      Usable;                        ///< Limits in force; a request may end after its limit.
  std::map<PoolId, uint32_t> Demand; ///< Slots wanted, in use included.
  std::set<core::TargetId> Avoided;  ///< Targets that the VM sends nothing to at present.
};

/// The leader's answer to one report. It replaces all limits of the holder.
struct SlotAnswer {
  core::VmId Vm;
  core::Incarnation Run;
  core::Term Leader;
  uint64_t AnswerTo = 0;                     ///< Sequence of the report.
  std::map<core::TargetId, uint32_t> Limits; ///< Absent means none.
};

/// Encode as CBOR.
std::string encode(const SlotReport &report);
std::string encode(const SlotAnswer &answer);

/// Decode from CBOR. Malformed or oversized bytes give an error status.
absl::StatusOr<SlotReport> decodeSlotReport(std::string_view bytes);
absl::StatusOr<SlotAnswer> decodeSlotAnswer(std::string_view bytes);

} // namespace briarspar::balance
