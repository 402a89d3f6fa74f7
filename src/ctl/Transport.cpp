#include "ctl/Transport.h"

#include "absl/strings/numbers.h"
#include "config/Text.h"
#include "operator_language/Answer.h"

#include <httplib.h>

#include <chrono>

namespace briarspar::ctl {

namespace {

/// Returns true if the error occurred before the request was sent.
bool isBeforeSending(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

} // namespace

absl::StatusOr<Server> parseServer(std::string_view text) {
  size_t colon = text.rfind(':');
  Server server;
  if (colon == std::string_view::npos || colon == 0 ||
      !absl::SimpleAtoi(std::string(text.substr(colon + 1)), &server.Port) || server.Port < 1 ||
      server.Port > 65535)
    return absl::InvalidArgumentError(config::concat("server ", text, " is not HOST:PORT"));
  server.Host = std::string(text.substr(0, colon));
  if (server.Host.size() > 2 && server.Host.front() == '[' && server.Host.back() == ']')
    server.Host = server.Host.substr(1, server.Host.size() - 2);
  return server;
}

HttpTransport::HttpTransport(std::string operatorKey, const HttpTransportSettings &settings)
    : OperatorKey(std::move(operatorKey)), Settings(settings) {}

HttpReply HttpTransport::post(const Server &server, const std::string &body) {
  httplib::Client client(server.Host, server.Port);
  client.set_connection_timeout(std::chrono::milliseconds(Settings.ConnectTimeout.Ms));
  client.set_read_timeout(std::chrono::milliseconds(Settings.ReadTimeout.Ms));
  client.set_write_timeout(std::chrono::milliseconds(Settings.ReadTimeout.Ms));
  httplib::Headers headers{{"Authorization", "Bearer " + OperatorKey}};
  httplib::Result result =
      client.Post(operator_language::OperatorPath, headers, body, "application/json");
  if (result)
    return {HttpReply::Answered, result->status, result->body, ""};
  HttpReply::Kind what =
      isBeforeSending(result.error()) ? HttpReply::NotConnected : HttpReply::Lost;
  return {what, 0, "", httplib::to_string(result.error())};
}

} // namespace briarspar::ctl
