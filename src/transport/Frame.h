#pragma once

#include "absl/status/statusor.h"
#include "absl/types/span.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::transport {

/// Version of the handshake and of the frame layout. A receiver refuses every other version.
constexpr uint32_t FrameVersion = 2;

/// Bytes of the MAC in a frame: HMAC-SHA256 cut to its first 16. A guess succeeds with a
/// probability of 2^-128, and the first wrong frame closes the connection.
constexpr size_t MacBytes = 16;

/// Bytes that a frame adds to the body: the number of the kind and the MAC.
constexpr size_t FrameOverhead = 1 + MacBytes;

/// One message between two processes of the system.
struct PeerMessage {
  core::VmId From;
  core::Incarnation FromIncarnation;
  std::string Kind; ///< Message type, such as "raft" or "renewal".
  std::string Body; ///< Encoded by the slice that owns the kind.
};

/// Names of the message types. The index of a name is its number on the wire.
using KindTable = std::vector<std::string_view>;

/// The first message of each side of a connection: who it is, once for all frames that follow.
struct Hello {
  core::VmId Vm;
  core::Incarnation Incarnation;
  std::string Nonce; ///< Random hexadecimal text, fresh for each connection.
};

/// Length of a nonce as text.
constexpr size_t NonceLength = 32;

std::string encodeHello(const Hello &hello);

/// Returns InvalidArgument for malformed text or another version.
absl::StatusOr<Hello> decodeHello(std::string_view text);

/// Authenticates the frames of one connection: kind (1 byte), body, MAC. Each direction has its own
/// MAC key, which is derived from the shared secret and both hellos. A frame of another connection,
/// of another sender or to another receiver therefore has a wrong MAC. The sequence number of a
/// frame is an input of its MAC and is not sent, so a repeated, reordered or omitted frame is
/// refused.
class FrameCodec {
public:
  /// `secret` is shared by all processes of the system. `kinds` must outlive the codec.
  FrameCodec(std::string_view secret, const KindTable &kinds, const Hello &local,
             const Hello &remote);

  /// Encodes the next frame to send on this connection. The kind must be in the table.
  std::string encode(std::string_view kind, std::string_view body);

  /// Checks and decodes a received frame. Returns Unauthenticated for a wrong MAC or a frame out of
  /// sequence, and InvalidArgument for a short frame or an unknown kind.
  absl::StatusOr<PeerMessage> decode(std::string_view bytes);

private:
  using Digest = std::array<unsigned char, 32>;

  static Digest hmac(std::string_view key, std::string_view bytes);
  static std::string macOf(const std::string &key, uint64_t sequence, std::string_view bytes);

  const KindTable &Kinds;
  Hello Remote;
  std::string SendKey;
  std::string ReceiveKey;
  uint64_t SentSequence = 0;
  uint64_t ReceivedSequence = 0;
};

/// Returns `size` random bytes as hexadecimal text, from the cryptographic random source.
std::string randomHex(size_t size);

} // namespace briarspar::transport
