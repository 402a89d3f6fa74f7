#include "transport/Frame.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cassert>

namespace briarspar::transport {

namespace {

using core::Json;

/// Maximum size of an encoded hello. VM names are far shorter.
constexpr size_t MaxHelloBytes = 1024;

/// The number of a message type is sent in one byte.
constexpr size_t MaxMessageTypes = 256;

bool equalInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::string encodeHello(const Hello &hello) {
  return Json{
      {"v", FrameVersion}, {"vm", hello.Vm}, {"run", hello.Incarnation}, {"nonce", hello.Nonce}}
      .dump();
}

absl::StatusOr<Hello> decodeHello(std::string_view text) {
  if (text.size() > MaxHelloBytes)
    return absl::InvalidArgumentError("handshake is too long");
  try {
    Json j = Json::parse(text);
    if (j.at("v").get<uint32_t>() != FrameVersion)
      return absl::InvalidArgumentError("handshake has an unknown version");
    Hello hello;
    j.at("vm").get_to(hello.Vm);
    j.at("run").get_to(hello.Incarnation);
    j.at("nonce").get_to(hello.Nonce);
    if (hello.Vm.empty() || hello.Nonce.size() != NonceLength)
      return absl::InvalidArgumentError("handshake lacks a VM name or a valid nonce");
    return hello;
  } catch (const nlohmann::json::exception &) {
    return absl::InvalidArgumentError("handshake is malformed");
  }
}

FrameCodec::FrameCodec(std::string_view secret, const KindTable &kinds, const Hello &local,
                       const Hello &remote)
    : Kinds(kinds), Remote(remote) {
  assert(kinds.size() <= MaxMessageTypes && "the number of a message type must fit in one byte");
  auto deriveKey = [&](const Hello &sender, const Hello &receiver) {
    // The JSON array is unambiguous: no other pair of hellos has the same encoding.
    Digest key = hmac(secret, Json::array({encodeHello(sender), encodeHello(receiver)}).dump());
    return std::string(key.begin(), key.end());
  };
  SendKey = deriveKey(local, remote);
  ReceiveKey = deriveKey(remote, local);
}

FrameCodec::Digest FrameCodec::hmac(std::string_view key, std::string_view bytes) {
  Digest digest{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data(), &n);
  assert(n == digest.size() && "SHA-256 gives 32 bytes");
  return digest;
}

std::string FrameCodec::computeMac(const std::string &key, uint64_t sequence,
                                   std::string_view bytes) {
  std::string input;
  input.reserve(sizeof(sequence) + bytes.size());
  for (int shift = 56; shift >= 0; shift -= 8)
    input.push_back(static_cast<char>(sequence >> shift));
  input.append(bytes);
  Digest digest = hmac(key, input);
  return std::string(digest.begin(), digest.begin() + MacBytes);
}

std::string FrameCodec::encode(std::string_view kind, std::string_view body) {
  auto it = std::find(Kinds.begin(), Kinds.end(), kind);
  assert(it != Kinds.end() && "the message type must be in the table");
  std::string frame;
  frame.reserve(body.size() + FrameOverhead);
  frame.push_back(static_cast<char>(it - Kinds.begin()));
  frame.append(body);
  frame.append(computeMac(SendKey, ++SentSequence, frame));
  return frame;
}

absl::StatusOr<PeerMessage> FrameCodec::decode(std::string_view bytes) {
  if (bytes.size() < FrameOverhead)
    return absl::InvalidArgumentError("frame is too short");
  std::string_view authenticated = bytes.substr(0, bytes.size() - MacBytes);
  std::string expected = computeMac(ReceiveKey, ReceivedSequence + 1, authenticated);
  if (!equalInConstantTime(bytes.substr(authenticated.size()), expected))
    return absl::UnauthenticatedError("frame has an invalid MAC or is out of sequence");
  auto kind = static_cast<unsigned char>(bytes.front());
  if (kind >= Kinds.size())
    return absl::InvalidArgumentError("frame has an unknown message type");
  ++ReceivedSequence;
  return PeerMessage{Remote.Vm, Remote.Incarnation, std::string(Kinds[kind]),
                     std::string(authenticated.substr(1))};
}

std::string randomHex(size_t size) {
  std::vector<unsigned char> buf(size);
  int ok = RAND_bytes(buf.data(), static_cast<int>(size));
  assert(ok == 1 && "the cryptographic random source must work");
  (void)ok;
  static const char digits[] = "0123456789abcdef";
  std::string out;
  for (unsigned char byte : buf) {
    out.push_back(digits[byte >> 4]);
    out.push_back(digits[byte & 15]);
  }
  return out;
}

} // namespace briarspar::transport
