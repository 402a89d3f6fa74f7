#include "http/ClientConnection.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <deque>

using namespace briarspar;
using namespace briarspar::http;

namespace {

/// A server for one connection that sends scripted bytes: one script for each received request.
/// The last script can be repeated without end.
class ScriptedServer {
public:
  explicit ScriptedServer(asio::io_context &io)
      : Acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}), Socket(io) {
    Acceptor.async_accept(Socket, [this](const asio::error_code &ec) {
      if (!ec)
        read();
    });
  }

  uint16_t port() { return Acceptor.local_endpoint().port(); }

  std::deque<std::string> Scripts;
  bool RepeatLast = false;
  bool CloseAfterLast = false;
  size_t PartBytes = 4096; ///< Size of each write.
  size_t BytesSent = 0;

private:
  void read() {
    Socket.async_read_some(asio::buffer(Buffer), [this](const asio::error_code &ec, size_t n) {
      if (ec)
        return;
      Received.append(Buffer, n);
      // The requests of these tests have no body.
      for (size_t end; (end = Received.find("\r\n\r\n")) != std::string::npos;) {
        Received.erase(0, end + 4);
        if (Scripts.empty())
          continue;
        Unsent += Scripts.front();
        Last = Scripts.front();
        Scripts.pop_front();
      }
      send();
      read();
    });
  }

  void send() {
    if (Sending)
      return;
    if (Unsent.empty() && RepeatLast && Scripts.empty())
      Unsent = Last;
    if (Unsent.empty()) {
      asio::error_code ignored;
      if (CloseAfterLast && Scripts.empty())
        Socket.close(ignored);
      return;
    }
    Sending = true;
    Part = Unsent.substr(0, PartBytes);
    Unsent.erase(0, Part.size());
    asio::async_write(Socket, asio::buffer(Part), [this](const asio::error_code &ec, size_t n) {
      Sending = false;
      BytesSent += n;
      if (!ec)
        send();
    });
  }

  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket Socket;
  char Buffer[4096]{};
  std::string Received;
  std::string Unsent;
  std::string Last;
  std::string Part;
  bool Sending = false;
};

/// Records one response.
struct Result final : ResponseListener {
  void onResponseHead(Head head) override { Status = head.Status; }
  void onResponseBody(std::string_view bytes) override { Body += bytes; }
  void onResponseEnd() override { Ended = true; }
  void onConnectionLost(ConnectionLoss loss) override { Loss = loss; }

  bool isDone() const { return Ended || Loss; }

  int Status = 0;
  std::string Body;
  bool Ended = false;
  std::optional<ConnectionLoss> Loss;
};

std::string response(const std::string &id, const std::string &body) {
  std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (!id.empty())
    text += "X-Id: " + id + "\r\n";
  return text + "\r\n" + body;
}

struct Fixture {
  explicit Fixture(const ClientConnectionSettings &settings = {}) {
    Connection =
        std::make_shared<ClientConnection>(Io, Clock, "127.0.0.1", Server.port(), settings);
    Connection->setIdHeader("X-Id");
  }

  ~Fixture() { Connection->close(); }

  /// Sends a request and runs until its response has ended or the connection is lost.
  Result exchange(const std::string &id) {
    Result result;
    Head head;
    head.Method = "GET";
    head.Target = "/";
    head.add("X-Id", id);
    Connection->start(head, id, result);
    Connection->finishRequest();
    while (!result.isDone())
      Io.run_one();
    return result;
  }

  asio::io_context Io;
  core::ManualClock Clock;
  ScriptedServer Server{Io};
  std::shared_ptr<ClientConnection> Connection;
};

} // namespace

/// Guards against a late second copy of a response that the next caller receives, with the copy
/// split at any byte.
Test(ClientConnection, lateSecondCopyIsSkipped) {
  const std::string copy = response("a", "first");
  for (size_t part = 1; part <= copy.size(); part += 3) {
    Fixture f;
    f.Server.PartBytes = part;
    f.Server.Scripts = {copy, copy + copy + response("b", "second")};
    cr_assert_eq(f.exchange("a").Body, std::string("first"));
    Result second = f.exchange("b");
    cr_assert(second.Ended);
    cr_assert_eq(second.Body, std::string("second"));
  }
}

/// Guards against a late second copy without an id that is taken for the next response.
Test(ClientConnection, responseWithoutIdOnReusedConnectionIsNotDelivered) {
  Fixture f;
  f.Server.Scripts = {response("a", "first"), response("", "first") + response("b", "second")};
  cr_assert_eq(f.exchange("a").Body, std::string("first"));
  Result second = f.exchange("b");
  cr_assert(second.Loss == ConnectionLoss::Malformed);
  cr_assert_eq(second.Status, 0);
  cr_assert_eq(second.Body, std::string());
}

/// Guards against refusing responses without an id where no earlier request can have caused them.
Test(ClientConnection, responseWithoutIdToFirstRequestIsDelivered) {
  Fixture f;
  f.Server.Scripts = {response("", "first")};
  cr_assert_eq(f.exchange("a").Body, std::string("first"));
}

/// Guards against a second copy that arrives while the connection is idle.
Test(ClientConnection, bytesOnIdleConnectionEndIt) {
  Fixture f;
  const std::string copy = response("a", "first");
  f.Server.PartBytes = copy.size();
  f.Server.Scripts = {copy + copy};
  cr_assert_eq(f.exchange("a").Body, std::string("first"));
  while (f.Connection->isOpen())
    f.Io.run_one();
  cr_assert_not(f.Connection->mayReuse(f.Clock.now(), false));
}

namespace {

/// Runs one request against a server that repeats `script` without end, after an exchange if
/// `reused`. Checks that the connection is closed within its limits.
void checkEndless(const std::string &script, bool reused) {
  Fixture f;
  if (reused) {
    f.Server.Scripts = {response("a", "first"), script};
    cr_assert_eq(f.exchange("a").Body, std::string("first"));
  } else {
    f.Server.Scripts = {script};
  }
  f.Server.RepeatLast = true;
  Result result = f.exchange("b");
  cr_assert(result.Loss == ConnectionLoss::Malformed);
  cr_assert_not(f.Connection->isOpen());
  // What the server has sent includes the socket buffers of both sides.
  const size_t socketBuffers = 16UL * 1024 * 1024;
  cr_assert_leq(f.Server.BytesSent, ClientConnectionSettings{}.MaxOverheadBytes + socketBuffers);
}

} // namespace

/// Guards against bytes without end in a response head, for which a caller waits.
Test(ClientConnection, endlessHeadEndsConnection) {
  checkEndless("HTTP/1.1 200 OK\r\nX-Fill: " + std::string(8192, 'x'), false);
  checkEndless(std::string(8192, 'x'), false);
}

/// Guards against interim responses without end.
Test(ClientConnection, endlessInterimResponsesEndConnection) {
  checkEndless("HTTP/1.1 100 Continue\r\n\r\n", false);
}

/// Guards against responses to earlier requests without end.
Test(ClientConnection, endlessSkippedResponsesEndConnection) {
  checkEndless(response("a", std::string(4096, 'x')), true);
  checkEndless("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n" + std::string(8192, 'x'), true);
}

/// Guards against a connection that is used again after a request whose response can't be told from
/// others: without an id, or to a HEAD request, whose length says nothing about its body.
Test(ClientConnection, requestThatNeedsItsOwnConnectionEndsIt) {
  for (bool isHead : {false, true}) {
    Fixture f;
    f.Server.Scripts = {response(isHead ? "a" : "", "")};
    Result result;
    Head head;
    head.Method = isHead ? "HEAD" : "GET";
    head.Target = "/";
    const std::string id = isHead ? "a" : "";
    cr_assert(ClientConnection::needsOwnConnection(head, id));
    f.Connection->start(head, id, result);
    f.Connection->finishRequest();
    while (!result.isDone())
      f.Io.run_one();
    cr_assert(result.Ended);
    cr_assert_not(f.Connection->mayReuse(f.Clock.now(), false));
  }
}

/// Guards against a server whose headers contain a status line and that gets no request through:
/// its responses are accepted on new connections.
Test(ClientConnection, statusLineInHeaderNeedsNewConnection) {
  Fixture f;
  f.Server.Scripts = {"HTTP/1.1 200 OK\r\nX-Upstream: HTTP/1.1 200 OK\r\nX-Id: a\r\n"
                      "Content-Length: 5\r\n\r\nfirst"};
  cr_assert_eq(f.exchange("a").Body, std::string("first"));
  cr_assert_not(f.Connection->mayReuse(f.Clock.now(), false));
}

/// Guards against a request that counts as the cause of a crash because a copy without a length hid
/// its response until the connection ended.
Test(ClientConnection, endOfSkippedResponseIsNotTheEndOfTheRequest) {
  Fixture f;
  f.Server.Scripts = {response("a", "first"), "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\ncopy"};
  f.Server.CloseAfterLast = true;
  cr_assert_eq(f.exchange("a").Body, std::string("first"));
  Result second = f.exchange("b");
  cr_assert(second.Loss == ConnectionLoss::Malformed);
}

namespace {

/// Stops reading with the body, as for a caller that reads slowly.
struct PausingResult final : ResponseListener {
  explicit PausingResult(ClientConnection &connection) : Connection(connection) {}
  void onResponseHead(Head) override {}
  void onResponseBody(std::string_view) override { Connection.setReading(false); }
  void onResponseEnd() override { Ended = true; }
  void onConnectionLost(ConnectionLoss) override {}

  ClientConnection &Connection;
  bool Ended = false;
};

} // namespace

/// Guards against a connection that was paused at the end of a response and never reads the next
/// one.
Test(ClientConnection, pausedConnectionReadsNextResponse) {
  Fixture f;
  f.Server.Scripts = {response("a", "first"), response("b", "second")};
  PausingResult first(*f.Connection);
  Head head;
  head.Method = "GET";
  head.Target = "/";
  f.Connection->start(head, "a", first);
  f.Connection->finishRequest();
  while (!first.Ended)
    f.Io.run_one();
  Result second;
  f.Connection->start(head, "b", second);
  f.Connection->finishRequest();
  for (int n = 0; n < 1000 && !second.isDone(); ++n)
    f.Io.run_one_for(std::chrono::milliseconds(5));
  cr_assert_eq(second.Body, std::string("second"));
}

/// Guards against a connection that remembers ids without a limit.
Test(ClientConnection, connectionEndsAfterItsLastExchange) {
  ClientConnectionSettings settings;
  settings.MaxExchanges = 2;
  Fixture f(settings);
  f.Server.Scripts = {response("a", "first"), response("b", "second")};
  cr_assert_eq(f.exchange("a").Body, std::string("first"));
  cr_assert(f.Connection->mayReuse(f.Clock.now(), false));
  cr_assert(f.Connection->hasSent("a"));
  cr_assert_not(f.Connection->hasSent("b"));
  cr_assert_eq(f.exchange("b").Body, std::string("second"));
  cr_assert_not(f.Connection->mayReuse(f.Clock.now(), false));
}
