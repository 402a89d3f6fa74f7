#include "entry/testing/SessionFixture.h"

#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <string>

using namespace briarspar;
using namespace briarspar::entry;

namespace {

using Fixture = entry::testing::SessionFixture;

const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr int MaxPolls = 10'000;

} // namespace

/// Guards against a planned stop that closes a connection on which a request has arrived but has
/// not been read yet.
Test(CallerSession, stopAnswersRequestThatHasArrived) {
  Fixture f;
  f.Clock.advance({5000});
  f.send(Request);
  f.Session->startStopping(/*closeIdle=*/true);
  for (int n = 0; n < MaxPolls && f.Received.empty(); ++n)
    f.poll();
  cr_assert_eq(f.Received.substr(0, 12), std::string("HTTP/1.1 503"));
  f.advance({1000});
  cr_assert(f.Ended);
}

/// Guards against a planned stop that closes a connection between its opening and the arrival of
/// its first request.
Test(CallerSession, stopAnswersFirstRequestOfNewConnection) {
  Fixture f;
  f.Session->startStopping(/*closeIdle=*/true);
  f.advance({100});
  f.send(Request);
  for (int n = 0; n < MaxPolls && f.Received.empty(); ++n)
    f.poll();
  cr_assert_eq(f.Received.substr(0, 12), std::string("HTTP/1.1 503"));
}

/// Guards against idle connections that keep a stopping process from ending.
Test(CallerSession, stopClosesIdleConnection) {
  Fixture f;
  f.Session->startStopping(/*closeIdle=*/true);
  f.advance({1000});
  cr_assert(f.Ended);
}

/// Guards against a request body without end that is read after its request was refused, as fast
/// as the caller sends it.
Test(CallerSession, endlessRequestBodyIsClosed) {
  Fixture f;
  f.Context.Limits.BodyBytes = 1024UL * 1024;
  f.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "2000\r\n" + std::string(0x2000, 'x') + "\r\n";
  for (int n = 0; n < MaxPolls && !f.Ended; ++n) {
    f.send(chunk);
    f.poll();
    f.Session->sweep(f.Clock.now());
  }
  cr_assert(f.Ended);
  cr_assert_eq(f.Received.substr(0, 12), std::string("HTTP/1.1 503"));
}

/// Guards against a request body that arrives byte by byte and occupies its connection without end.
Test(CallerSession, slowRequestBodyIsClosed) {
  Fixture f;
  f.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
  for (int n = 0; n < 60 && !f.Ended; ++n) {
    f.send("x");
    f.advance({1000});
  }
  cr_assert(f.Ended);
}

namespace {

/// The same with a configuration and one target, whose responses the test writes.
struct FixtureWithTarget : Fixture {
  explicit FixtureWithTarget(bool idempotent = true)
      : TargetAcceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    TargetAcceptor.non_blocking(true);
    entry::testing::configure(Context, entry::testing::oneOpenRoute(idempotent), {"t"},
                              TargetAcceptor.local_endpoint().port(), Clock.now());
  }

  /// Runs the session and accepts what arrives at the target.
  void pollAll() {
    poll();
    asio::error_code ec;
    asio::ip::tcp::socket socket(Io);
    TargetAcceptor.accept(socket, ec);
    if (!ec) {
      socket.non_blocking(true);
      AtTarget.push_back(std::move(socket));
    }
    for (asio::ip::tcp::socket &it : AtTarget) {
      char buffer[4096];
      size_t n = it.read_some(asio::buffer(buffer), ec);
      if (!ec)
        TargetReceived.append(buffer, n);
    }
  }

  static size_t count(const std::string &text, const std::string &part) {
    size_t found = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
      ++found;
    return found;
  }

  /// Sends a request and waits until the target has received it.
  void sendToTarget(const std::string &request) {
    send(request);
    const size_t before = TargetReceived.size();
    for (int n = 0; n < MaxPolls && TargetReceived.size() == before; ++n)
      pollAll();
  }

  void pollUntilReceived(const std::string &text) {
    for (int n = 0; n < MaxPolls && Received.find(text) == std::string::npos; ++n)
      pollAll();
  }

  asio::ip::tcp::acceptor TargetAcceptor;
  std::vector<asio::ip::tcp::socket> AtTarget;
  std::string TargetReceived;
};

std::string requestFor(const std::string &id) {
  return "GET /" + id + " HTTP/1.1\r\nHost: h\r\nBriarspar-Request-Id: " + id + "\r\n\r\n";
}

} // namespace

/// Guards against a planned stop that passes a pipelined request on to a target and closes the
/// connection without its response, because the response before it has announced the close.
Test(CallerSession, stopAnswersEveryRequestThatReachedATarget) {
  FixtureWithTarget f;
  f.send(requestFor("first"));
  for (int n = 0; n < MaxPolls && f.TargetReceived.find("/first") == std::string::npos; ++n)
    f.pollAll();
  cr_assert_eq(FixtureWithTarget::count(f.TargetReceived, "GET /"), 1);
  f.Session->startStopping(/*closeIdle=*/true);
  asio::write(
      f.AtTarget[0],
      asio::buffer(std::string(
          "HTTP/1.1 200 OK\r\nBriarspar-Request-Id: first\r\nContent-Length: 10\r\n\r\nhello")));
  for (int n = 0; n < MaxPolls && f.Received.find("hello") == std::string::npos; ++n)
    f.pollAll();
  f.send(requestFor("second"));
  for (int n = 0; n < 200; ++n)
    f.pollAll();
  asio::write(f.AtTarget[0], asio::buffer(std::string("world")));
  for (int n = 0; n < MaxPolls && f.Received.find("world") == std::string::npos; ++n)
    f.pollAll();
  f.advance({2000});
  cr_assert_eq(FixtureWithTarget::count(f.Received, "HTTP/1.1 200"),
               FixtureWithTarget::count(f.TargetReceived, "GET /"));
  cr_assert(f.Received.find("onnection: close") != std::string::npos);
  cr_assert(f.Ended);
}

/// Guards against streaming a long response whose status promises that the request has not run,
/// though its target does not say so.
Test(CallerSession, longResponseWithUnfoundedPromiseIsNotStreamed) {
  FixtureWithTarget f(/*idempotent=*/false);
  f.sendToTarget("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" +
                 f.Context.Names.RequestId + ": a\r\n\r\n");
  const std::string head =
      "HTTP/1.1 503 No\r\nContent-Length: 100000\r\n" + f.Context.Names.RequestId + ": a\r\n\r\n";
  asio::write(f.AtTarget.at(0), asio::buffer(head + std::string(100'000, 'x')));
  f.pollUntilReceived("\r\n\r\n");
  cr_assert_eq(f.Received.substr(9, 3), std::string("502"));
}

/// Guards against passing a request on that follows one of HTTP/1.0 on its connection, when the
/// response to the first can only end with the connection.
Test(CallerSession, requestBehindOneOfHttp10WaitsForItsResponse) {
  FixtureWithTarget f(/*idempotent=*/false);
  auto request = [&f](const std::string &id) {
    return "POST /" + id +
           " HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nContent-Length: 0\r\n" +
           f.Context.Names.RequestId + ": " + id + "\r\n\r\n";
  };
  f.sendToTarget(request("first") + request("second"));
  asio::write(f.AtTarget.at(0),
              asio::buffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" +
                           f.Context.Names.RequestId + ": first\r\n\r\n186a0\r\n" +
                           std::string(100'000, 'x') + "\r\n0\r\n\r\n"));
  for (int n = 0; n < 500; ++n)
    f.pollAll();
  cr_assert_neq(f.Received.find("onnection: close"), std::string::npos);
  cr_assert_eq(f.TargetReceived.find("/second"), std::string::npos);
}

/// Guards against passing on a request late in a planned stop, on a connection whose last response
/// was made before the stop and did not announce its end.
Test(CallerSession, requestLateInStopIsRefused) {
  FixtureWithTarget f;
  f.sendToTarget(requestFor("first"));
  f.sendToTarget(requestFor("second"));
  auto answer = [&f](const std::string &id) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + f.Context.Names.RequestId + ": " + id +
           "\r\n\r\n";
  };
  const bool isFirst = f.TargetReceived.find("/first") < f.TargetReceived.find("/second");
  asio::write(f.AtTarget.at(isFirst ? 1 : 0), asio::buffer(answer("second") + "two."));
  for (int n = 0; n < 300; ++n)
    f.pollAll();
  f.Session->startStopping(/*closeIdle=*/false);
  f.advance({2500});
  f.Session->startStopping(/*closeIdle=*/true);
  asio::write(f.AtTarget.at(isFirst ? 0 : 1), asio::buffer(answer("first") + "one."));
  f.pollUntilReceived("two.");
  cr_assert_eq(f.Received.find("onnection: close"), std::string::npos);
  f.send(requestFor("third"));
  f.pollUntilReceived("HTTP/1.1 503");
  f.advance({2000});
  cr_assert_neq(f.Received.find("HTTP/1.1 503"), std::string::npos);
  cr_assert_neq(f.Received.find("onnection: close"), std::string::npos);
  cr_assert_eq(f.TargetReceived.find("/third"), std::string::npos);
  cr_assert(f.Ended);
}
