#include "transport/Frame.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cassert>

namespace briarspar::transport {

namespace {

using core::Json;

Json payloadOf(const PeerMessage &message, uint64_t sequence) {
  return {{"from", message.From}, {"inc", message.FromIncarnation}, {"to", message.To},
          {"seq", sequence},      {"kind", message.Kind},           {"body", message.Body}};
}

bool equalBytes(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

PeerMessage messageFrom(const Json &payload) {
  PeerMessage message;
  payload.at("from").get_to(message.From);
  payload.at("inc").get_to(message.FromIncarnation);
  payload.at("to").get_to(message.To);
  payload.at("kind").get_to(message.Kind);
  message.Body = payload.at("body");
  return message;
}

} // namespace

FrameCodec::FrameCodec(std::string secret, core::CodecLimits limits)
    : Secret(std::move(secret)), Limits(limits) {}

void FrameCodec::setNonces(std::string local, std::string remote) {
  LocalNonce = std::move(local);
  RemoteNonce = std::move(remote);
}

std::string FrameCodec::macOf(std::string_view payload, std::string_view receiverNonce,
                              std::string_view senderNonce) const {
  std::string input;
  input.reserve(payload.size() + receiverNonce.size() + senderNonce.size());
  input.append(receiverNonce).append(senderNonce).append(payload);
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(input.data()), input.size(), buf.data(), &n);
  return std::string(reinterpret_cast<const char *>(buf.data()), n);
}

std::string FrameCodec::encode(const PeerMessage &message) {
  std::string payload = core::encodeCbor(payloadOf(message, ++SentSequence));
  std::string mac = macOf(payload, RemoteNonce, LocalNonce);
  Json frame = {{"v", FrameVersion}};
  frame["mac"] = Json::binary(std::vector<uint8_t>(mac.begin(), mac.end()));
  frame["payload"] = Json::binary(std::vector<uint8_t>(payload.begin(), payload.end()));
  return core::encodeCbor(frame);
}

absl::StatusOr<PeerMessage> FrameCodec::decode(std::string_view bytes, const core::VmId &self) {
  absl::StatusOr<Json> frame = core::decodeCbor(bytes, Limits);
  if (!frame.ok())
    return frame.status();
  try {
    if (frame->at("v").get<uint32_t>() != FrameVersion)
      return absl::InvalidArgumentError("frame has an unknown version");
    const auto &mac = frame->at("mac").get_binary();
    const auto &body = frame->at("payload").get_binary();
    std::string payload(body.begin(), body.end());
    if (!equalBytes(std::string(mac.begin(), mac.end()), macOf(payload, LocalNonce, RemoteNonce)))
      return absl::UnauthenticatedError("frame has a wrong MAC");
    absl::StatusOr<Json> decoded = core::decodeCbor(payload, Limits);
    if (!decoded.ok())
      return decoded.status();
    uint64_t sequence = decoded->at("seq").get<uint64_t>();
    if (sequence <= ReceivedSequence)
      return absl::UnauthenticatedError("frame was received before");
    PeerMessage message = messageFrom(*decoded);
    if (message.To != self)
      return absl::UnauthenticatedError("frame is addressed to another VM");
    ReceivedSequence = sequence;
    return message;
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
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
