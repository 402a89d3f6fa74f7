#pragma once

#include "absl/status/status.h"
#include "core/Clock.h"
#include "http/Head.h"
#include "http/Listener.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace briarspar::http {

/// A request with its complete body.
struct BufferedRequest {
  http::Head Head;
  std::string Body;
};

/// A response with its complete body.
struct BufferedResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::string Location;         ///< Target of a redirect; empty for other responses.
  core::Duration RetryAfter{0}; ///< 0 omits the header.
};

struct BufferedServerSettings {
  size_t MaxHeadBytes = 32UL * 1024;
  size_t MaxBodyBytes = 16UL * 1024 * 1024;
  size_t MaxConnections = 512;
  /// Maximum size of received bytes that wait for the response to the current request.
  size_t MaxUnparsedBytes = 64UL * 1024;
  /// A connection is closed when a request takes longer to arrive.
  core::Duration RequestTimeout{10'000};
};

/// An HTTP/1.1 server that buffers complete request and response bodies, for operator calls,
/// look-ups, readiness checks and metrics. A handler may respond later, on the same thread. Runs on
/// the thread of the io_context.
class BufferedServer {
public:
  using Responder = std::function<void(const BufferedResponse &)>;
  using Handler = std::function<void(const BufferedRequest &, Responder)>;

  BufferedServer(asio::io_context &io, core::EventSink &events, Handler handler,
                 const BufferedServerSettings &settings = {});
  ~BufferedServer();

  /// Binds and starts to accept. Returns Unavailable if the address cannot be bound.
  absl::Status start(const std::string &host, uint16_t port);
  void stop();

  uint16_t port() const { return Connections.port(); }

private:
  class Session;

  void startSession(asio::ip::tcp::socket socket);

  core::EventSink &Events;
  Handler Handle;
  const BufferedServerSettings Settings;
  Listener Connections;
  std::unordered_set<std::shared_ptr<Session>> Sessions;
};

} // namespace briarspar::http
