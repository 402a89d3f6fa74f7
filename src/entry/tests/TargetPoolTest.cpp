#include "entry/TargetPool.h"
#include "entry/testing/PoolFixture.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace briarspar;
using namespace briarspar::entry;
using entry::testing::NullListener;
using OpenFixture = entry::testing::PoolFixture;

namespace {

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

/// Guards against a request to a doubted target on a connection that may lead to its next process.
Test(TargetPool, onlyConnectionOpenedInTimeIsReused) {
  OpenFixture f;
  auto early = f.open("a");
  f.Clock.advance({1000});
  auto late = f.open("b");
  f.answer(early, "a");
  f.answer(late, "b");
  cr_assert_not(f.Pool.canReuse(f.Host, f.Port, f.needs("c", core::Time{999})));
  cr_assert_null(f.Pool.acquire(f.Host, f.Port, f.needs("c", core::Time{999})).get());
  cr_assert_eq(f.Pool.connectionsOpened(), 2);
  cr_assert(f.Pool.canReuse(f.Host, f.Port, f.needs("c", core::Time{1000})));
  cr_assert_eq(f.Pool.acquire(f.Host, f.Port, f.needs("c", core::Time{1999})), early.Own);
  cr_assert_not(f.Pool.canReuse(f.Host, f.Port, f.needs("c", core::Time{1999})));
  cr_assert_eq(f.Pool.acquire(f.Host, f.Port, f.needs("c", core::Time{2000})), late.Own);
}

/// Guards against choosing a doubted target for a request that then finds no connection.
Test(TargetPool, canReuseAgreesWithAcquire) {
  OpenFixture f;
  auto it = f.open("a");
  const core::Time now = f.Clock.now();
  cr_assert_not(f.Pool.canReuse(f.Host, f.Port, f.needs("b", now))); // In use.
  f.answer(it, "a");
  cr_assert(f.Pool.canReuse(f.Host, f.Port, f.needs("b", now)));
  cr_assert_not(f.Pool.canReuse(f.Host, f.Port, f.needs("a", now)));
  cr_assert_null(f.Pool.acquire(f.Host, f.Port, f.needs("a", now)).get());
  TargetPool::Requirements own = f.needs("b", now);
  own.MustBeNew = true;
  cr_assert_not(f.Pool.canReuse(f.Host, f.Port, own));
  cr_assert_null(f.Pool.acquire(f.Host, f.Port, own).get());
  cr_assert_not(f.Pool.canReuse("127.0.0.2", f.Port, f.needs("b", now)));
  f.reset(it);
  f.runUntilEnded(it);
  cr_assert_not(f.Pool.canReuse(f.Host, f.Port, f.needs("b", now)));
  cr_assert_null(f.Pool.acquire(f.Host, f.Port, f.needs("b", now)).get());
}

/// Guards against a doubt that is withdrawn for a connection that is closed, not yet open, or
/// opened after the end of the process.
Test(TargetPool, isOpenTellsOfConnectionsOpenedInTime) {
  OpenFixture f;
  cr_assert_not(f.Pool.isOpen(f.Host, f.Port, f.Clock.now()));
  auto connecting = f.Pool.acquire(f.Host, f.Port, f.needs("x", std::nullopt));
  f.start(*connecting, "x");
  cr_assert_not(f.Pool.isOpen(f.Host, f.Port, f.Clock.now()));
  connecting->close();
  (void)f.Acceptor.accept();
  auto it = f.open("a");
  cr_assert(f.Pool.isOpen(f.Host, f.Port, core::Time{1000})); // In use.
  cr_assert_not(f.Pool.isOpen(f.Host, f.Port, core::Time{999}));
  cr_assert_not(f.Pool.isOpen("127.0.0.2", f.Port, core::Time{1000}));
  f.answer(it, "a");
  cr_assert(f.Pool.isOpen(f.Host, f.Port, core::Time{1000}));
  f.reset(it);
  f.runUntilEnded(it);
  cr_assert_not(f.Pool.isOpen(f.Host, f.Port, core::Time{1000}));
}

/// Guards against an end of a process that its idle or busy connections show, and nobody notices.
Test(TargetPool, unannouncedEndIsTold) {
  for (bool isIdle : {true, false}) {
    OpenFixture f;
    auto it = f.open("a");
    f.Clock.advance({500});
    if (isIdle)
      f.answer(it, "a");
    f.Clock.advance({700});
    f.reset(it);
    f.runUntilEnded(it);
    cr_assert_eq(f.Ends.size(), 1);
    cr_assert_eq(f.Ends[0].Target, core::TargetId("t"));
    cr_assert_eq(f.Ends[0].LastHeard.Ms, isIdle ? 1500 : 1000);
    cr_assert_not(f.Ends[0].IsSilent);
  }
}

/// Guards against a doubt about a target whose connection ended as its response had announced.
Test(TargetPool, announcedEndIsNotTold) {
  for (const char *rest :
       {"Connection: close\r\nContent-Length: 0\r\n\r\n",
        "Connection: close\r\nContent-Length: 5\r\n\r\ncut", "Connection: close\r\n\r\nbody"}) {
    OpenFixture f;
    auto it = f.open("a");
    asio::write(*it.Target, asio::buffer("HTTP/1.1 200 OK\r\nX-Id: a\r\n" + std::string(rest)));
    it.Target->close();
    f.runUntilEnded(it);
    cr_assert(f.Ends.empty(), "%s", rest);
  }
}

/// Guards against a doubt about a target whose idle connection was closed here.
Test(TargetPool, ownCloseIsNotTold) {
  OpenFixture f;
  auto it = f.open("a");
  f.answer(it, "a", "Keep-Alive: timeout=1\r\n");
  f.Clock.advance({60'000});
  f.Pool.sweep();
  f.runUntilEnded(it);
  f.step();
  cr_assert(f.Ends.empty());
}
