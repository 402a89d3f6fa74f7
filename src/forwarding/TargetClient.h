#pragma once

#include "core/Clock.h"

#include <httplib.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarspar::forwarding {

/// IP address and port of a target.
struct TargetAddress {
  std::string Host;
  int Port = 0;

  friend bool operator<(const TargetAddress &a, const TargetAddress &b) {
    return std::tie(a.Host, a.Port) < std::tie(b.Host, b.Port);
  }
};

/// Parses "HOST:PORT". Returns a port of 0 when the text is malformed.
TargetAddress parseTargetAddress(std::string_view text);

/// A request as it is sent to a target, already without credentials and hop-by-hop headers.
struct TargetRequest {
  std::string Method;
  std::string PathAndQuery;
  httplib::Headers Headers;
  std::string Body;
  bool FreshConnection = false; ///< Do not reuse a connection that was idle; see TargetClientPool.
};

/// How an exchange with a target ended.
enum class ExchangeStatus {
  Answered,       ///< The whole answer was received.
  NotSent,        ///< The connection failed before a byte was sent.
  ConnectionLost, ///< The connection ended after bytes may have been sent and before the whole
                  ///< answer.
  TimedOut,       ///< The deadline passed after bytes may have been sent.
  Canceled,       ///< The caller of the pool cancelled the exchange.
  TooLarge,       ///< The answer exceeds the configured size.
};

struct TargetResponse {
  ExchangeStatus Status = ExchangeStatus::NotSent;
  int HttpStatus = 0;
  bool ReusedConnection = false; ///< The connection had carried an earlier exchange.
  httplib::Headers Headers;
  std::string Body;
};

/// Returns whether a new connection to the address is accepted within `timeout`. A target whose
/// process ended refuses it.
bool acceptsConnections(const TargetAddress &address, core::Duration timeout);

/// Lets another thread cancel one exchange.
class Cancellation {
public:
  /// Closes the connection of the running exchange. An exchange that starts later ends at once.
  void cancel();
  bool isCanceled() const;

private:
  friend class TargetClientPool;
  bool attach(httplib::Client *client);
  void detach();

  mutable std::mutex Mutex;
  bool Requested = false;
  httplib::Client *Running = nullptr;
};

struct TargetClientSettings {
  core::Duration ConnectTimeout{500};
  size_t MaxIdlePerTarget = 32;              ///< Idle connections kept for one target.
  size_t MaxResponseBytes = 8 * 1024 * 1024; ///< Longest answer that is returned.
  core::Duration MaxIdleTime{4000};          ///< Idle connections older than this are closed.
};

/// Sends requests over pooled keep-alive connections, one exchange at a time on each. A connection
/// whose exchange did not end with the whole answer is closed, so that a late answer can never
/// reach another request. A reused connection can be closed by the target while the request is on
/// its way, which leaves the outcome unknown; requests that must sendRequest at most once therefore
/// ask for a fresh connection. Safe to call from any thread; exchange() blocks until the exchange
/// ends.
class TargetClientPool {
public:
  TargetClientPool(const core::Clock &clock, const TargetClientSettings &settings);
  ~TargetClientPool();

  TargetResponse exchange(const TargetAddress &address, const TargetRequest &request,
                          core::Time deadline, Cancellation *cancellation = nullptr);

  size_t idleConnections() const;

private:
  struct Idle {
    std::unique_ptr<httplib::Client> Client;
    core::Time Since;
  };

  std::unique_ptr<httplib::Client> acquire(const TargetAddress &address, bool fresh);
  void release(const TargetAddress &address, std::unique_ptr<httplib::Client> client);
  TargetResponse sendRequest(httplib::Client &client, const TargetRequest &request,
                             core::Time deadline);

  const core::Clock &Clock;
  TargetClientSettings Settings;
  mutable std::mutex Mutex;
  std::map<TargetAddress, std::deque<Idle>> IdleByTarget;
};

} // namespace briarspar::forwarding
