#include "http/Listener.h"

#include "absl/strings/str_cat.h"

#include <chrono>
#include <utility>

namespace briarspar::http {

namespace {

/// Maximum length of the queue of connections that wait for accept.
constexpr int Backlog = 1024;

/// Delay after a failed accept: short compared with callers' connect time-outs, and long enough to
/// limit the log to ten lines per second.
constexpr std::chrono::milliseconds RetryDelay{100};

} // namespace

Listener::Listener(asio::io_context &io, core::EventSink &events, AcceptHandler accepted)
    : Events(events), OnAccepted(std::move(accepted)), Acceptor(io), RetryTimer(io) {}

absl::Status Listener::start(const std::string &host, uint16_t port) {
  asio::error_code ec;
  asio::ip::tcp::endpoint endpoint(asio::ip::make_address(host, ec), port);
  if (!ec)
    Acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    Acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(endpoint, ec);
  if (!ec)
    Acceptor.listen(Backlog, ec);
  if (ec)
    return absl::UnavailableError(
        absl::StrCat("listener on ", host, ":", port, ": ", ec.message()));
  Port = Acceptor.local_endpoint().port();
  accept();
  return absl::OkStatus();
}

void Listener::stop() {
  asio::error_code ignored;
  Acceptor.close(ignored);
  RetryTimer.cancel();
}

void Listener::accept() {
  Acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
    if (ec == asio::error::operation_aborted || !Acceptor.is_open())
      return;
    if (ec) {
      retryLater(ec);
      return;
    }
    // Started before the handler runs, so that an exception in it does not end accepting.
    accept();
    OnAccepted(std::move(socket));
  });
}

void Listener::stopAfterPending() {
  asio::error_code ec;
  Acceptor.non_blocking(true, ec);
  // Closing the listener resets connections that are waiting in its queue.
  while (!ec) {
    asio::ip::tcp::socket socket(Acceptor.get_executor());
    Acceptor.accept(socket, ec);
    if (!ec)
      OnAccepted(std::move(socket));
  }
  stop();
}

void Listener::retryLater(const asio::error_code &ec) {
  Events.emit({core::EventId::ConnectionNotAccepted,
               {{"port", Port}, {"reason", ec.message()}, {"pause_ms", RetryDelay.count()}}});
  RetryTimer.expires_after(RetryDelay);
  RetryTimer.async_wait([this](const asio::error_code &aborted) {
    if (!aborted && Acceptor.is_open())
      accept();
  });
}

} // namespace briarspar::http
