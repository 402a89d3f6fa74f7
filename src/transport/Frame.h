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

/// Version of the handshake and of the frame layout. A receiver rejects every other version.
constexpr uint32_t FrameVersion = 2;

/// Size of the MAC in a frame: HMAC-SHA256 truncated to 16 bytes. A forged MAC is valid with a
/// probability of 2^-128, and the first invalid frame closes the connection.
constexpr size_t MacBytes = 16;

/// Bytes that a frame adds to the body: the number of the message type and the MAC.
constexpr size_t FrameOverhead = 1 + MacBytes;

/// A message between two processes of the system.
struct PeerMessage {
  core::VmId From;
  core::Incarnation FromIncarnation;
  std::string Kind; ///< Message type, such as "raft" or "renewal".
  std::string Body; ///< Encoded by the component that defines the type.
};

/// Names of the message types. The index of a name is its number on the wire.
using KindTable = std::vector<std::string_view>;

/// First message of each side of a connection. It identifies the sender of all frames that follow.
struct Hello {
  core::VmId Vm;
  core::Incarnation Incarnation;
  std::string Nonce; ///< Random hexadecimal digits, different for each connection.
};

/// Length of a nonce in hexadecimal digits.
constexpr size_t NonceLength = 32;

std::string encodeHello(const Hello &hello);

/// Returns InvalidArgument for malformed text or an unsupported version.
absl::StatusOr<Hello> decodeHello(std::string_view text);

/// Encodes and authenticates the frames of one connection: message type (1 byte), body, MAC. Each
/// direction has its own MAC key, derived from the shared secret and both hellos, so the MAC of a
/// frame from another connection, another sender or to another receiver is invalid. The sequence
/// number of a frame is part of the MAC input and is not sent, so repeated, reordered and omitted
/// frames are rejected.
class FrameCodec {
public:
  /// `secret` is shared by all processes of the system. `kinds` must outlive the codec.
  FrameCodec(std::string_view secret, const KindTable &kinds, const Hello &local,
             const Hello &remote);

  /// Encodes the next frame of this connection. `kind` must be in the table.
  std::string encode(std::string_view kind, std::string_view body);

  /// Authenticates and decodes a received frame. Returns Unauthenticated for an invalid MAC or a
  /// frame out of sequence, and InvalidArgument for a short frame or an unknown message type.
  absl::StatusOr<PeerMessage> decode(std::string_view bytes);

private:
  using Digest = std::array<unsigned char, 32>;

  static Digest hmac(std::string_view key, std::string_view bytes);
  static std::string computeMac(const std::string &key, uint64_t sequence, std::string_view bytes);

  const KindTable &Kinds;
  Hello Remote;
  std::string SendKey;
  std::string ReceiveKey;
  uint64_t SentSequence = 0;
  uint64_t ReceivedSequence = 0;
};

/// Returns `size` bytes from the cryptographic random source as hexadecimal digits.
std::string randomHex(size_t size);

} // namespace briarspar::transport
