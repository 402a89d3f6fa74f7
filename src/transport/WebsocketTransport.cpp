#include "transport/Transport.h"

#include "absl/strings/str_cat.h"

#include <asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <deque>
#include <map>
#include <optional>

namespace briarspar::transport {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;
using websocketpp::frame::opcode::binary;
using websocketpp::frame::opcode::text;

/// Maximum number of messages queued for a peer while its connection opens. Further ones are
/// dropped, and the protocols on top retry them.
constexpr size_t MaxQueuedWhileOpening = 64;

/// State of a WebSocket connection, either outgoing (dialled) or accepted.
struct Connection {
  connection_hdl Handle;
  bool Dialled = false;
  Hello Local;
  core::VmId Peer; ///< Empty on an accepted connection until its first valid frame.
  std::unique_ptr<FrameCodec> Codec;                     ///< Null until the peer's hello arrives.
  std::deque<std::pair<std::string, std::string>> Queue; ///< Message types and bodies.
};

using ConnectionPtr = std::shared_ptr<Connection>;

class WebsocketTransport final : public Transport {
public:
  WebsocketTransport(asio::io_context &io, const core::Clock &clock, core::EventSink &events,
                     const TransportSettings &settings)
      : Io(io), Clock(clock), Events(events), Settings(settings) {}

  absl::Status start(Handler handler) override {
    OnMessage = std::move(handler);
    configure(ServerEndpoint);
    configure(ClientEndpoint);
    ServerEndpoint.set_reuse_addr(true);
    ServerEndpoint.set_open_handler([this](const connection_hdl &h) { onOpen(h, nullptr); });
    websocketpp::lib::error_code ec;
    ServerEndpoint.listen(
        asio::ip::tcp::endpoint(asio::ip::make_address(Settings.Listen.Host), Settings.Listen.Port),
        ec);
    if (ec)
      return absl::UnavailableError(absl::StrCat("peer listener: ", ec.message()));
    Port = ServerEndpoint.get_local_endpoint(ec).port();
    ServerEndpoint.start_accept(ec);
    if (ec)
      return absl::UnavailableError(absl::StrCat("peer listener: ", ec.message()));
    return absl::OkStatus();
  }

  void stop() override {
    websocketpp::lib::error_code ec;
    ServerEndpoint.stop_listening(ec);
    for (auto &[key, connection] : Connections)
      closeConnection(*connection);
  }

  void setAddress(const core::VmId &peer, const PeerAddress &address) override {
    Addresses[peer] = address;
  }

  void send(const core::VmId &to, std::string_view kind, std::string body) override {
    ConnectionPtr connection = connectionTo(to);
    if (!connection)
      return;
    if (connection->Codec)
      write(*connection, kind, body);
    else if (connection->Queue.size() < MaxQueuedWhileOpening)
      connection->Queue.emplace_back(kind, std::move(body));
  }

  uint16_t port() const override { return Port; }

private:
  using Key = connection_hdl;
  using Order = std::owner_less<connection_hdl>;

  template <class Endpoint> void configure(Endpoint &endpoint) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&Io);
    endpoint.set_max_message_size(Settings.MaxFrameBytes);
    endpoint.set_open_handshake_timeout(Settings.HandshakeTimeout.Ms);
    endpoint.set_tcp_post_init_handler([this, &endpoint](const connection_hdl &h) {
      websocketpp::lib::error_code ec;
      auto handle = endpoint.get_con_from_hdl(h, ec);
      if (!ec)
        setSocketOptions(handle->get_raw_socket());
    });
    endpoint.set_message_handler([this](const connection_hdl &h, auto message) {
      onWebsocketMessage(h, message->get_opcode() == text, message->get_payload());
    });
    endpoint.set_close_handler([this](const connection_hdl &h) { onClosed(h); });
    endpoint.set_fail_handler([this](const connection_hdl &h) { onClosed(h); });
  }

  void setSocketOptions(asio::ip::tcp::socket &socket) {
    // Small messages are sent back to back without waiting for replies. With Nagle's algorithm the
    // second one would be delayed until the first is acknowledged, up to 40 ms.
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // Without TCP_USER_TIMEOUT the kernel retransmits to an unreachable host for about 15 minutes,
    // and once the host is reachable again the back-off delays messages by up to two minutes.
    auto timeout = static_cast<unsigned int>(Settings.PeerTimeout.Ms);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  }

  ConnectionPtr find(const connection_hdl &h) {
    auto it = Connections.find(h);
    return it == Connections.end() ? nullptr : it->second;
  }

  ConnectionPtr connectionTo(const core::VmId &to) {
    auto it = ByPeer.find(to);
    if (it != ByPeer.end())
      if (ConnectionPtr connection = it->second.lock())
        return connection;
    return dial(to);
  }

  ConnectionPtr dial(const core::VmId &to) {
    auto address = Addresses.find(to);
    if (address == Addresses.end())
      return nullptr;
    core::Time now = Clock.now();
    auto last = LastDial.find(to);
    if (last != LastDial.end() && now - last->second < Settings.RedialDelay)
      return nullptr;
    LastDial[to] = now;
    websocketpp::lib::error_code ec;
    auto handle = ClientEndpoint.get_connection(
        absl::StrCat("ws://", address->second.Host, ":", address->second.Port, "/peer"), ec);
    if (ec)
      return nullptr;
    auto connection = std::make_shared<Connection>();
    connection->Handle = handle->get_handle();
    connection->Dialled = true;
    connection->Peer = to;
    Connections[connection->Handle] = connection;
    ByPeer[to] = connection;
    handle->set_open_handler(
        [this, connection](const connection_hdl &h) { onOpen(h, connection); });
    ClientEndpoint.connect(handle);
    return connection;
  }

  /// Sends the local hello as the first message. Hellos are text messages; frames are binary.
  void onOpen(const connection_hdl &h, ConnectionPtr connection) {
    if (!connection) {
      connection = std::make_shared<Connection>();
      connection->Handle = h;
      Connections[h] = connection;
      if (Connections.size() > Settings.MaxConnections) {
        reject(*connection, "too many connections");
        return;
      }
    }
    connection->Local = {Settings.Self, Settings.Incarnation, randomHex(NonceLength / 2)};
    sendBytes(*connection, encodeHello(connection->Local), text);
  }

  void onWebsocketMessage(const connection_hdl &h, bool isHello, const std::string &bytes) {
    ConnectionPtr connection = find(h);
    if (!connection)
      return;
    if (isHello)
      onHello(*connection, bytes);
    else
      onMessageFrame(connection, bytes);
  }

  void onHello(Connection &connection, const std::string &bytes) {
    absl::StatusOr<Hello> hello = decodeHello(bytes);
    if (!hello.ok() || connection.Codec) {
      reject(connection, hello.ok() ? "repeated handshake" : std::string(hello.status().message()));
      return;
    }
    // With itself as the peer, both directions would have the same key, and a process could be sent
    // its own frames.
    bool isSelf = hello->Vm == Settings.Self;
    if (isSelf || (connection.Dialled && hello->Vm != connection.Peer)) {
      reject(connection, "handshake names an unexpected VM");
      return;
    }
    connection.Codec =
        std::make_unique<FrameCodec>(Settings.Secret, Settings.Kinds, connection.Local, *hello);
    for (const auto &[kind, body] : connection.Queue)
      write(connection, kind, body);
    connection.Queue.clear();
  }

  void onMessageFrame(const ConnectionPtr &connection, const std::string &bytes) {
    if (!connection->Codec) {
      reject(*connection, "message before handshake");
      return;
    }
    absl::StatusOr<PeerMessage> message = connection->Codec->decode(bytes);
    if (!message.ok()) {
      reject(*connection, std::string(message.status().message()));
      return;
    }
    // Only a valid frame proves that the peer holds the secret; its hello does not.
    if (connection->Peer.empty()) {
      connection->Peer = message->From;
      Events.emit({core::EventId::PeerConnected, {{"peer", message->From.Value}}});
    }
    ByPeer[message->From] = connection;
    OnMessage(*message);
  }

  void onClosed(const connection_hdl &h) {
    ConnectionPtr connection = find(h);
    if (!connection)
      return;
    if (connection->Codec && !connection->Peer.empty())
      Events.emit({core::EventId::PeerDisconnected, {{"peer", connection->Peer.Value}}});
    Connections.erase(h);
    auto it = ByPeer.find(connection->Peer);
    if (it != ByPeer.end() && it->second.lock() == connection)
      ByPeer.erase(it);
  }

  void reject(Connection &connection, const std::string &reason) {
    Events.emit({core::EventId::PeerMessageRejected,
                 {{"peer", connection.Peer.Value}, {"reason", reason}}});
    closeConnection(connection);
  }

  void closeConnection(Connection &connection) {
    websocketpp::lib::error_code ec;
    if (connection.Dialled)
      ClientEndpoint.close(connection.Handle, websocketpp::close::status::policy_violation, "", ec);
    else
      ServerEndpoint.close(connection.Handle, websocketpp::close::status::policy_violation, "", ec);
  }

  void write(Connection &connection, std::string_view kind, std::string_view body) {
    if (bufferedBytes(connection) > Settings.MaxBufferedBytes)
      return;
    sendBytes(connection, connection.Codec->encode(kind, body), binary);
  }

  size_t bufferedBytes(const Connection &connection) {
    websocketpp::lib::error_code ec;
    if (connection.Dialled) {
      auto handle = ClientEndpoint.get_con_from_hdl(connection.Handle, ec);
      return ec ? 0 : handle->get_buffered_amount();
    }
    auto handle = ServerEndpoint.get_con_from_hdl(connection.Handle, ec);
    return ec ? 0 : handle->get_buffered_amount();
  }

  void sendBytes(Connection &connection, const std::string &bytes,
                 websocketpp::frame::opcode::value opcode) {
    websocketpp::lib::error_code ec;
    if (connection.Dialled)
      ClientEndpoint.send(connection.Handle, bytes, opcode, ec);
    else
      ServerEndpoint.send(connection.Handle, bytes, opcode, ec);
  }

  asio::io_context &Io;
  const core::Clock &Clock;
  core::EventSink &Events;
  TransportSettings Settings;
  Handler OnMessage;
  Server ServerEndpoint;
  Client ClientEndpoint;
  uint16_t Port = 0;
  std::map<core::VmId, PeerAddress> Addresses;
  std::map<core::VmId, core::Time> LastDial;
  std::map<Key, ConnectionPtr, Order> Connections;
  std::map<core::VmId, std::weak_ptr<Connection>> ByPeer;
};

} // namespace

std::unique_ptr<Transport> makeWebsocketTransport(asio::io_context &io, const core::Clock &clock,
                                                  core::EventSink &events,
                                                  const TransportSettings &settings) {
  return std::make_unique<WebsocketTransport>(io, clock, events, settings);
}

} // namespace briarspar::transport
