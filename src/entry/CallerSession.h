#pragma once

#include "entry/Exchange.h"
#include "entry/TargetPool.h"
#include "http/MessageParser.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace briarspar::entry {

struct CallerSessionSettings {
  /// Maximum number of pipelined requests that one connection processes concurrently.
  size_t MaxPipelined = 16;
  size_t MaxQueuedBytes = 256UL * 1024; ///< Response bytes buffered for a caller that reads slowly.
  size_t MaxUnparsedBytes = 64UL * 1024; ///< Received bytes buffered before they are parsed.
};

/// The connection of one caller: parses requests, runs an Exchange for each and writes the
/// responses in request order. Runs on the thread of the io_context.
class CallerSession : public std::enable_shared_from_this<CallerSession>,
                      private http::MessageListener {
public:
  /// `ended` is called once, after the connection has been closed.
  CallerSession(asio::io_context &io, asio::ip::tcp::socket socket, const core::Clock &clock,
                EntryContext &context, TargetPool &pool,
                std::function<void(const std::shared_ptr<CallerSession> &)> ended,
                const CallerSessionSettings &settings = {});
  ~CallerSession() override;

  void start();

  /// Lets the requests received so far complete, then closes the connection. With `closeIdle`, a
  /// connection without pending requests is closed immediately, and requests that arrive later are
  /// refused.
  void startStopping(bool closeIdle);

  /// Closes connections that exceed the idle timeout or the timeout for a request head. To be
  /// called several times a second.
  void sweep(core::Time now);

  /// Closes the connection immediately; requests in progress lose their caller.
  void close();

  bool isIdle() const;
  void closeIfIdle();

private:
  class PendingRequest;

  void read();
  void onRead(const asio::error_code &ec, size_t n);
  void parse();
  void linger();
  void rejectBytes(const absl::Status &status);
  void flush();
  void onWritten(const asio::error_code &ec);
  bool shouldCloseAfter(const PendingRequest &request) const;
  bool mayParseNext() const;

  void onHead(http::Head head) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override;

  asio::io_context &Io;
  asio::ip::tcp::socket Socket;
  const core::Clock &Clock;
  EntryContext &Context;
  TargetPool &Pool;
  std::function<void(const std::shared_ptr<CallerSession> &)> Ended;
  const CallerSessionSettings Settings;
  http::MessageParser Parser;
  std::deque<std::shared_ptr<PendingRequest>> Requests; ///< In the order of arrival.
  std::shared_ptr<PendingRequest> Receiving;            ///< The request whose body is being read.
  std::string Buffer;
  std::string Unparsed;
  std::string Writing;
  bool ReadPending = false;
  bool WritePending = false;
  bool Closed = false;
  bool Stopping = false;
  bool CloseIdle = false; ///< While stopping, close the connection once it has no pending request.
  bool Rejected = false;  ///< The received bytes were not valid HTTP, or a head timed out; no more
                          ///< requests are parsed.
  bool CloseAnnounced = false; ///< A response or a request says that the connection will close.
  bool CloseAfterWrite = false;
  bool Lingering = false; ///< The last response is written and the sending side is shut down;
                          ///< waiting for the caller to close.
  core::Time LastActivity;
  core::Time HeadSince; ///< Time at which the first byte of the current request head arrived.
  bool InHead = false;
  bool Discarding = false; ///< The rest of the body of an answered request is being read.
  core::Time DiscardingSince;
  size_t DiscardedBody = 0; ///< Bytes.
};

} // namespace briarspar::entry
