#pragma once

#include "absl/status/statusor.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarspar::transport {

/// Version of the frame layout. A receiver refuses every other version.
constexpr uint32_t FrameVersion = 1;

/// One message between two processes of the system.
struct PeerMessage {
  core::VmId From;
  core::Incarnation FromIncarnation;
  core::VmId To;
  std::string Kind; ///< Message type, such as "append" or "renew".
  core::Json Body;
};

/// Authenticates the frames of one connection. Each side contributes a random nonce, which is part
/// of every MAC, so that a frame recorded on one connection is not valid on another; the sequence
/// number makes a repeated frame on the same connection invalid.
class FrameCodec {
public:
  /// `secret` is shared by all processes of the system.
  FrameCodec(std::string secret, core::CodecLimits limits = {});

  void setNonces(std::string local, std::string remote);

  /// Encodes the next frame to send on this connection.
  std::string encode(const PeerMessage &message);

  /// Checks and decodes a received frame. Returns Unauthenticated for a wrong MAC, a repeated or
  /// reordered frame or a wrong receiver, and InvalidArgument for malformed bytes or another
  /// version.
  absl::StatusOr<PeerMessage> decode(std::string_view bytes, const core::VmId &self);

private:
  std::string macOf(std::string_view payload, std::string_view receiverNonce,
                    std::string_view senderNonce) const;

  std::string Secret;
  core::CodecLimits Limits;
  std::string LocalNonce;
  std::string RemoteNonce;
  uint64_t SentSequence = 0;
  uint64_t ReceivedSequence = 0;
};

/// Returns `size` random bytes as hexadecimal text, from the cryptographic random source.
std::string randomHex(size_t size);

} // namespace briarspar::transport
