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

/// One process end with what it received.
struct End {
  End(asio::io_context &io, const core::Clock &clock, const std::string &name,
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

/// Runs the io_context until the condition holds, for a generous time.
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
  End A;
  End B;
};

} // namespace

/// Guards against answers that cannot return to a peer that has no listener address here.
Test(WebsocketTransport, messageAndAnswerUseOneConnection) {
  Fixture f;
  f.A.Link->send(core::VmId("b"), "ping", "1");
  cr_assert(runUntil(f.Io, [&] { return f.B.Received.size() == 1; }));
  f.B.Link->send(core::VmId("a"), "pong", "2");
  cr_assert(runUntil(f.Io, [&] { return f.A.Received.size() == 1; }));
  cr_assert(f.A.Received[0].Kind == "pong");
}

/// Guards against a process with another secret.
Test(WebsocketTransport, peerWithAnotherSecretIsRefused) {
  Fixture f("some other secret");
  f.A.Link->send(core::VmId("b"), "ping", "1");
  cr_assert(
      runUntil(f.Io, [&] { return f.B.Events.count(core::EventId::PeerMessageRejected) == 1; }));
  cr_assert(f.B.Received.empty());
}

/// Guards against messages for one VM that reach another one, which listens at its old address.
Test(WebsocketTransport, otherVmAtTheAddressIsRefused) {
  Fixture f;
  f.A.Link->setAddress(core::VmId("c"), {"127.0.0.1", f.B.Link->port()});
  f.A.Link->send(core::VmId("c"), "ping", "1");
  cr_assert(
      runUntil(f.Io, [&] { return f.A.Events.count(core::EventId::PeerMessageRejected) == 1; }));
  f.A.Link->send(core::VmId("b"), "ping", "2");
  cr_assert(runUntil(f.Io, [&] { return !f.B.Received.empty(); }));
  cr_assert(f.B.Received.size() == 1 && f.B.Received[0].Body == "2");
}

/// Guards against a dead connection that the kernel keeps for many minutes: the peer stops reading
/// and acknowledges no more data. Both the dialling and the accepting side must give it up.
Test(WebsocketTransport, silentPeerIsGivenUp) {
  for (bool dials : {true, false}) {
    core::SteadyClock clock;
    asio::io_context io;
    asio::io_context stopped;
    End sender(io, clock, "a", "secret", core::Duration{300});
    End silent(stopped, clock, "b", "secret");
    End &dialler = dials ? sender : silent;
    End &accepter = dials ? silent : sender;
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

/// Guards against raw bytes from a stranger that end the process or hold up other peers.
Test(WebsocketTransport, garbageOnTheListenerIsHarmless) {
  Fixture f;
  asio::ip::tcp::socket stranger(f.Io);
  stranger.connect({asio::ip::make_address("127.0.0.1"), f.B.Link->port()});
  asio::write(stranger, asio::buffer(std::string(4096, '\xff')));
  f.A.Link->send(core::VmId("b"), "ping", "1");
  cr_assert(runUntil(f.Io, [&] { return f.B.Received.size() == 1; }));
}

/// Guards against a peer that restarts and is never reached again.
Test(WebsocketTransport, restartedPeerIsDialledAgain) {
  Fixture f;
  f.A.Link->send(core::VmId("b"), "ping", "1");
  cr_assert(runUntil(f.Io, [&] { return f.B.Received.size() == 1; }));
  f.B.Link->stop();
  End restarted(f.Io, f.Clock, "b", "the same secret for all");
  f.A.Link->setAddress(core::VmId("b"), {"127.0.0.1", restarted.Link->port()});
  cr_assert(runUntil(f.Io, [&] {
    f.A.Link->send(core::VmId("b"), "again", "2");
    return !restarted.Received.empty();
  }));
}
