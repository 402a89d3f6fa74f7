#pragma once

#include "absl/status/status.h"
#include "core/Event.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace briarspar::http {

/// Accepts TCP connections on one address. If accept fails for lack of descriptors or memory, it is
/// retried after a delay: an immediate retry would fail again and take processor time from the
/// connections that could finish and release resources. Runs on the thread of the io_context.
class Listener {
public:
  using AcceptHandler = std::function<void(asio::ip::tcp::socket)>;

  Listener(asio::io_context &io, core::EventSink &events, AcceptHandler accepted);

  /// Binds with SO_REUSEADDR and starts to accept. Returns Unavailable if the address cannot be
  /// bound.
  absl::Status start(const std::string &host, uint16_t port);

  /// Stops accepting connections.
  void stop();

  /// Accepts the connections that are already waiting, then stops.
  void stopAfterPending();

  uint16_t port() const { return Port; }

private:
  void accept();
  void retryLater(const asio::error_code &ec);

  core::EventSink &Events;
  const AcceptHandler OnAccepted;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  uint16_t Port = 0;
};

} // namespace briarspar::http
