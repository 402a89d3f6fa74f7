#pragma once

#include "entry/TargetPool.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::entry::testing {

struct NullListener final : http::ResponseListener {
  void onResponseHead(http::Head) override {}
  void onResponseBody(std::string_view) override {}
  void onResponseEnd() override {}
  void onConnectionLost(http::ConnectionLoss) override {}
};

/// A pool whose connections a test opens one by one, and the ends that the pool tells of.
struct PoolFixture {
  struct End {
    core::TargetId Target;
    core::Time LastHeard;
    bool IsSilent;
  };

  /// Both ends of a connection.
  struct Connection {
    std::shared_ptr<http::ClientConnection> Own;
    std::unique_ptr<asio::ip::tcp::socket> Target;
  };

  PoolFixture()
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}),
        Port(Acceptor.local_endpoint().port()),
        Pool(Io, Clock, "X-Id", nullptr, nullptr,
             [this](const core::TargetId &target, core::Time lastHeard, bool isSilent) {
               Ends.push_back({target, lastHeard, isSilent});
             }) {
    Clock.advance({1000});
  }

  TargetPool::Requirements needs(const std::string &id, std::optional<core::Time> openedBy) {
    Id = id;
    TargetPool::Requirements it{Id, core::TargetId("t"), 4};
    it.OpenedBy = openedBy;
    return it;
  }

  void start(http::ClientConnection &connection, const std::string &id) {
    http::Head head;
    head.Method = "GET";
    head.Target = "/";
    connection.start(head, id, Waiting);
    connection.finishRequest();
  }

  /// Opens a connection and sends a request.
  Connection open(const std::string &id) {
    Connection it;
    it.Own = Pool.acquire(Host, Port, needs(id, std::nullopt));
    start(*it.Own, id);
    it.Target = std::make_unique<asio::ip::tcp::socket>(Acceptor.accept());
    while (!it.Own->isOpen())
      step();
    return it;
  }

  /// Answers the request in progress and returns the connection to the pool.
  void answer(const Connection &connection, const std::string &id, const std::string &header = "") {
    asio::write(*connection.Target, asio::buffer("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" +
                                                 header + "Content-Length: 0\r\n\r\n"));
    while (!connection.Own->isIdle() && !connection.Own->isEnded())
      step();
    Pool.release(connection.Own);
  }

  void step() {
    if (Io.run_one_for(std::chrono::milliseconds(20)) == 0)
      Io.restart();
  }

  /// The target closes its end without a word.
  static void reset(const Connection &connection) {
    connection.Target->set_option(asio::socket_base::linger(true, 0));
    connection.Target->close();
  }

  void runUntilEnded(const Connection &connection) {
    while (!connection.Own->isEnded())
      step();
  }

  const std::string Host = "127.0.0.1";
  asio::io_context Io;
  core::ManualClock Clock;
  asio::ip::tcp::acceptor Acceptor;
  const uint16_t Port;
  std::vector<End> Ends;
  TargetPool Pool;
  NullListener Waiting;
  std::string Id;
};

} // namespace briarspar::entry::testing
