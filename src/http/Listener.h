#pragma once

#include "absl/status/status.h"
#include "core/Event.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace briarspar::http {

/// Accepts connections on one address. Without descriptors or memory for a connection it waits a
/// moment before the next one, as trying again at once would take the processor from the
/// connections that could end. Runs on the thread of the io_context.
class Listener {
public:
  using AcceptHandler = std::function<void(asio::ip::tcp::socket)>;

  Listener(asio::io_context &io, core::EventSink &events, AcceptHandler accepted);

  /// Opens the listener, with the address reused. Returns an error when it is not available.
  absl::Status start(const std::string &host, uint16_t port);

  /// Accepts no more connections.
  void stop();

  uint16_t port() const { return Port; }

private:
  void accept();
  void pause(const asio::error_code &ec);

  core::EventSink &Events;
  const AcceptHandler OnAccepted;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer Pause;
  uint16_t Port = 0;
};

} // namespace briarspar::http
