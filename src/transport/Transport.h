#pragma once

#include "core/Event.h"
#include "core/Ids.h"
#include "transport/Frame.h"

#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
} // namespace asio

namespace briarspar::transport {

/// Address of a peer's message listener.
struct PeerAddress {
  std::string Host; ///< IP address.
  uint16_t Port = 0;
};

struct TransportSettings {
  core::VmId Self;
  core::Incarnation Incarnation;
  PeerAddress Listen;                      ///< Port 0 chooses a free one.
  std::string Secret;                      ///< Shared by all processes of the system.
  KindTable Kinds;                         ///< The same at all processes of the system.
  size_t MaxFrameBytes = 16 * 1024 * 1024; ///< Longest accepted frame.
  size_t MaxBufferedBytes =
      8 * 1024 * 1024;             ///< Unsent bytes per connection beyond which messages drop.
  size_t MaxConnections = 4096;    ///< Open connections; further ones are closed at once.
  core::Duration RedialDelay{200}; ///< Shortest time between two dials of one peer.
  core::Duration HandshakeTimeout{2000}; ///< Time for a new connection to open.
  core::Duration PeerTimeout{3000};      ///< Sent data not acknowledged this long: closed.
};

/// Sends messages to other processes and delivers received ones. Messages may be lost, so every
/// protocol above retries; on one connection they keep their order. All members run on the thread
/// of the io_context and do not block.
class Transport {
public:
  using Handler = std::function<void(const PeerMessage &)>;

  virtual ~Transport() = default;

  /// Opens the listener. Returns an error when the address is not available.
  virtual absl::Status start(Handler handler) = 0;
  virtual void stop() = 0;

  /// Sets the address used to dial `peer`. Peers that dial this process need none.
  virtual void setAddress(const core::VmId &peer, const PeerAddress &address) = 0;

  /// Sends over an open connection to the peer, or dials it; drops the message when neither is
  /// possible.
  virtual void send(const core::VmId &to, std::string_view kind, std::string body) = 0;

  virtual uint16_t port() const = 0;
};

/// Transport over websocket connections that carry authenticated frames.
std::unique_ptr<Transport> makeWebsocketTransport(asio::io_context &io, const core::Clock &clock,
                                                  core::EventSink &events,
                                                  const TransportSettings &settings);

} // namespace briarspar::transport
