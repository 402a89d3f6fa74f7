#pragma once

#include "ctl/Transport.h"
#include "operator_language/Answer.h"

#include <string>
#include <vector>

namespace briarspar::ctl {

/// What became of one statement.
struct Reply {
  enum Kind {
    Decided,  ///< Answer holds the decision.
    NoServer, ///< No server took the statement; it had no effect.
    Unknown,  ///< A server may have taken the statement; no decision came back.
  };

  Kind Status = NoServer;
  operator_language::Answer Answer; ///< Decided only.
  std::string Reason;               ///< NoServer and Unknown: the last failure.
};

/// Sends statements to the first server that decides them. Every attempt carries the same command
/// id, so that at most one of them takes effect.
class Client {
public:
  Client(Transport &transport, std::vector<Server> servers);

  Reply send(const operator_language::OperatorRequest &request);

private:
  /// Returns true if the attempt decided the statement.
  bool attempt(const Server &server, const std::string &body, Reply &reply);

  Transport &Link;
  std::vector<Server> Servers;
  size_t Preferred = 0; ///< The server that decided last.
};

} // namespace briarspar::ctl
