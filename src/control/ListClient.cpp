#include "control/ListClient.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace briarspar::control {

ListClient::ListClient(asio::io_context &io, const core::Clock &clock, std::string host,
                       uint16_t port, OnPage onPage, OnLost onLost)
    : Io(io), Clock(clock), Host(std::move(host)), Port(port), PageDone(std::move(onPage)),
      Lost(std::move(onLost)) {}

void ListClient::request(const std::string &target) {
  if (!Connection || !Connection->mayReuse(Clock.now(), false)) {
    close();
    Connection = std::make_shared<http::ClientConnection>(Io, Clock, Host, Port,
                                                          http::ClientConnectionSettings{});
  }
  http::Head head;
  head.Method = "GET";
  head.Target = target;
  head.add("Host", absl::StrCat(Host, ":", Port));
  Connection->start(head, "", *this);
  Connection->finishRequest();
}

void ListClient::close() {
  if (Connection)
    Connection->close();
  Connection.reset();
}

void ListClient::onResponseHead(http::Head head) {
  Status = head.Status;
  Body.clear();
}

void ListClient::onResponseBody(std::string_view bytes) {
  Body.append(bytes);
  if (Body.size() <= MaxPageBytes)
    return;
  Connection->close();
  Body.clear();
  Lost();
}

} // namespace briarspar::control
