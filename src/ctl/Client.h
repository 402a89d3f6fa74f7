#pragma once

#include "ctl/Transport.h"
#include "operator_language/Answer.h"

#include <string>
#include <vector>

namespace briarspar::ctl {

/// The result of sending one statement.
struct Reply {
  enum Kind {
    Decided,  ///< A server decided the statement; see Answer.
    NoServer, ///< No server accepted the statement; it had no effect.
    Unknown,  ///< A server may have applied the statement, but no decision arrived.
  };

  Kind Status = NoServer;
  operator_language::Answer Answer; ///< Decided only.
  std::string Reason;               ///< NoServer and Unknown: the last failure.
};

/// Sends a statement to one server after another until one decides it. All attempts carry the same
/// command id, so that at most one of them takes effect.
class Client {
public:
  Client(Transport &transport, std::vector<Server> servers);

  Reply send(const operator_language::OperatorRequest &request);

private:
  /// Sends the statement to one server. Returns true if the server decided it.
  bool tryServer(const Server &server, const std::string &body, Reply &reply);

  Transport &HttpClient;
  std::vector<Server> Servers;
  size_t PreferredIndex = 0; ///< Index of the server that decided last; it is tried first.
};

} // namespace briarspar::ctl
