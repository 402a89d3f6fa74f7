#pragma once

#include "core/Clock.h"
#include "entry/TargetTable.h"
#include "http/ClientConnection.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace briarspar::entry {

/// Open connections to targets. Runs on the thread of the io_context.
class TargetPool {
public:
  TargetPool(asio::io_context &io, const core::Clock &clock, std::string idHeader,
             const http::ClientConnectionSettings &settings = {});
  ~TargetPool();

  /// Returns an idle connection or a new one; null when `most` are open. `fresh` asks for one that
  /// has surely not been closed by the target meanwhile.
  std::shared_ptr<http::ClientConnection> acquire(const std::string &host, uint16_t port,
                                                  size_t maxConnections, bool mustBeOpen);

  /// Takes a connection whose exchange has ended.
  void release(const std::shared_ptr<http::ClientConnection> &connection);

  /// Takes a connection whose exchange goes on although nobody waits for its answer.
  void discardAnswer(const std::shared_ptr<http::ClientConnection> &connection);

  /// Closes idle connections that may not be reused any more.
  void sweep();

  size_t openConnections() const;
  uint64_t connectionsOpened() const { return Opened; }

private:
  class Discarder;
  using Key = std::pair<std::string, uint16_t>;
  using ConnectionPtr = std::shared_ptr<http::ClientConnection>;

  struct Peer {
    std::vector<ConnectionPtr> Idle; ///< Last used last.
    std::vector<std::weak_ptr<http::ClientConnection>> All;
  };

  asio::io_context &Io;
  const core::Clock &Clock;
  const std::string IdHeader;
  const http::ClientConnectionSettings Settings;
  std::map<Key, Peer> Peers;
  std::map<http::ClientConnection *, std::unique_ptr<Discarder>> Discarders;
  uint64_t Opened = 0;
};

} // namespace briarspar::entry
