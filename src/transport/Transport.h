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

/// Address at which a peer accepts connections.
struct PeerAddress {
  std::string Host; ///< IP address.
  uint16_t Port = 0;
};

struct TransportSettings {
  core::VmId Self;
  core::Incarnation Incarnation;
  PeerAddress Listen;                      ///< Port 0 selects a free port.
  std::string Secret;                      ///< Shared by all processes of the system.
  KindTable Kinds;                         ///< Must be the same in all processes of the system.
  size_t MaxFrameBytes = 16 * 1024 * 1024; ///< Maximum size of a received frame.
  /// Messages are dropped while a connection has more unsent bytes than this.
  size_t MaxBufferedBytes = 8 * 1024 * 1024;
  size_t MaxConnections = 4096;          ///< Further connections are closed at once.
  core::Duration RedialDelay{200};       ///< Minimum time between dials of one peer.
  core::Duration HandshakeTimeout{2000}; ///< Maximum time to open a connection.
  core::Duration PeerTimeout{3000};      ///< Maximum time sent data stays unacknowledged.
};

/// Sends messages to other processes and delivers received ones. Messages may be lost, so protocols
/// on top of it must retry. Messages on one connection keep their order. All members run on the
/// thread of the io_context and do not block.
class Transport {
public:
  using Handler = std::function<void(const PeerMessage &)>;

  virtual ~Transport() = default;

  /// Binds and starts to accept. Returns Unavailable if the address cannot be bound.
  virtual absl::Status start(Handler handler) = 0;
  virtual void stop() = 0;

  /// Sets the address used to connect to `peer`. Peers that connect to this process need none.
  virtual void setAddress(const core::VmId &peer, const PeerAddress &address) = 0;

  /// Sends over an open connection to the peer, or connects to it. Drops the message if neither is
  /// possible.
  virtual void send(const core::VmId &to, std::string_view kind, std::string body) = 0;

  virtual uint16_t port() const = 0;
};

/// Creates a transport over WebSocket connections that carry authenticated frames.
std::unique_ptr<Transport> makeWebsocketTransport(asio::io_context &io, const core::Clock &clock,
                                                  core::EventSink &events,
                                                  const TransportSettings &settings);

} // namespace briarspar::transport
