#include "entry/TargetPool.h"

#include "absl/strings/str_cat.h"

#include <asio/post.hpp>

#include <algorithm>
#include <array>

namespace briarspar::entry {

/// Reads and discards the rest of a response, then returns the connection to the pool.
class TargetPool::Discarder final : public http::ResponseListener {
public:
  Discarder(TargetPool &pool, ConnectionPtr connection, core::Time until)
      : Pool(pool), Connection(std::move(connection)), Until(until) {}

  void onResponseHead(http::Head head) override {
    if (Pool.HandleHead)
      Pool.HandleHead(core::TargetId(Connection->peer()), head, /*isDue=*/true);
  }

  void onResponseBody(std::string_view bytes) override {
    Discarded += bytes.size();
    if (Discarded <= MaxDiscardedBytes)
      return;
    close();
    end();
  }

  void onResponseEnd() override {
    Pool.release(Connection);
    end();
  }

  void onConnectionLost(http::ConnectionLoss) override { end(); }

  void close() { Connection->close(); }
  core::Time until() const { return Until; }

private:
  /// Deferred, because this object is still in use by the caller of the listener. By then the
  /// connection may have another discarder.
  void end() {
    asio::post(Pool.Io, [&pool = Pool, key = Connection.get(), self = this] {
      auto it = pool.Discarders.find(key);
      if (it != pool.Discarders.end() && it->second.get() == self)
        pool.Discarders.erase(it);
    });
  }

  TargetPool &Pool;
  ConnectionPtr Connection;
  const core::Time Until;
  size_t Discarded = 0; ///< Body bytes.
};

TargetPool::TargetPool(asio::io_context &io, const core::Clock &clock, std::string idHeader,
                       core::EventSink *events, OnHead onHead, OnEnded onEnded,
                       const http::ClientConnectionSettings &settings)
    : Io(io), Clock(clock), IdHeader(std::move(idHeader)), Events(events),
      HandleHead(std::move(onHead)), HandleEnded(std::move(onEnded)), Settings(settings) {}

TargetPool::~TargetPool() {
  for (auto &[key, discarder] : Discarders)
    discarder->close();
  for (auto &[key, peer] : Peers)
    for (const ConnectionPtr &it : peer.Idle)
      it->close();
}

/// Returns whether a connection that may be reused suits the request.
bool TargetPool::meets(const http::ClientConnection &connection, const Requirements &requirements) {
  const bool isKnown = !requirements.OpenedBy || connection.openedAt() <= *requirements.OpenedBy;
  return isKnown && !connection.hasSent(requirements.RequestId);
}

bool TargetPool::canReuse(const std::string &host, uint16_t port,
                          const Requirements &requirements) const {
  auto peer = Peers.find({host, port});
  if (requirements.MustBeNew || peer == Peers.end())
    return false;
  const core::Time now = Clock.now();
  return std::any_of(
      peer->second.Idle.begin(), peer->second.Idle.end(), [&](const ConnectionPtr &it) {
        return it->mayReuse(now, requirements.MustBeOpen) && meets(*it, requirements);
      });
}

bool TargetPool::isOpen(const std::string &host, uint16_t port, core::Time openedBy) const {
  auto peer = Peers.find({host, port});
  return peer != Peers.end() &&
         std::any_of(peer->second.All.begin(), peer->second.All.end(), [&](const auto &it) {
           ConnectionPtr connection = it.lock();
           return connection && connection->isOpen() && connection->openedAt() <= openedBy;
         });
}

/// Returns the most recently used idle connection that meets the requirements, or null, and closes
/// connections that can no longer be reused.
TargetPool::ConnectionPtr TargetPool::takeIdle(Peer &peer, const Requirements &requirements) const {
  if (requirements.MustBeNew)
    return nullptr;
  const core::Time now = Clock.now();
  for (size_t i = peer.Idle.size(); i-- > 0;) {
    const auto at = peer.Idle.begin() + static_cast<std::ptrdiff_t>(i);
    ConnectionPtr connection = *at;
    const bool isUsable = connection->mayReuse(now, requirements.MustBeOpen);
    if (isUsable && !meets(*connection, requirements))
      continue;
    peer.Idle.erase(at);
    if (isUsable)
      return connection;
    connection->close();
  }
  return nullptr;
}

std::shared_ptr<http::ClientConnection> TargetPool::acquire(const std::string &host, uint16_t port,
                                                            const Requirements &requirements) {
  Peer &peer = Peers[{host, port}];
  if (ConnectionPtr connection = takeIdle(peer, requirements)) {
    connection->setPeer(requirements.Target.Value);
    return connection;
  }
  if (requirements.OpenedBy)
    return nullptr;
  const auto removeEnded = [&peer] {
    peer.All.erase(std::remove_if(peer.All.begin(), peer.All.end(),
                                  [](const auto &it) {
                                    ConnectionPtr connection = it.lock();
                                    return !connection || connection->isEnded();
                                  }),
                   peer.All.end());
  };
  removeEnded();
  if (peer.All.size() >= requirements.MaxConnections && !peer.Idle.empty()) {
    // The idle connections have carried a request with this id, or the request needs a new one.
    peer.Idle.front()->close();
    peer.Idle.erase(peer.Idle.begin());
    removeEnded();
  }
  if (peer.All.size() >= requirements.MaxConnections)
    return nullptr;
  auto connection = std::make_shared<http::ClientConnection>(Io, Clock, host, port, Settings);
  connection->setIdHeader(IdHeader);
  connection->observe(++Opened, *this);
  connection->setPeer(requirements.Target.Value);
  peer.All.push_back(connection);
  return connection;
}

void TargetPool::release(const ConnectionPtr &connection) {
  if (connection->mayReuse(Clock.now(), false))
    Peers[{connection->host(), connection->port()}].Idle.push_back(connection);
  else
    connection->close();
}

void TargetPool::discardResponse(const ConnectionPtr &connection, core::Time until) {
  auto discarder = std::make_unique<Discarder>(*this, connection, until);
  connection->setListener(*discarder);
  connection->setReading(true);
  std::unique_ptr<Discarder> &slot = Discarders[connection.get()];
  if (slot) // Its response has ended, and the connection was used again.
    asio::post(Io, [old = std::shared_ptr<Discarder>(std::move(slot))] {});
  slot = std::move(discarder);
}

void TargetPool::sweep() {
  core::Time now = Clock.now();
  for (auto it = Discarders.begin(); it != Discarders.end();) {
    if (now < it->second->until()) {
      ++it;
      continue;
    }
    it->second->close();
    it = Discarders.erase(it);
  }
  for (auto it = Peers.begin(); it != Peers.end();) {
    std::vector<ConnectionPtr> &idle = it->second.Idle;
    for (const ConnectionPtr &connection : idle)
      if (!connection->mayReuse(now, false))
        connection->close();
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [](const ConnectionPtr &c) { return !c->isOpen(); }),
               idle.end());
    bool used = std::any_of(it->second.All.begin(), it->second.All.end(),
                            [](const auto &c) { return !c.expired(); });
    it = used ? std::next(it) : Peers.erase(it);
  }
}

void TargetPool::onUnexpectedResponse(const http::ClientConnection &connection,
                                      http::UnexpectedResponse kind, const http::Head *head,
                                      std::string_view reason) {
  if (HandleHead && head != nullptr)
    HandleHead(core::TargetId(connection.peer()), *head, /*isDue=*/false);
  if (Events == nullptr)
    return;
  constexpr std::array<const char *, 4> names{"other id", "no id", "no request", "malformed"};
  Events->emit({core::EventId::UnexpectedResponse,
                {{"kind", names[static_cast<size_t>(kind)]},
                 {"reason", std::string(reason)},
                 {"request", head == nullptr ? "" : std::string(head->find(IdHeader).value_or(""))},
                 {"status", head == nullptr ? 0 : head->Status},
                 {"address", absl::StrCat(connection.host(), ":", connection.port())},
                 {"connection", connection.number()},
                 {"exchange", connection.exchanges()}}});
}

void TargetPool::onConnectionEnded(const http::ClientConnection &connection, bool isOrderly) {
  if (HandleEnded)
    HandleEnded(core::TargetId(connection.peer()), connection.lastHeard(), isOrderly);
  if (Events != nullptr)
    Events->emit({core::EventId::TargetConnectionEnded,
                  {{"target", connection.peer()},
                   {"address", absl::StrCat(connection.host(), ":", connection.port())},
                   {"connection", connection.number()},
                   {"exchanges", connection.exchanges()},
                   {"idle", connection.isIdle()},
                   {"orderly", isOrderly},
                   {"quiet_ms", Clock.now() - connection.lastHeard()}}});
}

size_t TargetPool::openConnections() const {
  size_t n = 0;
  for (const auto &[key, peer] : Peers)
    n += peer.All.size();
  return n;
}

} // namespace briarspar::entry
