#include "core/testing/Property.h"
#include "transport/Transport.h"

#include <asio.hpp>

#include <chrono>
#include <functional>
#include <vector>

using namespace briarspar;
using transport::PeerMessage;
using transport::Transport;
using transport::TransportSettings;

namespace {

class CountingSink final : public core::EventSink {
public:
  void emit(core::Event event) override { Ids.push_back(event.Id); }
  size_t count(core::EventId id) const {
    size_t n = 0;
    for (core::EventId it : Ids)
      n += it == id ? 1 : 0;
    return n;
  }

  std::vector<core::EventId> Ids;
};

/// A transport with the messages and events that it received.
struct TestPeer {
  TestPeer(asio::io_context &io, const core::Clock &clock, const std::string &name,
           const std::string &secret, core::Duration peerTimeout = {3000}) {
    TransportSettings settings;
    settings.Self = core::VmId(name);
    settings.Incarnation = core::Incarnation(1);
    settings.Listen = {"127.0.0.1", 0};
    settings.Secret = secret;
    settings.Kinds = {"ping", "pong", "again"};
    settings.PeerTimeout = peerTimeout;
    Link = transport::makeWebsocketTransport(io, clock, Events, settings);
    cr_assert(Link->start([this](const PeerMessage &it) { Received.push_back(it); }).ok());
  }

  CountingSink Events;
  std::vector<PeerMessage> Received;
  std::unique_ptr<Transport> Link;
};

/// Runs the io_context until the condition holds, for at most 20 s.
bool runUntil(asio::io_context &io, const std::function<bool()> &condition) {
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!condition() && std::chrono::steady_clock::now() < end)
    io.run_one_for(std::chrono::milliseconds(20));
  return condition();
}

struct Fixture {
  explicit Fixture(const std::string &secretOfB = "the same secret for all")
      : A(Io, Clock, "a", "the same secret for all"), B(Io, Clock, "b", secretOfB) {
    A.Link->setAddress(core::VmId("b"), {"127.0.0.1", B.Link->port()});
  }

  core::SteadyClock Clock;
  asio::io_context Io;
  TestPeer A;
  TestPeer B;
};

} // namespace

/// A reply must use the connection of the request, because the address of the peer may be unknown.
Test(WebsocketTransport, messageAndReplyUseOneConnection) {
  Fixture f;
  f.A.Link->send(core::VmId("b"), "ping", "1");
  cr_assert(runUntil(f.Io, [&] { return f.B.Received.size() == 1; }));
  f.B.Link->send(core::VmId("a"), "pong", "2");
  cr_assert(runUntil(f.Io, [&] { return f.A.Received.size() == 1; }));
  cr_assert(f.A.Received[0].Kind == "pong");
}

/// A process with another secret must be rejected.
Test(WebsocketTransport, peerWithAnotherSecretIsRejected) {
  Fixture f("some other secret");
  f.A.Link->send(core::VmId("b"), "ping", "1");
  cr_assert(
      runUntil(f.Io, [&] { return f.B.Events.count(core::EventId::PeerMessageRejected) == 1; }));
  cr_assert(f.B.Received.empty());
}

/// Messages for a VM must not reach another VM that now listens at its old address.
Test(WebsocketTransport, otherVmAtTheAddressIsRejected) {
  Fixture f;
  f.A.Link->setAddress(core::VmId("c"), {"127.0.0.1", f.B.Link->port()});
  f.A.Link->send(core::VmId("c"), "ping", "1");
  cr_assert(
      runUntil(f.Io, [&] { return f.A.Events.count(core::EventId::PeerMessageRejected) == 1; }));
  f.A.Link->send(core::VmId("b"), "ping", "2");
  cr_assert(runUntil(f.Io, [&] { return !f.B.Received.empty(); }));
  cr_assert(f.B.Received.size() == 1 && f.B.Received[0].Body == "2");
}

/// If the peer stops reading, it acknowledges no more data, and by default the kernel keeps the
/// connection for many minutes. Both the dialling and the accepting side must close it.
Test(WebsocketTransport, unresponsivePeerIsDisconnected) {
  for (bool dials : {true, false}) {
    core::SteadyClock clock;
    asio::io_context io;
    asio::io_context stopped;
    TestPeer sender(io, clock, "a", "secret", core::Duration{300});
    TestPeer silent(stopped, clock, "b", "secret");
    TestPeer &dialler = dials ? sender : silent;
    TestPeer &accepter = dials ? silent : sender;
    dialler.Link->setAddress(core::VmId(dials ? "b" : "a"), {"127.0.0.1", accepter.Link->port()});
    dialler.Link->send(core::VmId(dials ? "b" : "a"), "ping", "1");
    cr_assert(runUntil(io, [&] {
      stopped.poll();
      return !accepter.Received.empty();
    }));
    core::VmId peer("b");
    cr_assert(runUntil(io, [&] {
      sender.Link->send(peer, "ping", std::string(100'000, 'x'));
      return sender.Events.count(core::EventId::PeerDisconnected) == 1;
    }));
  }
}

/// Arbitrary bytes from an unknown client must neither terminate the process nor block other peers.
Test(WebsocketTransport, arbitraryBytesOnTheListenerAreHarmless) {
  Fixture f;
  asio::ip::tcp::socket unknownClient(f.Io);
  unknownClient.connect({asio::ip::make_address("127.0.0.1"), f.B.Link->port()});
  asio::write(unknownClient, asio::buffer(std::string(4096, '\xff')));
  f.A.Link->send(core::VmId("b"), "ping", "1");
  cr_assert(runUntil(f.Io, [&] { return f.B.Received.size() == 1; }));
}

/// A peer that restarts must be reached again.
Test(WebsocketTransport, restartedPeerIsDialledAgain) {
  Fixture f;
  f.A.Link->send(core::VmId("b"), "ping", "1");
  cr_assert(runUntil(f.Io, [&] { return f.B.Received.size() == 1; }));
  f.B.Link->stop();
  TestPeer restarted(f.Io, f.Clock, "b", "the same secret for all");
  f.A.Link->setAddress(core::VmId("b"), {"127.0.0.1", restarted.Link->port()});
  cr_assert(runUntil(f.Io, [&] {
    f.A.Link->send(core::VmId("b"), "again", "2");
    return !restarted.Received.empty();
  }));
}
