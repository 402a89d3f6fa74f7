#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarspar::lease {

/// Sent by a VM to the leader to obtain or extend its serving lease.
struct Renewal {
  core::VmId Vm;
  core::Incarnation Inc;
  uint64_t Sequence = 0;       ///< Increases with every renewal of one incarnation; starts at 1.
  uint64_t LastAnswered = 0;   ///< Highest sequence whose granting answer was received; 0: none.
  core::ConfigVersion Applied; ///< Configuration version in force at the VM.
  uint64_t Digest = 0;         ///< Digest of that version.
  bool Draining = false;       ///< The VM prepares a planned stop.
  bool NeedsFullState = false; ///< The last update could not be applied; a delta is no use.
  std::string Attachment;      ///< CBOR reports of other slices, opaque here; may be empty.
};

/// What the leader decided about a renewal.
enum class RenewalResult : uint8_t {
  Granted = 0,
  NotLeader = 1, ///< This replica holds no leader lease; ask another one.
  Fenced = 2,    ///< A newer incarnation of the VM exists; this process must stop serving.
  Busy = 3,      ///< Too many full states in this second; ask again after RetryAfter.
  Stale = 4,     ///< Duplicated or reordered renewal; a newer one was answered.
};

/// Answer of the leader to one renewal.
struct RenewalAnswer {
  core::VmId Vm;
  core::Incarnation Inc;
  uint64_t Sequence = 0; ///< Sequence of the renewal that is answered.
  RenewalResult Result = RenewalResult::NotLeader;
  core::Duration Length;       ///< Lease length, measured by the VM from its send time.
  core::Duration RetryAfter;   ///< For Busy only.
  core::ConfigVersion Version; ///< Version that must be in force before the lease is extended.
  uint64_t Digest = 0;         ///< Digest of that version.
  std::string Update;          ///< Bytes that lead to Version; empty if the VM has it already.
  std::string Attachment;      ///< CBOR answers of other slices, opaque here; may be empty.
};

/// CBOR form of the messages: an array of members in the order of the structure, without the names,
/// because every VM sends two a second.
std::string encode(const Renewal &renewal);
std::string encode(const RenewalAnswer &answer);

/// Decoding returns InvalidArgument for a malformed message and ResourceExhausted beyond the
/// limits.
absl::StatusOr<Renewal> decodeRenewal(std::string_view bytes, const core::CodecLimits &limits = {});
absl::StatusOr<RenewalAnswer> decodeRenewalAnswer(std::string_view bytes,
                                                  const core::CodecLimits &limits = {});

} // namespace briarspar::lease
