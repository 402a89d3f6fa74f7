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

/// A whole request.
struct BufferedRequest {
  http::Head Head;
  std::string Body;
};

/// A whole answer.
struct BufferedResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::string Location;         ///< For redirects.
  core::Duration RetryAfter{0}; ///< 0: not named.
};

struct BufferedServerSettings {
  size_t MaxHeadBytes = 32UL * 1024;
  size_t MaxBodyBytes = 16UL * 1024 * 1024;
  size_t MaxConnections = 512;
};

/// An HTTP/1.1 server for short calls with whole bodies: operators, look-ups, readiness, metrics.
/// Responses may come later, on the same thread. Runs on the thread of the io_context.
class BufferedServer {
public:
  using Responder = std::function<void(const BufferedResponse &)>;
  using Handler = std::function<void(const BufferedRequest &, Responder)>;

  BufferedServer(asio::io_context &io, core::EventSink &events, Handler handler,
                 const BufferedServerSettings &settings = {});
  ~BufferedServer();

  /// Opens the listener. Returns an error when the address is not available.
  absl::Status start(const std::string &host, uint16_t port);
  void stop();

  uint16_t port() const { return Connections.port(); }

private:
  class Session;

  void take(asio::ip::tcp::socket socket);

  core::EventSink &Events;
  Handler Handle;
  const BufferedServerSettings Settings;
  Listener Connections;
  std::unordered_set<std::shared_ptr<Session>> Sessions;
};

} // namespace briarspar::http
