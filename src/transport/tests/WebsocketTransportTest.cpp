#define ASIO_STANDALONE
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
      const std::string &secret) {
    TransportSettings settings;
    settings.Self = core::VmId(name);
    settings.Incarnation = core::Incarnation(1);
    settings.Listen = {"127.0.0.1", 0};
    settings.Secret = secret;
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
  f.A.Link->send(core::VmId("b"), "ping", {{"n", 1}});
  cr_assert(runUntil(f.Io, [&] { return f.B.Received.size() == 1; }));
  f.B.Link->send(core::VmId("a"), "pong", {{"n", 2}});
  cr_assert(runUntil(f.Io, [&] { return f.A.Received.size() == 1; }));
  cr_assert(f.A.Received[0].Kind == "pong");
}

/// Guards against a process with another secret.
Test(WebsocketTransport, peerWithAnotherSecretIsRefused) {
  Fixture f("some other secret");
  f.A.Link->send(core::VmId("b"), "ping", {{"n", 1}});
  cr_assert(
      runUntil(f.Io, [&] { return f.B.Events.count(core::EventId::PeerMessageRejected) == 1; }));
  cr_assert(f.B.Received.empty());
}

/// Guards against raw bytes from a stranger that end the process or hold up other peers.
Test(WebsocketTransport, garbageOnTheListenerIsHarmless) {
  Fixture f;
  asio::ip::tcp::socket stranger(f.Io);
  stranger.connect({asio::ip::make_address("127.0.0.1"), f.B.Link->port()});
  asio::write(stranger, asio::buffer(std::string(4096, '\xff')));
  f.A.Link->send(core::VmId("b"), "ping", {{"n", 1}});
  cr_assert(runUntil(f.Io, [&] { return f.B.Received.size() == 1; }));
}

/// Guards against a peer that restarts and is never reached again.
Test(WebsocketTransport, restartedPeerIsDialledAgain) {
  Fixture f;
  f.A.Link->send(core::VmId("b"), "ping", {{"n", 1}});
  cr_assert(runUntil(f.Io, [&] { return f.B.Received.size() == 1; }));
  f.B.Link->stop();
  End restarted(f.Io, f.Clock, "b", "the same secret for all");
  f.A.Link->setAddress(core::VmId("b"), {"127.0.0.1", restarted.Link->port()});
  cr_assert(runUntil(f.Io, [&] {
    f.A.Link->send(core::VmId("b"), "again", {{"n", 2}});
    return !restarted.Received.empty();
  }));
}
