#pragma once

#include "core/Clock.h"

#include <httplib.h>

#include <atomic>
#include <string>

namespace briarspar::forwarding {

/// Accepts and serves the connections of an HttpServer and supports a graceful shutdown. When
/// httplib::Server stops, it closes its listener and every connection that waits for a thread, so
/// callers would see resets for requests that they have already sent.
class CallerConnections final : public httplib::Server {
public:
  struct Limits {
    core::Duration IdleTimeout;      ///< Idle time after which a keep-alive connection is closed.
    core::Duration ReadTimeout;      ///< Maximum wait until the socket can be read or written.
    size_t MaxRequestsPerConnection; ///< The connection is closed after this many requests.
  };

  explicit CallerConnections(const Limits &limits);
  ~CallerConnections() override;

  /// Closes each connection after its next response, so that callers reconnect to another VM.
  void closeAfterResponses() { Closing = true; }

  /// Stops taking new connections and waits until every connection in the kernel's accept queue has
  /// been handed to a thread. Connection attempts after this call are refused.
  void finishAccepting(socket_t listener);

  /// Closes idle connections at once and busy ones after their current response.
  void closeIdle();

private:
  bool process_and_close_socket(socket_t sock) override;
  void serve(socket_t sock);
  bool waitForRequest(socket_t sock) const;

  Limits ConnectionLimits;
  std::atomic<bool> Closing{false};
  int CloseIdleEvent = -1; ///< An eventfd that becomes readable when idle connections must close.
};

} // namespace briarspar::forwarding
