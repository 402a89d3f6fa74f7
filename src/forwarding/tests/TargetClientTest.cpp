#include "forwarding/TargetClient.h"
#include "core/testing/Property.h"
#include "forwarding/HttpServer.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace briarspar;
using namespace briarspar::forwarding;

namespace {

/// A target that responds on each connection with fixed raw bytes and then closes it.
class RawTarget {
public:
  explicit RawTarget(std::string reply, int holdMs = 0) : Reply(std::move(reply)), HoldMs(holdMs) {
    Listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(Listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
    ::listen(Listener, 16);
    socklen_t n = sizeof address;
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&address), &n);
    Port = ntohs(address.sin_port);
    Worker = std::thread([this] { serve(); });
  }

  ~RawTarget() {
    Stopping = true;
    ::shutdown(Listener, SHUT_RDWR);
    Worker.join();
    ::close(Listener);
  }

  TargetAddress address() const { return {"127.0.0.1", Port}; }
  int connections() const { return Connections; }

private:
  void serve() {
    while (!Stopping) {
      int sock = ::accept(Listener, nullptr, nullptr);
      if (sock < 0)
        return;
      ++Connections;
      char buf[4096];
      (void)::recv(sock, buf, sizeof buf, 0);
      (void)::send(sock, Reply.data(), Reply.size(), MSG_NOSIGNAL);
      if (HoldMs > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(HoldMs));
      ::close(sock);
    }
  }

  std::string Reply;
  int HoldMs;
  int Listener = -1;
  int Port = 0;
  std::atomic<bool> Stopping{false};
  std::atomic<int> Connections{0};
  std::thread Worker;
};

struct Fixture {
  core::SteadyClock Clock;
  TargetClientPool Pool{Clock, {}};

  TargetResponse get(const TargetAddress &address, core::Duration limit = {5000}) {
    TargetRequest request;
    request.Method = "GET";
    request.PathAndQuery = "/x";
    return Pool.exchange(address, request, Clock.now() + limit);
  }
};

constexpr const char *CompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

} // namespace

Test(TargetClient, completeResponseIsReturned) {
  RawTarget target(CompleteResponse);
  Fixture f;
  TargetResponse response = f.get(target.address());
  cr_assert(response.Status == ExchangeStatus::Answered);
  cr_assert(response.Body == "hello");
}

/// A truncated response must not be passed on as complete.
Test(TargetClient, truncatedResponseIsReported) {
  RawTarget byLength("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello");
  RawTarget byChunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  Fixture f;
  cr_assert(f.get(byLength.address()).Status == ExchangeStatus::ConnectionLost);
  cr_assert(f.get(byChunks.address()).Status == ExchangeStatus::ConnectionLost);
  cr_assert_eq(f.Pool.idleConnections(), 0);
}

/// The end of a response without a length cannot be distinguished from a lost connection.
Test(TargetClient, responseWithoutLengthIsReportedAsTruncated) {
  RawTarget target("HTTP/1.1 200 OK\r\n\r\nhello");
  Fixture f;
  cr_assert(f.get(target.address()).Status == ExchangeStatus::ConnectionLost);
}

/// If the connection closes without a response, the target may have run the request.
Test(TargetClient, closedWithoutResponseMayHaveRun) {
  RawTarget target("");
  Fixture f;
  cr_assert(f.get(target.address()).Status == ExchangeStatus::ConnectionLost);
}

/// After a refused connection the request cannot have run.
Test(TargetClient, refusedConnectionSentNothing) {
  TargetAddress address;
  {
    RawTarget target("");
    address = target.address();
  }
  Fixture f;
  cr_assert(f.get(address).Status == ExchangeStatus::NotSent);
}

/// A target process that has ended must be distinguished from one that closed an idle connection.
Test(TargetClient, endedTargetRefusesConnections) {
  TargetAddress address;
  {
    RawTarget target("");
    address = target.address();
    cr_assert(keepsAccepting(address, {100}));
  }
  cr_assert_not(keepsAccepting(address, {1000}));
}

/// A late response must not be taken for that of the next request on a reused connection.
Test(TargetClient, timedOutConnectionIsNotReused) {
  RawTarget target("", 400);
  Fixture f;
  cr_assert(f.get(target.address(), {50}).Status == ExchangeStatus::TimedOut);
  cr_assert_eq(f.Pool.idleConnections(), 0);
}

/// A response larger than MaxResponseBytes must be aborted instead of buffered.
Test(TargetClient, tooLargeResponseIsReported) {
  std::string body(9 * 1024 * 1024, 'x');
  RawTarget target("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
  Fixture f;
  cr_assert(f.get(target.address()).Status == ExchangeStatus::TooLarge);
}

/// A hedged request or a disconnected caller must be able to end a running exchange.
Test(TargetClient, cancelEndsARunningExchange) {
  RawTarget target("", 3000);
  Fixture f;
  Cancellation cancellation;
  TargetRequest request;
  request.Method = "GET";
  request.PathAndQuery = "/x";
  std::thread canceller([&] {
    while (target.connections() == 0)
      std::this_thread::yield();
    cancellation.cancel();
  });
  TargetResponse response = f.Pool.exchange(target.address(), request,
                                            f.Clock.now() + core::Duration{2500}, &cancellation);
  canceller.join();
  cr_assert(response.Status == ExchangeStatus::Canceled);
}

/// Connections must be reused, except for requests that need a fresh one.
Test(TargetClient, connectionsAreReusedUnlessFreshIsRequired) {
  HttpServerSettings settings;
  HttpServer server(settings, [](const httplib::Request &, httplib::Response &res) {
    res.set_content("ok", "text/plain");
  });
  cr_assert(server.start().ok());
  Fixture f;
  TargetAddress address{"127.0.0.1", server.port()};
  cr_assert_not(f.get(address).ReusedConnection);
  cr_assert(f.get(address).ReusedConnection);
  TargetRequest fresh;
  fresh.Method = "GET";
  fresh.PathAndQuery = "/x";
  fresh.FreshConnection = true;
  cr_assert_not(
      f.Pool.exchange(address, fresh, f.Clock.now() + core::Duration{5000}).ReusedConnection);
  // Fresh connections must not stay open, or they use up the target's connection limit.
  cr_assert_eq(f.Pool.idleConnections(), 1);
}
