#include "entry/TargetPool.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

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
  Fixture()
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}), Pool(Io, Clock, "X-Id", nullptr) {
    auto connection =
        Pool.acquire("127.0.0.1", Acceptor.local_endpoint().port(), {"a", core::TargetId("t")});
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
  cr_assert_neq(
      f.Pool.acquire("127.0.0.1", f.Acceptor.local_endpoint().port(), {"b", core::TargetId("t")}),
      nullptr);
}

/// Guards against refusing a request because the only connection that may be open to its target has
/// carried its id.
Test(TargetPool, idleConnectionMakesRoomForRepeatedId) {
  Fixture f;
  const uint16_t port = f.Acceptor.local_endpoint().port();
  f.send("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok");
  for (int n = 0; n < MaxSends && f.Pool.discardedResponses() > 0; ++n)
    f.send("");
  const uint64_t before = f.Pool.connectionsOpened();
  cr_assert_neq(f.Pool.acquire("127.0.0.1", port, {"a", core::TargetId("t")}), nullptr);
  cr_assert_eq(f.Pool.connectionsOpened(), before + 1);
}

/// Guards against a discarder that is destroyed while its connection still calls it, because the
/// end of an earlier one of the same connection is handled late.
Test(TargetPool, connectionThatIsDiscardedAgainKeepsItsDiscarder) {
  Fixture f;
  const uint16_t port = f.Acceptor.local_endpoint().port();
  asio::error_code ec;
  f.Target->write_some(
      asio::buffer(std::string("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n")), ec);
  f.Io.restart();
  std::shared_ptr<http::ClientConnection> connection;
  // Takes the connection as soon as it is idle, before what was posted then has run.
  while (!connection) {
    f.Io.run_one_for(std::chrono::milliseconds(20));
    connection = f.Pool.acquire("127.0.0.1", port, {"b", core::TargetId("t")});
  }
  http::Head head;
  head.Method = "GET";
  head.Target = "/";
  connection->start(head, "b", f.Waiting);
  connection->finishRequest();
  f.Pool.discardResponse(connection, f.Clock.now() + core::Duration{5000});
  f.Io.restart();
  f.Io.poll();
  cr_assert_eq(f.Pool.discardedResponses(), 1);
  f.send("HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n");
  for (int n = 0; n < MaxSends && f.Pool.discardedResponses() > 0; ++n)
    f.send("");
  cr_assert_eq(f.Pool.discardedResponses(), 0);
}

namespace {

struct RecordingSink final : core::EventSink {
  void emit(core::Event event) override { Events.push_back(std::move(event)); }
  std::vector<core::Event> Events;
};

} // namespace

/// Guards against responses that are discarded without a trace in logs and metrics.
Test(TargetPool, unexpectedResponsesAreReported) {
  asio::io_context io;
  core::ManualClock clock;
  RecordingSink sink;
  TargetPool pool(io, clock, "X-Id", &sink);
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  NullListener listener;
  const uint16_t port = acceptor.local_endpoint().port();
  auto connection = pool.acquire("127.0.0.1", port, {"a", core::TargetId("t")});
  http::Head head;
  head.Method = "GET";
  head.Target = "/";
  connection->start(head, "a", listener);
  connection->finishRequest();
  asio::ip::tcp::socket target = acceptor.accept();
  char request[256];
  while (target.available() == 0)
    io.run_one();
  io.poll();
  target.read_some(asio::buffer(request));
  asio::write(target, asio::buffer(std::string("HTTP/1.1 503 No\r\nX-Id: z\r\nContent-Length: "
                                               "0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n"
                                               "Content-Length: 0\r\n\r\nHTTP/1.1 ")));
  while (connection->isOpen())
    io.run_one();
  cr_assert_eq(sink.Events.size(), 2);
  for (const core::Event &it : sink.Events) {
    cr_assert(it.Id == core::EventId::UnexpectedResponse);
    cr_assert_eq(it.Details["connection"].get<int>(), 1);
    cr_assert_eq(it.Details["exchange"].get<int>(), 1);
  }
  cr_assert_eq(sink.Events[0].Details["kind"].get<std::string>(), std::string("other id"));
  cr_assert_eq(sink.Events[0].Details["request"].get<std::string>(), std::string("z"));
  cr_assert_eq(sink.Events[0].Details["status"].get<int>(), 503);
  cr_assert_eq(sink.Events[1].Details["kind"].get<std::string>(), std::string("no request"));
}
