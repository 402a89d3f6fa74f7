#include "http/BufferedServer.h"

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

using namespace briarspar;
using namespace briarspar::http;

namespace {

struct NullSink final : core::EventSink {
  void emit(core::Event) override {}
};

/// A server that echoes bodies, and a client connection to it.
struct Fixture {
  explicit Fixture(const BufferedServerSettings &settings = {})
      : Server(
            Io, Sink,
            [this](const BufferedRequest &request, const BufferedServer::Responder &respond) {
              ++Handled;
              respond({200, request.Body, "text/plain", "", {0}});
            },
            settings),
        Client(Io) {
    cr_assert(Server.start("127.0.0.1", 0).ok());
    Client.connect({asio::ip::make_address("127.0.0.1"), Server.port()});
    Client.non_blocking(true);
  }

  /// Sends as much as the socket takes. Returns false once the server has closed the connection.
  bool send(const std::string &bytes) {
    asio::error_code ec;
    Client.write_some(asio::buffer(bytes), ec);
    poll();
    return !ec || ec == asio::error::would_block;
  }

  /// Runs the server and reads what it has sent.
  void poll() {
    Io.restart();
    Io.poll();
    char buffer[4096];
    asio::error_code ec;
    for (size_t n; (n = Client.read_some(asio::buffer(buffer), ec)) > 0 && !ec;)
      Received.append(buffer, n);
    Closed = Closed || (ec && ec != asio::error::would_block);
  }

  int statuses() const {
    int count = 0;
    for (size_t at = 0; (at = Received.find("HTTP/1.1 ", at)) != std::string::npos; ++at)
      ++count;
    return count;
  }

  asio::io_context Io;
  NullSink Sink;
  int Handled = 0;
  BufferedServer Server;
  asio::ip::tcp::socket Client;
  std::string Received;
  bool Closed = false;
};

constexpr int MaxPolls = 20'000;

} // namespace

/// Guards against a malformed request whose further bytes start a second response over the buffer
/// of the first one.
Test(BufferedServer, malformedRequestGetsOneResponse) {
  Fixture f;
  for (int n = 0; n < 200 && !f.Closed; ++n)
    f.send("\x01\x02 not http\r\n\r\n");
  for (int n = 0; n < MaxPolls && !f.Closed; ++n)
    f.poll();
  cr_assert(f.Closed);
  cr_assert_eq(f.statuses(), 1);
  cr_assert_neq(f.Received.find("HTTP/1.1 400"), std::string::npos);
  cr_assert_eq(f.Handled, 0);
}

/// Guards against a body without end that is read for as long as the caller sends it.
Test(BufferedServer, endlessBodyIsRejected) {
  BufferedServerSettings settings;
  settings.MaxBodyBytes = 256UL * 1024;
  Fixture f(settings);
  f.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  for (int n = 0; n < MaxPolls && !f.Closed; ++n)
    f.send(chunk);
  cr_assert(f.Closed);
  cr_assert_eq(f.Handled, 0);
}

/// Guards against memory that grows with the requests sent behind one that has no response yet.
Test(BufferedServer, pipelinedRequestsAreAnsweredInOrder) {
  BufferedServerSettings settings;
  settings.MaxUnparsedBytes = 64;
  Fixture f(settings);
  for (int n = 0; n < 10; ++n)
    cr_assert(f.send("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"));
  for (int n = 0; n < MaxPolls && f.statuses() < 20; ++n)
    f.poll();
  cr_assert_eq(f.statuses(), 20);
}

/// Guards against a request that arrives byte by byte and occupies a connection without end.
Test(BufferedServer, slowRequestIsClosed) {
  BufferedServerSettings settings;
  settings.RequestTimeout = {50};
  Fixture f(settings);
  f.send("GET / HTTP/1.1\r\n");
  while (!f.Closed) {
    f.Io.restart();
    f.Io.run_for(std::chrono::milliseconds(5));
    f.poll();
  }
  cr_assert_eq(f.Handled, 0);
}
