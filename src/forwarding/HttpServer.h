#pragma once

#include "absl/status/status.h"
#include "core/Clock.h"
#include "forwarding/CallerConnections.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace briarspar::forwarding {

struct HttpServerSettings {
  std::string Host = "127.0.0.1";
  int Port = 0;                       ///< 0 chooses a free port.
  size_t MaxConnections = 512;        ///< Connections served at once, one thread each.
  size_t MaxBodyBytes = 1024 * 1024;  ///< Longest accepted request body.
  core::Duration IdleTimeout{60'000}; ///< Idle keep-alive connections are closed after this.
  core::Duration ReadTimeout{5'000};  ///< Longest wait for the next bytes of a request.
};

/// An HTTP server with one handler for all methods and paths. Connections beyond the bound are
/// answered with 503 by a few overflow threads. The handler runs on the connection's thread and may
/// block.
class HttpServer {
public:
  using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

  HttpServer(const HttpServerSettings &settings, Handler handler);
  ~HttpServer();

  /// Binds and starts to accept. Returns Unavailable when the address cannot be bound.
  absl::Status start();

  /// Closes each connection after its next answer, so that callers look for another VM.
  void closeAfterResponses() { Server.closeAfterResponses(); }

  /// Stops accepting and waits until every request that has arrived is answered. Connection
  /// attempts from then on are refused; idle connections are closed.
  void stop();

  int port() const { return Port; }

private:
  void installHandlers();
  void onRequest(const httplib::Request &req, httplib::Response &res);

  HttpServerSettings Settings;
  Handler OnRequest;
  CallerConnections Server;
  std::thread Acceptor;
  int Port = 0;
  std::atomic<int> Listener{-1};
};

} // namespace briarspar::forwarding
