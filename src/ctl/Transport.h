#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"

#include <string>
#include <string_view>

namespace briarspar::ctl {

struct Server {
  std::string Host;
  int Port = 0;
};

/// Parses HOST:PORT or [IP]:PORT. Returns InvalidArgument for any other text.
absl::StatusOr<Server> parseServer(std::string_view text);

/// The result of one HTTP request.
struct HttpReply {
  enum Kind {
    NotConnected, ///< The request was never sent.
    Lost,         ///< The request may have arrived; no complete response was received.
    Answered,
  };

  Kind Result = NotConnected;
  int Status = 0;     ///< HTTP status; Answered only.
  std::string Body;   ///< Answered only.
  std::string Reason; ///< Why there is no response.
};

/// Sends requests to the operator interface. Called from one thread.
class Transport {
public:
  virtual ~Transport() = default;
  virtual HttpReply post(const Server &server, const std::string &body) = 0;
};

struct HttpTransportSettings {
  core::Duration ConnectTimeout{2'000};
  /// Must exceed a change of leader (up to 2.5 s) followed by a configuration change (in force
  /// within 3 s); the rest is margin.
  core::Duration ReadTimeout{15'000};
};

/// HTTP transport based on cpp-httplib, with one connection per request.
class HttpTransport final : public Transport {
public:
  explicit HttpTransport(std::string operatorKey, const HttpTransportSettings &settings = {});
  HttpReply post(const Server &server, const std::string &body) override;

private:
  std::string OperatorKey;
  HttpTransportSettings Settings;
};

} // namespace briarspar::ctl
