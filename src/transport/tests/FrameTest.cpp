#include "transport/Frame.h"
#include "core/testing/Property.h"

#include <string>
#include <vector>

using namespace briarspar;
using transport::FrameCodec;
using transport::Hello;
using transport::KindTable;
using transport::PeerMessage;

namespace {

constexpr const char *Secret = "a secret of the whole fleet";

const KindTable Kinds{"raft", "renewal"};

Hello helloOf(const std::string &vm, char nonce) {
  return {core::VmId(vm), core::Incarnation(1), std::string(transport::NonceLength, nonce)};
}

/// The codecs of both sides of a connection.
struct Pair {
  Hello A = helloOf("a", '1');
  Hello B = helloOf("b", '2');
  FrameCodec Sender{Secret, Kinds, A, B};
  FrameCodec Receiver{Secret, Kinds, B, A};

  std::string encode(const std::string &body = "body") { return Sender.encode("renewal", body); }
};

bool isRejected(FrameCodec &receiver, const std::string &bytes) {
  return absl::IsUnauthenticated(receiver.decode(bytes).status());
}

} // namespace

Test(Frame, roundTrip) {
  Pair pair;
  auto received = pair.Receiver.decode(pair.encode());
  cr_assert(received.ok());
  cr_assert(received->Kind == "renewal" && received->Body == "body");
  cr_assert(received->From == core::VmId("a") && received->FromIncarnation.Value == 1);
}

/// A process without the shared secret must not be able to send frames.
Test(Frame, forgedFrameIsRejected) {
  Pair pair;
  FrameCodec forger("another secret", Kinds, pair.A, pair.B);
  cr_assert(isRejected(pair.Receiver, forger.encode("renewal", "body")));
}

/// Frames replayed, reordered or omitted on the same connection must be rejected.
Test(Frame, frameOutOfSequenceIsRejected) {
  Pair pair;
  std::string first = pair.encode();
  std::string second = pair.encode();
  cr_assert(isRejected(pair.Receiver, second));
  cr_assert(pair.Receiver.decode(first).ok());
  cr_assert(isRejected(pair.Receiver, first));
  cr_assert(pair.Receiver.decode(second).ok());
}

/// A frame recorded on one connection must not be accepted on another.
Test(Frame, frameOfAnotherConnectionIsRejected) {
  Pair pair;
  FrameCodec receiver(Secret, Kinds, helloOf("b", '3'), pair.A);
  cr_assert(isRejected(receiver, pair.encode()));
}

/// A frame reflected to its sender must be rejected.
Test(Frame, reflectedFrameIsRejected) {
  Pair pair;
  cr_assert(isRejected(pair.Sender, pair.encode()));
}

/// If the name or incarnation of either side is altered in the handshake, frames must be rejected.
/// Otherwise a message could be attributed to another sender or accepted by another receiver.
Test(Frame, changedHandshakeIsRejected) {
  Pair pair;
  Hello otherRun = pair.A;
  otherRun.Incarnation = core::Incarnation(2);
  for (const Hello &sender : {helloOf("c", '1'), otherRun}) {
    FrameCodec receiver(Secret, Kinds, pair.B, sender);
    cr_expect(isRejected(receiver, Pair().encode()));
  }
  FrameCodec otherReceiver(Secret, Kinds, helloOf("c", '2'), pair.A);
  cr_expect(isRejected(otherReceiver, pair.encode()));
}

/// A message type that only a newer version has must not be mistaken for a known one.
Test(Frame, unknownMessageTypeIsRejected) {
  Pair pair;
  const KindTable newer{"raft", "renewal", "newer"};
  FrameCodec sender(Secret, newer, pair.A, pair.B);
  cr_assert(absl::IsInvalidArgument(pair.Receiver.decode(sender.encode("newer", "")).status()));
}

/// Handshakes of other versions must be rejected, including the bare nonce of version 1.
Test(Frame, otherHandshakesAreRejected) {
  std::string good = transport::encodeHello(helloOf("a", '1'));
  cr_assert(transport::decodeHello(good).ok());
  std::string version = "\"v\":2";
  std::string newer = good;
  newer.replace(newer.find(version), version.size(), "\"v\":3");
  std::string unnamed = transport::encodeHello(helloOf("", '1'));
  for (const std::string &text : {std::string(32, '1'), std::string(32, 'a'), newer, unnamed,
                                  std::string(), std::string("[]"), good + good})
    cr_expect_not(transport::decodeHello(text).ok(), "%s", text.c_str());
}

/// Malformed bytes must not terminate the process, and a frame with flipped bits must be rejected.
Test(Frame, damagedFrameIsRejected) {
  core::testing::checkProperty("no damaged frame is accepted", [] {
    Pair pair;
    std::string bytes = pair.encode();
    auto position = *rc::gen::inRange<size_t>(0, bytes.size());
    auto change = *rc::gen::inRange<int>(1, 256);
    bytes[position] = static_cast<char>(bytes[position] ^ change);
    RC_ASSERT(!pair.Receiver.decode(bytes).ok());
  });
  core::testing::checkProperty("arbitrary bytes are refused", [](const std::vector<uint8_t> &raw) {
    Pair pair;
    RC_ASSERT(!pair.Receiver.decode(std::string(raw.begin(), raw.end())).ok());
  });
}
