#include "transport/Frame.h"
#include "core/testing/Property.h"

#include <string>
#include <vector>

using namespace briarspar;
using transport::FrameCodec;
using transport::PeerMessage;

namespace {

constexpr const char *Secret = "a secret of the whole fleet";

/// Both ends of one connection.
struct Pair {
  FrameCodec Sender{Secret};
  FrameCodec Receiver{Secret};

  Pair() {
    Sender.setNonces("sender-nonce", "receiver-nonce");
    Receiver.setNonces("receiver-nonce", "sender-nonce");
  }
};

PeerMessage message() {
  return {core::VmId("a"), core::Incarnation(1), core::VmId("b"), "renewal", {{"n", 1}}};
}

bool isRejected(FrameCodec &receiver, const std::string &bytes) {
  return absl::IsUnauthenticated(receiver.decode(bytes, core::VmId("b")).status());
}

} // namespace

Test(Frame, roundTrip) {
  Pair pair;
  auto received = pair.Receiver.decode(pair.Sender.encode(message()), core::VmId("b"));
  cr_assert(received.ok());
  cr_assert(received->Kind == "renewal");
  cr_assert(received->Body["n"] == 1);
}

/// Guards against a process that does not know the secret.
Test(Frame, forgedFrameIsRejected) {
  Pair pair;
  FrameCodec forger("another secret");
  forger.setNonces("sender-nonce", "receiver-nonce");
  cr_assert(isRejected(pair.Receiver, forger.encode(message())));
}

/// Guards against a frame that is sent again on the same connection.
Test(Frame, repeatedFrameIsRejected) {
  Pair pair;
  std::string bytes = pair.Sender.encode(message());
  cr_assert(pair.Receiver.decode(bytes, core::VmId("b")).ok());
  cr_assert(isRejected(pair.Receiver, bytes));
}

/// Guards against a frame recorded on one connection and sent on another.
Test(Frame, frameOfAnotherConnectionIsRejected) {
  Pair first;
  std::string bytes = first.Sender.encode(message());
  FrameCodec receiver(Secret);
  receiver.setNonces("fresh-nonce", "sender-nonce");
  cr_assert(isRejected(receiver, bytes));
}

/// Guards against a frame that is reflected to its sender.
Test(Frame, reflectedFrameIsRejected) {
  Pair pair;
  std::string bytes = pair.Sender.encode(message());
  cr_assert(absl::IsUnauthenticated(pair.Sender.decode(bytes, core::VmId("b")).status()));
}

/// Guards against delivery to a process that the frame is not for.
Test(Frame, otherReceiverIsRejected) {
  Pair pair;
  auto received = pair.Receiver.decode(pair.Sender.encode(message()), core::VmId("c"));
  cr_assert(absl::IsUnauthenticated(received.status()));
}

/// Guards against malformed bytes that end the process, and against a changed byte that is
/// accepted.
Test(Frame, damagedFrameIsRejected) {
  core::testing::checkProperty("no damaged frame is accepted", [] {
    Pair pair;
    std::string bytes = pair.Sender.encode(message());
    auto position = *rc::gen::inRange<size_t>(0, bytes.size());
    auto change = *rc::gen::inRange<int>(1, 256);
    bytes[position] = static_cast<char>(bytes[position] ^ change);
    RC_ASSERT(!pair.Receiver.decode(bytes, core::VmId("b")).ok());
  });
  core::testing::checkProperty("arbitrary bytes are refused", [](const std::vector<uint8_t> &raw) {
    Pair pair;
    RC_ASSERT(!pair.Receiver.decode(std::string(raw.begin(), raw.end()), core::VmId("b")).ok());
  });
}
