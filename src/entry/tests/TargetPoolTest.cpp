#include "entry/TargetPool.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <string>

using namespace briarspar;
using namespace briarspar::entry;

namespace {

struct NullListener final : http::ResponseListener {
  void onResponseHead(http::Head) override {}
  void onResponseBody(std::string_view) override {}
  void onResponseEnd() override {}
  void onConnectionLost(http::ConnectionLoss) override {}
};

/// A pool with one connection, whose response nobody waits for.
struct Fixture {
  Fixture() : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}), Pool(Io, Clock, "X-Id") {
    auto connection = Pool.acquire("127.0.0.1", Acceptor.local_endpoint().port(), 1, false);
    http::Head head;
    head.Method = "GET";
    head.Target = "/";
    connection->start(head, "a", Waiting);
    connection->finishRequest();
    Target = std::make_unique<asio::ip::tcp::socket>(Acceptor.accept());
    Target->non_blocking(true);
    Io.poll();
    Pool.discardResponse(connection, Clock.now() + core::Duration{5000});
  }

  void send(const std::string &bytes) {
    asio::error_code ec;
    Sent += Target->write_some(asio::buffer(bytes), ec);
    Io.restart();
    Io.poll();
  }

  asio::io_context Io;
  core::ManualClock Clock;
  asio::ip::tcp::acceptor Acceptor;
  TargetPool Pool;
  NullListener Waiting;
  std::unique_ptr<asio::ip::tcp::socket> Target;
  size_t Sent = 0;
};

constexpr int MaxSends = 100'000;

} // namespace

/// Guards against a response without end that is read for a caller that has left.
Test(TargetPool, endlessDiscardedResponseIsClosed) {
  Fixture f;
  f.send("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n");
  const std::string part(8192, 'x');
  for (int n = 0; n < MaxSends && f.Pool.discardedResponses() > 0; ++n)
    f.send(part);
  cr_assert_eq(f.Pool.discardedResponses(), 0);
  const size_t socketBuffers = 16UL * 1024 * 1024;
  cr_assert_leq(f.Sent, TargetPool::MaxDiscardedBytes + socketBuffers);
}

/// Guards against a response that arrives byte by byte and occupies its connection without end.
Test(TargetPool, slowDiscardedResponseIsClosed) {
  Fixture f;
  f.send("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1000\r\n\r\n");
  for (int n = 0; n < 60 && f.Pool.discardedResponses() > 0; ++n) {
    f.send("x");
    f.Clock.advance({1000});
    f.Pool.sweep();
  }
  cr_assert_eq(f.Pool.discardedResponses(), 0);
}

/// Guards against closing a connection whose discarded response ends in time.
Test(TargetPool, connectionIsReusedAfterDiscardedResponse) {
  Fixture f;
  f.send("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok");
  for (int n = 0; n < MaxSends && f.Pool.discardedResponses() > 0; ++n)
    f.send("");
  cr_assert_eq(f.Pool.openConnections(), 1);
  cr_assert_neq(f.Pool.acquire("127.0.0.1", f.Acceptor.local_endpoint().port(), 1, false), nullptr);
}
