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

namespace briarspar::http {

/// Why an exchange on a client connection ended without a whole answer.
enum class ConnectionLoss : uint8_t {
  NotConnected, ///< The connection was never opened: nothing has been sent.
  Closed,       ///< It ended after bytes of the request may have left.
  Malformed,    ///< The bytes that came are no answer to this request.
};

/// Receives one answer. Every call may destroy the listener's owner; after onResponseEnd and
/// onConnectionLost no further call follows.
class ResponseListener {
public:
  virtual ~ResponseListener() = default;
  virtual void onConnected(core::Duration time) {}
  virtual void onResponseHead(Head head) = 0;
  virtual void onResponseBody(std::string_view bytes) = 0;
  virtual void onResponseEnd() = 0;
  virtual void onConnectionLost(ConnectionLoss loss) = 0;
  /// The bytes waiting to be sent have fallen below the limit again.
  virtual void onWritable() {}
};

struct ClientConnectionSettings {
  core::Duration ConnectTimeout{1000};
  /// Unacknowledged bytes for this long end the connection: the peer's host is cut off or dark.
  core::Duration UserTimeout{1200};
  size_t MaxHeadBytes = 64UL * 1024;
  size_t MaxQueuedBytes = 256UL * 1024;  ///< Beyond it `isWritable` is false.
  core::Duration DefaultKeepAlive{5000}; ///< Idle time when the server names none.
};

/// One outgoing HTTP/1.1 connection that carries one exchange at a time. Runs on the thread of the
/// io_context.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private MessageListener {
public:
  ClientConnection(asio::io_context &io, const core::Clock &clock, std::string host, uint16_t port,
                   const ClientConnectionSettings &settings);
  ~ClientConnection() override;

  /// Name of the header that the server echoes; answers with another value are skipped, as they
  /// belong to earlier requests. Empty: every answer is the awaited one.
  void setIdHeader(std::string name) { IdHeader = std::move(name); }

  /// Starts an exchange: sends a head, after connecting if necessary. The connection must be idle.
  /// `id` is the expected value of the id header.
  void start(const Head &head, std::string id, ResponseListener &listener);

  /// Sends bytes of the request's body as they are; the caller frames them.
  void write(std::string_view bytes);

  /// Tells that the whole request has been handed over.
  void finishRequest() { RequestDone = true; }

  /// Lets another listener take the rest of the answer.
  void setListener(ResponseListener &listener) { Listener = &listener; }

  /// Gives the exchange up and closes; the listener gets no further call.
  void close();

  /// Stops or resumes reading the answer.
  void setReading(bool on);

  bool isOpen() const { return Phase == Open; }
  bool isIdle() const { return Phase == Open && Listener == nullptr; }
  bool isWritable() const { return QueuedBytes < Settings.MaxQueuedBytes; }

  /// True when an idle connection may carry another exchange at `now`. One that must not be sent
  /// twice needs `fresh`, a connection that has just been used.
  bool mayReuse(core::Time now, bool fresh) const;

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
  void lose(ConnectionLoss loss);
  void shut();

  void onHead(Head head) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override;

  const core::Clock &Clock;
  const std::string Host;
  const uint16_t Port;
  const ClientConnectionSettings Settings;
  std::string IdHeader;
  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  MessageParser Parser;
  PhaseKind Phase = Created;
  ResponseListener *Listener = nullptr;
  std::string Id;
  bool Skipping = false; ///< The answer being read belongs to an earlier request.
  bool RequestDone = false;
  bool Reusable = true;
  bool ReadingOn = true;
  bool ReadPending = false;
  bool WritePending = false;
  core::Time ConnectStart;
  core::Time LastUse;
  core::Duration KeepAlive;
  std::deque<std::string> Queue;
  size_t QueuedBytes = 0;
  std::string Buffer;
};

} // namespace briarspar::http
