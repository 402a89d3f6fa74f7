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
  int Port = 0;                       ///< 0 selects a free port.
  size_t MaxConnections = 512;        ///< Concurrent connections, one thread each.
  size_t MaxBodyBytes = 1024 * 1024;  ///< Maximum size of a request body.
  core::Duration IdleTimeout{60'000}; ///< Idle time after which a keep-alive connection is closed.
  core::Duration ReadTimeout{5'000};  ///< Maximum wait for the next bytes of a request.
};

/// An HTTP server with one handler for all methods and paths. A few overflow threads answer
/// connections beyond MaxConnections with 503. The handler runs on the connection's thread and may
/// block.
class HttpServer {
public:
  using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

  HttpServer(const HttpServerSettings &settings, Handler handler);
  ~HttpServer();

  /// Binds and starts to accept. Returns Unavailable if the address cannot be bound.
  absl::Status start();

  /// Closes each connection after its next response, so that callers reconnect to another VM.
  void closeAfterResponses() { Server.closeAfterResponses(); }

  /// Shuts down gracefully: refuses new connections, closes idle ones and waits until every request
  /// that has arrived is answered.
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
