#pragma once

#include "core/Clock.h"
#include "core/Event.h"
#include "entry/TargetTable.h"
#include "http/ClientConnection.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarspar::entry {

/// Pool of open connections to targets. Runs on the thread of the io_context.
class TargetPool final : private http::ConnectionObserver {
public:
  /// Called with the head of each response that no exchange handles, and whether a request was due
  /// for it. It must not use the pool.
  using OnHead = std::function<void(const core::TargetId &, const http::Head &, bool isDue)>;

  /// Called when a connection has ended that its target had not announced to close, with the time
  /// at which it was last known to work. `isOrderly` is as in http::ConnectionObserver. It must not
  /// use the pool.
  using OnEnded = std::function<void(const core::TargetId &, core::Time lastHeard, bool isOrderly)>;

  /// `events` is told of unexpected responses; it may be null, and so may the functions.
  TargetPool(asio::io_context &io, const core::Clock &clock, std::string idHeader,
             core::EventSink *events, OnHead onHead = nullptr, OnEnded onEnded = nullptr,
             const http::ClientConnectionSettings &settings = {});
  ~TargetPool() override;

  /// Requirements of a request on its connection.
  struct Requirements {
    std::string_view RequestId;
    core::TargetId Target;
    size_t MaxConnections = 1; ///< To the same address.
    bool MustBeOpen = false;   ///< The target cannot have closed a reused connection.
    bool MustBeNew = false;    ///< See http::ClientConnection::needsOwnConnection().
    std::optional<core::Time> OpenedBy =
        std::nullopt; ///< It was established by then, so it is not a new one.
  };

  /// Returns an idle connection that has not carried a request with the same id, or a new one; null
  /// when the maximum number of connections is open.
  std::shared_ptr<http::ClientConnection> acquire(const std::string &host, uint16_t port,
                                                  const Requirements &requirements);

  /// Returns whether acquire() would return an idle connection.
  bool canReuse(const std::string &host, uint16_t port, const Requirements &requirements) const;

  /// Returns whether a connection to the address is open that was established by a given time.
  bool isOpen(const std::string &host, uint16_t port, core::Time openedBy) const;

  /// Returns a connection whose exchange has ended to the pool.
  void release(const std::shared_ptr<http::ClientConnection> &connection);

  /// Takes over a connection whose response is no longer needed and reads the response to its end.
  /// Closes the connection if the response has not ended by `until` or exceeds MaxDiscardedBytes.
  void discardResponse(const std::shared_ptr<http::ClientConnection> &connection, core::Time until);

  /// Closes idle connections that can no longer be reused, and discarded responses that take too
  /// long.
  void sweep();

  size_t openConnections() const;
  size_t discardedResponses() const { return Discarders.size(); }
  uint64_t connectionsOpened() const { return Opened; }

  /// Maximum size of a response body that is read only to reuse its connection.
  static constexpr size_t MaxDiscardedBytes = 1024UL * 1024;

private:
  class Discarder;
  using Key = std::pair<std::string, uint16_t>;
  using ConnectionPtr = std::shared_ptr<http::ClientConnection>;

  struct Peer {
    std::vector<ConnectionPtr> Idle; ///< Most recently used last.
    std::vector<std::weak_ptr<http::ClientConnection>> All;
  };

  static bool meets(const http::ClientConnection &connection, const Requirements &requirements);
  ConnectionPtr takeIdle(Peer &peer, const Requirements &requirements) const;
  void onUnexpectedResponse(const http::ClientConnection &connection, http::UnexpectedResponse kind,
                            const http::Head *head, std::string_view reason) override;
  void onConnectionEnded(const http::ClientConnection &connection, bool isOrderly) override;

  asio::io_context &Io;
  const core::Clock &Clock;
  const std::string IdHeader;
  core::EventSink *const Events;
  const OnHead HandleHead;
  const OnEnded HandleEnded;
  const http::ClientConnectionSettings Settings;
  std::map<Key, Peer> Peers;
  std::map<http::ClientConnection *, std::unique_ptr<Discarder>> Discarders;
  uint64_t Opened = 0;
};

} // namespace briarspar::entry
