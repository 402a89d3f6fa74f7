#pragma once

#include "core/Clock.h"
#include "http/ClientConnection.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace briarspar::control {

/// Asks for pages of the platform's list, one at a time, over one kept connection. Runs on the
/// thread of the io_context.
class ListClient final : public http::AnswerListener {
public:
  using OnPage = std::function<void(int status, const std::string &body)>;
  using OnLost = std::function<void()>;

  /// `onPage` receives each answer, `onLost` the end of a connection that owed one.
  ListClient(asio::io_context &io, const core::Clock &clock, std::string host, uint16_t port,
             OnPage onPage, OnLost onLost);
  ~ListClient() override { close(); }

  /// Asks for a page. An answer that is still owed is given up.
  void request(const std::string &target);

  void close();

  void onAnswerHead(http::Head head) override;
  void onAnswerBody(std::string_view bytes) override { Body.append(bytes); }
  void onAnswerEnd() override { PageDone(Status, Body); }
  void onConnectionLost(http::ConnectionLoss) override { Lost(); }

private:
  asio::io_context &Io;
  const core::Clock &Clock;
  const std::string Host;
  const uint16_t Port;
  const OnPage PageDone;
  const OnLost Lost;
  std::shared_ptr<http::ClientConnection> Connection;
  int Status = 0;
  std::string Body;
};

} // namespace briarspar::control
