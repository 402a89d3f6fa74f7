#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarspar::lease {

/// Request of a VM to the leader to obtain or extend its serving lease.
struct Renewal {
  core::VmId Vm;
  core::Incarnation Inc;
  uint64_t Sequence = 0;       ///< Increases with every renewal of an incarnation; starts at 1.
  uint64_t LastAnswered = 0;   ///< Highest sequence for which a grant was received; 0: none.
  core::ConfigVersion Applied; ///< Configuration version in force at the VM.
  uint64_t Digest = 0;         ///< Digest of that version.
  bool Draining = false;       ///< The VM is draining before a planned stop.
  bool NeedsFullState = false; ///< The last update failed; a delta cannot be applied.
  std::string Attachment; ///< CBOR reports of other modules, not interpreted here; may be empty.
};

/// Result of a renewal.
enum class RenewalResult : uint8_t {
  Granted = 0,
  NotLeader = 1, ///< This replica holds no leader lease; try another one.
  Fenced = 2,    ///< A newer incarnation of the VM exists; this process must stop serving.
  Busy = 3,      ///< Limit of full states per second reached; retry after RetryAfter.
  Stale = 4,     ///< Duplicate or reordered renewal; a newer one was answered.
};

/// Response to a renewal.
struct RenewalResponse {
  core::VmId Vm;
  core::Incarnation Inc;
  uint64_t Sequence = 0; ///< Sequence of the answered renewal.
  RenewalResult Result = RenewalResult::NotLeader;
  core::Duration Length;       ///< Lease length, counted from the send time of the renewal.
  core::Duration RetryAfter;   ///< For Busy only.
  core::ConfigVersion Version; ///< Version that must be in force before the lease is extended.
  uint64_t Digest = 0;         ///< Digest of that version.
  std::string Update;          ///< Encoded update to Version; empty if the VM has that version.
  std::string Attachment; ///< CBOR responses of other modules, not interpreted here; may be empty.
};

/// Encodes a message as a CBOR array of its members in declaration order. Names are omitted to keep
/// messages small, because every VM sends two renewals a second.
std::string encode(const Renewal &renewal);
std::string encode(const RenewalResponse &answer);

/// Decoding returns InvalidArgument for a malformed message and ResourceExhausted beyond the
/// limits.
absl::StatusOr<Renewal> decodeRenewal(std::string_view bytes, const core::CodecLimits &limits = {});
absl::StatusOr<RenewalResponse> decodeRenewalResponse(std::string_view bytes,
                                                      const core::CodecLimits &limits = {});

} // namespace briarspar::lease
