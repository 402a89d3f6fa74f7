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

/// Messages kept for a peer while its connection opens; the protocols above retry what is dropped.
constexpr size_t MaxQueuedWhileOpening = 64;

/// State of one websocket connection, either dialled or accepted.
struct Connection {
  connection_hdl Handle;
  bool Dialled = false;
  Hello Local;
  core::VmId Peer; ///< Known from the start when dialled, else from the first valid frame.
  std::unique_ptr<FrameCodec> Codec;                     ///< Null until the peer's hello arrives.
  std::deque<std::pair<std::string, std::string>> Queue; ///< Kinds and bodies.
};

using ConnectionPtr = std::shared_ptr<Connection>;

class WebsocketTransport final : public Transport {
public:
  WebsocketTransport(asio::io_context &io, const core::Clock &clock, core::EventSink &events,
                     const TransportSettings &settings)
      : Io(io), Clock(clock), Events(events), Settings(settings) {}

  absl::Status start(Handler handler) override {
    OnMessage = std::move(handler);
    setUp(ServerEnd);
    setUp(ClientEnd);
    ServerEnd.set_reuse_addr(true);
    ServerEnd.set_open_handler([this](const connection_hdl &h) { onOpen(h, nullptr); });
    websocketpp::lib::error_code ec;
    ServerEnd.listen(
        asio::ip::tcp::endpoint(asio::ip::make_address(Settings.Listen.Host), Settings.Listen.Port),
        ec);
    if (ec)
      return absl::UnavailableError(absl::StrCat("peer listener: ", ec.message()));
    Port = ServerEnd.get_local_endpoint(ec).port();
    ServerEnd.start_accept(ec);
    if (ec)
      return absl::UnavailableError(absl::StrCat("peer listener: ", ec.message()));
    return absl::OkStatus();
  }

  void stop() override {
    websocketpp::lib::error_code ec;
    ServerEnd.stop_listening(ec);
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

  template <class End> void setUp(End &end) {
    end.clear_access_channels(websocketpp::log::alevel::all);
    end.clear_error_channels(websocketpp::log::elevel::all);
    end.init_asio(&Io);
    end.set_max_message_size(Settings.MaxFrameBytes);
    end.set_open_handshake_timeout(Settings.HandshakeTimeout.Ms);
    end.set_tcp_post_init_handler([this, &end](const connection_hdl &h) {
      websocketpp::lib::error_code ec;
      auto handle = end.get_con_from_hdl(h, ec);
      if (!ec)
        setSocketOptions(handle->get_raw_socket());
    });
    end.set_message_handler([this](const connection_hdl &h, auto message) {
      onFrame(h, message->get_opcode() == text, message->get_payload());
    });
    end.set_close_handler([this](const connection_hdl &h) { onClosed(h); });
    end.set_fail_handler([this](const connection_hdl &h) { onClosed(h); });
  }

  void setSocketOptions(asio::ip::tcp::socket &socket) {
    // Small messages follow each other without an answer between them; with Nagle's algorithm the
    // second one would wait up to 40 ms for the acknowledgement of the first.
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // Without it the kernel retransmits to a host that is cut off for about 15 minutes, and after
    // the cut heals the back-off holds messages for up to two minutes.
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
    auto handle = ClientEnd.get_connection(
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
    ClientEnd.connect(handle);
    return connection;
  }

  /// Presents this side's hello as the first, textual message of the connection.
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

  void onFrame(const connection_hdl &h, bool isHello, const std::string &bytes) {
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
      reject(connection, hello.ok() ? "second handshake" : std::string(hello.status().message()));
      return;
    }
    // Both directions would have the same key, so that a process could be sent its own frames.
    bool isSelf = hello->Vm == Settings.Self;
    if (isSelf || (connection.Dialled && hello->Vm != connection.Peer)) {
      reject(connection, "another VM than the dialled one answered");
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
    // The peer is known to hold the secret only now; its hello alone proves nothing.
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
      ClientEnd.close(connection.Handle, websocketpp::close::status::policy_violation, "", ec);
    else
      ServerEnd.close(connection.Handle, websocketpp::close::status::policy_violation, "", ec);
  }

  void write(Connection &connection, std::string_view kind, std::string_view body) {
    if (bufferedBytes(connection) > Settings.MaxBufferedBytes)
      return;
    sendBytes(connection, connection.Codec->encode(kind, body), binary);
  }

  size_t bufferedBytes(const Connection &connection) {
    websocketpp::lib::error_code ec;
    if (connection.Dialled) {
      auto handle = ClientEnd.get_con_from_hdl(connection.Handle, ec);
      return ec ? 0 : handle->get_buffered_amount();
    }
    auto handle = ServerEnd.get_con_from_hdl(connection.Handle, ec);
    return ec ? 0 : handle->get_buffered_amount();
  }

  void sendBytes(Connection &connection, const std::string &bytes,
                 websocketpp::frame::opcode::value opcode) {
    websocketpp::lib::error_code ec;
    if (connection.Dialled)
      ClientEnd.send(connection.Handle, bytes, opcode, ec);
    else
      ServerEnd.send(connection.Handle, bytes, opcode, ec);
  }

  asio::io_context &Io;
  const core::Clock &Clock;
  core::EventSink &Events;
  TransportSettings Settings;
  Handler OnMessage;
  Server ServerEnd;
  Client ClientEnd;
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
