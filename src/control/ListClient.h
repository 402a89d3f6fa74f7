#pragma once

#include "core/Clock.h"
#include "http/ClientConnection.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace briarspar::control {

/// Requests pages of the platform's target list, one at a time, over a persistent connection. Runs
/// on the thread of the io_context.
class ListClient final : public http::ResponseListener {
public:
  using OnPage = std::function<void(int status, const std::string &body)>;
  using OnLost = std::function<void()>;

  /// `onPage` is called for each response, `onLost` when the connection ends before an outstanding
  /// response or the response is longer than MaxPageBytes.
  ListClient(asio::io_context &io, const core::Clock &clock, std::string host, uint16_t port,
             OnPage onPage, OnLost onLost);
  ~ListClient() override { close(); }

  /// Requests a page and abandons an outstanding response.
  void request(const std::string &target);

  void close();

  static constexpr size_t MaxPageBytes = 4UL * 1024 * 1024;

  void onResponseHead(http::Head head) override;
  void onResponseBody(std::string_view bytes) override;
  void onResponseEnd() override { PageDone(Status, Body); }
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
