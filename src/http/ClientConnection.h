#pragma once

#include "core/Clock.h"
#include "http/MessageParser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::http {

/// Why an exchange ended without a complete response.
enum class ConnectionLoss : uint8_t {
  NotAvailable, ///< No connection was tried, as the limit is reached; nothing was sent.
  NotConnected, ///< The connection was not established; nothing was sent.
  Closed,       ///< The connection ended after part of the request may have been sent.
  Malformed,    ///< The received bytes are not a response to this request.
};

/// Receives one response. onResponseEnd or onConnectionLost is the last call. Any call may destroy
/// the owner of the listener.
class ResponseListener {
public:
  virtual ~ResponseListener() = default;
  virtual void onConnected(core::Duration time) {}
  virtual void onResponseHead(Head head) = 0;
  virtual void onResponseBody(std::string_view bytes) = 0;
  virtual void onResponseEnd() = 0;
  virtual void onConnectionLost(ConnectionLoss loss) = 0;
  /// The queue of unsent bytes has fallen below MaxQueuedBytes again.
  virtual void onWritable() {}
};

/// Why a response, or other bytes from the server, belongs to no request in progress.
enum class UnexpectedResponse : uint8_t {
  OtherId,   ///< Bears another id than the request in progress.
  NoId,      ///< Bears no id on a connection that has carried earlier requests.
  NoRequest, ///< No request was in progress.
  Malformed, ///< The bytes are not a response, or may be parts of two responses.
};

class ClientConnection;

/// Is told of what happens on connections outside of their exchanges.
class ConnectionObserver {
public:
  virtual ~ConnectionObserver() = default;

  /// Called while received bytes are processed; must not use the connection. `head` is null if the
  /// bytes were not parsed; `reason` tells what is wrong with malformed ones.
  virtual void onUnexpectedResponse(const ClientConnection &connection, UnexpectedResponse kind,
                                    const Head *head, std::string_view reason) = 0;

  /// Called when an open connection has ended that the server had not announced to close; must not
  /// use the connection. `isOrderly` tells that the server closed it. Otherwise it was reset or no
  /// longer acknowledged, and other connections may have ended without a sign.
  virtual void onConnectionEnded(const ClientConnection &connection, bool isOrderly) = 0;
};

struct ClientConnectionSettings {
  core::Duration ConnectTimeout{1000};
  /// TCP_USER_TIMEOUT: the connection is closed when sent data stays unacknowledged for this long,
  /// because the peer's host is down or unreachable.
  core::Duration UserTimeout{1200};
  size_t MaxHeadBytes = 64UL * 1024;
  size_t MaxQueuedBytes = 256UL * 1024; ///< isWritable() returns false from this size on.
  /// Bytes received during an exchange that are not part of its response body: heads, framing and
  /// responses to earlier requests. The connection is closed when they exceed this size.
  size_t MaxOverheadBytes = 1024UL * 1024;
  core::Duration DefaultKeepAlive{5000}; ///< Idle timeout if the server announces none.
  /// A connection with an id header is not reused after this many exchanges, which bounds the
  /// memory for the ids that it has carried.
  size_t MaxExchanges = 256;
};

/// An outgoing HTTP/1.1 connection that carries one exchange at a time, without pipelining. Runs on
/// the thread of the io_context.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private MessageListener {
public:
  ClientConnection(asio::io_context &io, const core::Clock &clock, std::string host, uint16_t port,
                   const ClientConnectionSettings &settings);
  ~ClientConnection() override;

  /// Sets the name of a request header that the server echoes. Responses with another value belong
  /// to earlier requests and are skipped. A response without the header is accepted only during the
  /// first exchange, because later it could belong to an earlier request. If the name is empty, all
  /// responses are accepted. Each id may be sent once: a server may repeat an earlier response, and
  /// the id of a repeated request would not show for which send it is.
  void setIdHeader(std::string name) { IdHeader = std::move(name); }

  /// Sets a number that identifies the connection in log events, and the observer, which must
  /// outlive the connection.
  void observe(uint64_t number, ConnectionObserver &observer) {
    Number = number;
    Observer = &observer;
  }

  /// Sets the name of the process that the next exchange is for.
  void setPeer(std::string name) { Peer = std::move(name); }
  const std::string &peer() const { return Peer; }

  /// Starts an exchange: connects if necessary and sends the head. No other exchange may be in
  /// progress. `id` is the expected value of the id header. With an id header, hasSent(id) must be
  /// false, and a request that needs its own connection must be the first one.
  void start(const Head &head, std::string id, ResponseListener &listener);

  /// Sends raw bytes of the request body. The caller adds the chunk framing, if any.
  void write(std::string_view bytes);

  /// Marks the request as complete. A connection whose response ends earlier is not reused.
  void finishRequest() { RequestDone = true; }

  /// Passes the rest of the response to another listener.
  void setListener(ResponseListener &listener) { Listener = &listener; }

  /// Aborts the exchange and closes the connection. The listener receives no further call.
  void close();

  /// Pauses or resumes reading the response.
  void setReading(bool on);

  bool isOpen() const { return Phase == Open; }
  bool isEnded() const { return Phase == Ended; }
  bool isIdle() const { return Phase == Open && Listener == nullptr; }
  bool isWritable() const { return QueuedBytes < Settings.MaxQueuedBytes; }

  /// Returns whether a request can only have a connection of its own: its response is framed in
  /// another way than the responses before and after it, or bears no id.
  static bool needsOwnConnection(const Head &head, std::string_view id) {
    return head.Method == "HEAD" || id.empty();
  }

  /// Returns whether the connection has carried a request with this id.
  bool hasSent(std::string_view id) const;

  /// Returns whether the connection is idle and may carry another exchange at `now`. A request that
  /// must not be sent twice sets `fresh`, which requires that the connection was used recently.
  bool mayReuse(core::Time now, bool fresh) const;

  uint64_t number() const { return Number; }

  /// Returns the number of exchanges started, which is the number of the one in progress.
  uint64_t exchanges() const { return Exchanges; }

  /// Returns when the connection was established.
  core::Time openedAt() const { return OpenedAt; }

  /// Returns when bytes arrived last, or when the connection was established.
  core::Time lastHeard() const { return LastHeard; }

  const std::string &host() const { return Host; }
  uint16_t port() const { return Port; }

private:
  enum PhaseKind : uint8_t { Created, Connecting, Open, Ended };

  void connect();
  void onConnect(const asio::error_code &ec);
  void read();
  void onRead(const asio::error_code &ec, size_t n);
  void parse(std::string_view bytes);
  void flush();
  void failExchange(ConnectionLoss loss);
  void closeSocket();
  void reportUnexpected(UnexpectedResponse kind, const Head *head,
                        std::string_view reason = "") const;

  void onHead(Head head) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override;

  const core::Clock &Clock;
  const std::string Host;
  const uint16_t Port;
  const ClientConnectionSettings Settings;
  std::string IdHeader;
  std::string Peer;
  uint64_t Number = 0;
  ConnectionObserver *Observer = nullptr;
  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  MessageParser Parser;
  PhaseKind Phase = Created;
  ResponseListener *Listener = nullptr;
  std::string Id;
  uint64_t Exchanges = 0;        ///< Number of exchanges started.
  std::vector<uint64_t> SentIds; ///< Hashes of the ids of all exchanges, if there is an id header.
  size_t OverheadBytes = 0;      ///< See ClientConnectionSettings::MaxOverheadBytes.
  bool Skipping = false;         ///< The response being read belongs to an earlier request.
  bool Unusable = false;         ///< The response being read may belong to an earlier request.
  bool SingleUse = false;        ///< The request in progress needs its own connection.
  bool RequestDone = false;
  bool Reusable = true;
  bool CloseAnnounced = false; ///< The server ends the connection after the response being read.
  bool ReadingOn = true;
  bool ReadPending = false;
  bool WritePending = false;
  core::Time ConnectStart;
  core::Time OpenedAt;
  core::Time LastHeard;
  core::Time LastUse;
  core::Duration KeepAlive;
  std::deque<std::string> Queue;
  size_t QueuedBytes = 0;
  std::string Buffer;
};

} // namespace briarspar::http
