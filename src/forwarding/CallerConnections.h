#pragma once

#include "core/Clock.h"

#include <httplib.h>

#include <atomic>
#include <string>

namespace briarspar::forwarding {

/// Accepts and serves the connections of an HttpServer and ends them without cutting a request.
/// The library closes its listener and every connection that waits for a thread when it stops, so
/// callers would see resets for requests that they have sent already.
class CallerConnections final : public httplib::Server {
public:
  struct Limits {
    core::Duration IdleTimeout;      ///< An idle kept-alive connection is closed after this.
    core::Duration ReadTimeout;      ///< Longest wait for bytes of a request or of an answer.
    size_t MaxRequestsPerConnection; ///< The connection is closed after so many requests.
  };

  explicit CallerConnections(const Limits &limits);
  ~CallerConnections() override;

  /// From now on each answer closes its connection. Callers that are sent elsewhere leave then.
  void closeAfterResponses() { Closing = true; }

  /// Takes no further connections and waits until those that the kernel has accepted for the
  /// listener were handed to a thread. A connection attempt after this call is refused.
  void finishAccepting(socket_t listener);

  /// Closes idle connections. Those with a request in progress are closed after its answer.
  void closeIdle();

private:
  bool process_and_close_socket(socket_t sock) override;
  void serve(socket_t sock);
  bool waitForRequest(socket_t sock) const;

  Limits ConnectionLimits;
  std::atomic<bool> Closing{false};
  int CloseIdleEvent = -1; ///< An eventfd that becomes readable when idle connections are to close.
};

} // namespace briarspar::forwarding
