#include "http/ClientConnection.h"

#include "core/Hash.h"
#include "core/Text.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace briarspar::http {

namespace {

/// Size of the read buffer.
constexpr size_t ReadBufferBytes = 16UL * 1024;

/// Fraction of the server's idle timeout during which a connection is reused. Later, the server
/// could close it while a request is in flight.
constexpr int64_t ReuseWindowPermille = 700;

/// A connection used this recently is assumed to be open at the server.
constexpr core::Duration FreshMaxIdleTime{2000};

/// Hash seed for the ids of requests.
constexpr uint64_t IdSeed = 0x6964;

core::Duration keepAliveTimeout(const Head &head, core::Duration fallback) {
  std::optional<std::string_view> value = head.find("keep-alive");
  if (!value)
    return fallback;
  for (std::string_view part : core::split(*value, ',')) {
    part = core::trim(part);
    if (!core::consumePrefix(part, "timeout="))
      continue;
    if (std::optional<int64_t> seconds = core::parseNumber<int64_t>(part))
      return core::Duration::seconds(*seconds);
  }
  return fallback;
}

} // namespace

ClientConnection::ClientConnection(asio::io_context &io, const core::Clock &clock, std::string host,
                                   uint16_t port, const ClientConnectionSettings &settings)
    : Clock(clock), Host(std::move(host)), Port(port), Settings(settings), Socket(io),
      ConnectTimer(io), Parser(MessageParser::Responses, settings.MaxHeadBytes, *this),
      KeepAlive(settings.DefaultKeepAlive) {}

ClientConnection::~ClientConnection() = default;

void ClientConnection::start(const Head &head, std::string id, ResponseListener &listener) {
  assert(!hasSent(id));
  Listener = &listener;
  Id = std::move(id);
  if (!IdHeader.empty()) {
    SentIds.push_back(core::hash64(Id, IdSeed));
    SingleUse = needsOwnConnection(head, Id);
    assert(!SingleUse || Exchanges == 0);
  }
  Skipping = false;
  RequestDone = false;
  OverheadBytes = 0;
  ++Exchanges;
  if (head.Method == "HEAD")
    Parser.expectNoBody();
  write(writeHead(head));
  if (Phase == Created)
    connect();
  setReading(true); // The reader of the last response may have paused it at its end.
}

void ClientConnection::write(std::string_view bytes) {
  if (Phase == Ended || bytes.empty())
    return;
  Queue.emplace_back(bytes);
  QueuedBytes += bytes.size();
  flush();
}

void ClientConnection::close() {
  Listener = nullptr;
  closeSocket();
}

void ClientConnection::setReading(bool on) {
  ReadingOn = on;
  if (on && Phase == Open)
    read();
}

bool ClientConnection::mayReuse(core::Time now, bool fresh) const {
  if (!isIdle() || !Reusable || SentIds.size() >= Settings.MaxExchanges)
    return false;
  core::Duration idle = now - LastUse;
  return idle.Ms < KeepAlive.Ms * ReuseWindowPermille / 1000 && (!fresh || idle < FreshMaxIdleTime);
}

bool ClientConnection::hasSent(std::string_view id) const {
  return std::find(SentIds.begin(), SentIds.end(), core::hash64(id, IdSeed)) != SentIds.end();
}

void ClientConnection::connect() {
  Phase = Connecting;
  ConnectStart = Clock.now();
  asio::error_code ec;
  asio::ip::address address = asio::ip::make_address(Host, ec);
  auto self = shared_from_this();
  if (ec) {
    asio::post(Socket.get_executor(), [self] { self->failExchange(ConnectionLoss::NotConnected); });
    return;
  }
  ConnectTimer.expires_after(std::chrono::milliseconds(Settings.ConnectTimeout.Ms));
  ConnectTimer.async_wait([self](const asio::error_code &ec) {
    if (!ec && self->Phase == Connecting)
      self->failExchange(ConnectionLoss::NotConnected);
  });
  Socket.async_connect({address, Port},
                       [self](const asio::error_code &ec) { self->onConnect(ec); });
}

void ClientConnection::onConnect(const asio::error_code &ec) {
  if (Phase != Connecting)
    return;
  ConnectTimer.cancel();
  if (ec) {
    failExchange(ConnectionLoss::NotConnected);
    return;
  }
  Phase = Open;
  OpenedAt = Clock.now();
  LastHeard = OpenedAt;
  asio::error_code ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto timeout = static_cast<unsigned int>(Settings.UserTimeout.Ms);
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  if (Listener != nullptr)
    Listener->onConnected(Clock.now() - ConnectStart);
  if (Phase != Open)
    return;
  read();
  flush();
}

void ClientConnection::read() {
  if (ReadPending || !ReadingOn || Phase != Open)
    return;
  ReadPending = true;
  Buffer.resize(ReadBufferBytes);
  auto self = shared_from_this();
  Socket.async_read_some(asio::buffer(Buffer),
                         [self](const asio::error_code &ec, size_t n) { self->onRead(ec, n); });
}

void ClientConnection::onRead(const asio::error_code &ec, size_t n) {
  ReadPending = false;
  if (Phase != Open)
    return;
  if (ec) {
    if (!CloseAnnounced && Observer != nullptr)
      Observer->onConnectionEnded(*this, /*isOrderly=*/ec == asio::error::eof);
    Reusable = false;
    if (ec == asio::error::eof && Listener != nullptr && !Skipping && Parser.finish().ok() &&
        Listener == nullptr) {
      closeSocket();
      return;
    }
    // While another response was being read, the end of the connection does not show what became of
    // the request.
    failExchange(Skipping ? ConnectionLoss::Malformed : ConnectionLoss::Closed);
    return;
  }
  LastHeard = Clock.now();
  std::string bytes = Buffer.substr(0, n);
  parse(bytes);
  read();
}

void ClientConnection::parse(std::string_view bytes) {
  while (!bytes.empty() && Phase == Open) {
    if (Listener == nullptr) {
      // The server sent data although no request is outstanding.
      reportUnexpected(UnexpectedResponse::NoRequest, nullptr);
      failExchange(ConnectionLoss::Malformed);
      return;
    }
    size_t used = 0;
    OverheadBytes += bytes.size();
    const absl::Status status = Parser.feed(bytes, used);
    bytes.remove_prefix(used);
    OverheadBytes -= std::min(OverheadBytes, bytes.size());
    const bool isTooLong = OverheadBytes > Settings.MaxOverheadBytes;
    if (!status.ok() || isTooLong)
      reportUnexpected(UnexpectedResponse::Malformed, nullptr,
                       isTooLong ? "too many bytes outside the response"
                                 : std::string(status.message()));
    if (!status.ok() || isTooLong || Unusable) {
      failExchange(ConnectionLoss::Malformed);
      return;
    }
  }
}

void ClientConnection::onHead(Head head) {
  const bool isFirst = Exchanges == 1;
  if (!IdHeader.empty()) {
    const std::optional<std::string_view> id = head.find(IdHeader);
    // Of the first exchange no earlier response can be the beginning.
    const bool isJoined = head.MayBeJoined && !isFirst;
    Unusable = isJoined || (!id && !isFirst);
    Skipping = Unusable || (id && *id != Id);
    if (Skipping) {
      const auto kind = isJoined   ? UnexpectedResponse::Malformed
                        : Unusable ? UnexpectedResponse::NoId
                                   : UnexpectedResponse::OtherId;
      reportUnexpected(kind, &head, isJoined ? "a status line within the head" : "");
      return;
    }
  }
  // A server that uses status lines within its heads gets a connection for each request.
  Reusable = head.KeepAlive && head.BodyFraming != Framing::UntilClose && !head.MayBeJoined;
  CloseAnnounced = !head.KeepAlive || head.BodyFraming == Framing::UntilClose;
  KeepAlive = keepAliveTimeout(head, Settings.DefaultKeepAlive);
  if (Listener != nullptr)
    Listener->onResponseHead(std::move(head));
}

void ClientConnection::onBody(std::string_view bytes) {
  if (Skipping || Listener == nullptr)
    return;
  OverheadBytes -= std::min(OverheadBytes, bytes.size());
  Listener->onResponseBody(bytes);
}

void ClientConnection::onEnd() {
  if (Skipping) {
    Skipping = false;
    return;
  }
  LastUse = Clock.now();
  // The rest of the request body is still unsent, or the next request could not tell its response.
  if (!RequestDone || !Queue.empty() || SingleUse)
    Reusable = false;
  ResponseListener *listener = std::exchange(Listener, nullptr);
  if (!Reusable)
    closeSocket();
  if (listener != nullptr)
    listener->onResponseEnd();
}

void ClientConnection::flush() {
  if (WritePending || Queue.empty() || Phase != Open)
    return;
  WritePending = true;
  auto self = shared_from_this();
  std::vector<asio::const_buffer> buffers;
  for (const std::string &it : Queue)
    buffers.emplace_back(it.data(), it.size());
  size_t count = Queue.size();
  asio::async_write(Socket, buffers, [self, count](const asio::error_code &ec, size_t n) {
    self->WritePending = false;
    if (self->Phase != Open)
      return;
    if (ec) {
      // The server may have responded before it closed the connection; the read path decides.
      self->Reusable = false;
      return;
    }
    bool wasFull = !self->isWritable();
    self->Queue.erase(self->Queue.begin(), self->Queue.begin() + static_cast<long>(count));
    self->QueuedBytes -= n;
    if (wasFull && self->isWritable() && self->Listener != nullptr)
      self->Listener->onWritable();
    self->flush();
  });
}

void ClientConnection::failExchange(ConnectionLoss loss) {
  ResponseListener *listener = std::exchange(Listener, nullptr);
  closeSocket();
  if (listener != nullptr)
    listener->onConnectionLost(loss);
}

void ClientConnection::reportUnexpected(UnexpectedResponse kind, const Head *head,
                                        std::string_view reason) const {
  if (Observer != nullptr)
    Observer->onUnexpectedResponse(*this, kind, head, reason);
}

void ClientConnection::closeSocket() {
  if (Phase == Ended)
    return;
  Phase = Ended;
  ConnectTimer.cancel();
  asio::error_code ignored;
  Socket.close(ignored);
}

} // namespace briarspar::http
