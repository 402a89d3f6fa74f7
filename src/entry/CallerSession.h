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
  size_t MaxPipelined = 16;              ///< Requests of one connection that are served at once.
  size_t MaxQueuedBytes = 256UL * 1024;  ///< Answer bytes held for a slow caller.
  size_t MaxUnparsedBytes = 64UL * 1024; ///< Received bytes that wait for their turn.
};

/// The connection of one caller: parses its requests, runs an exchange for each and writes the
/// answers in the order of the requests. Runs on the thread of the io_context.
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

  /// Closes the connection after the answers to what has arrived, and at once, if `closeIdle`,
  /// when nothing is due.
  void startStopping(bool closeIdle);

  /// Closes connections that are idle or send a head too slowly. To be called several times a
  /// second.
  void sweep(core::Time now);

  /// Closes at once.
  void close();

  bool isIdle() const;

private:
  class PendingRequest;

  void read();
  void onRead(const asio::error_code &ec, size_t n);
  void parse();
  void linger();
  void rejectBytes(const absl::Status &status);
  void flush();
  void onWritten(const asio::error_code &ec);
  bool mayClose(const PendingRequest &request) const;

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
  std::deque<std::shared_ptr<PendingRequest>> Requests; ///< In the order of the requests.
  std::shared_ptr<PendingRequest> Receiving;            ///< Its body is being read.
  std::string Buffer;
  std::string Unparsed;
  std::string Writing;
  bool ReadPending = false;
  bool WritePending = false;
  bool Closed = false;
  bool Stopping = false;
  bool CloseIdle = false; ///< While stopping, a connection without requests is closed.
  bool Rejected = false;  ///< The caller's bytes are no requests any more.
  bool CloseAfterWrite = false;
  bool Lingering = false; ///< The last answer is written; the caller's end is awaited.
  core::Time LastActivity;
  core::Time HeadSince; ///< When the head that is being read began.
  bool InHead = false;
};

} // namespace briarspar::entry
