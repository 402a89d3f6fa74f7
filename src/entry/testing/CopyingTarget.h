#pragma once

#include "http/HeaderNames.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace briarspar::entry::testing {

/// When a target sends the copy of a refusal.
enum class CopyTime : uint8_t {
  Never,
  WithRefusal,        ///< In the same segment as the refusal.
  SoonAfterRefusal,   ///< In a segment of its own.
  BeforeNextResponse, ///< When the next request of the connection has arrived.
  SplitAroundNext,    ///< Half with the refusal, the rest when the next request has arrived.
  TwiceBeforeNext,    ///< Two copies when the next request has arrived.
  OtherStatusFirst,   ///< Like BeforeNextResponse, as 503 in place of the status of the refusal.
  AfterNextResponse,  ///< Behind the response to the next request.
  CutBeforeNext,      ///< Its first `CutCopyAt` bytes, when the next request has arrived.
};

/// A target process on loopback that sends copies of its refusals. It runs requests for the target
/// id `Id` and refuses others with 421, and refuses the first `RefuseFirst` requests with 503. It
/// counts how often it ran each request.
class CopyingTarget {
public:
  CopyingTarget(asio::io_context &io, http::HeaderNames names, std::string id, CopyTime copies)
      : Io(io), Names(std::move(names)), Id(std::move(id)), Copies(copies),
        Acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  uint16_t port() const { return Acceptor.local_endpoint().port(); }
  int runs(const std::string &id) const {
    auto it = Runs.find(id);
    return it == Runs.end() ? 0 : it->second;
  }
  size_t connections() const { return Accepted; }
  size_t copies() const { return CopiesSent; } ///< Copies, also partial ones, that were sent.

  int RefuseFirst = 0;
  size_t CutCopyAt = 0;
  bool IdFirst = true;     ///< The id is the first header of a refusal, not the last one.
  int RunStatus = 200;     ///< Status of the response to a request that was run.
  std::string ExtraHeader; ///< Added to all responses, with its line end.
  std::chrono::milliseconds WorkTime{20};

private:
  struct Peer {
    explicit Peer(asio::ip::tcp::socket socket)
        : Socket(std::move(socket)), Timer(Socket.get_executor()) {}

    asio::ip::tcp::socket Socket;
    asio::steady_timer Timer;
    char Buffer[4096]{};
    std::string Received;
    std::string Copy;  ///< Sent before the next response.
    std::string After; ///< Sent behind the next response.
  };
  using PeerPtr = std::shared_ptr<Peer>;

  void accept() {
    Acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
      if (ec)
        return;
      ++Accepted;
      socket.set_option(asio::ip::tcp::no_delay(true));
      read(std::make_shared<Peer>(std::move(socket)));
      accept();
    });
  }

  void read(const PeerPtr &peer) {
    peer->Socket.async_read_some(
        asio::buffer(peer->Buffer), [this, peer](const asio::error_code &ec, size_t n) {
          if (ec)
            return;
          peer->Received.append(peer->Buffer, n);
          // The requests have no body.
          for (size_t end; (end = peer->Received.find("\r\n\r\n")) != std::string::npos;) {
            serve(peer, peer->Received.substr(0, end + 2));
            peer->Received.erase(0, end + 4);
          }
          read(peer);
        });
  }

  void serve(const PeerPtr &peer, const std::string &head) {
    CopiesSent += peer->Copy.empty() ? 0 : 1;
    send(peer, std::exchange(peer->Copy, ""));
    const std::string id = valueOf(head, Names.RequestId);
    const std::string after = std::exchange(peer->After, "");
    const bool isForOther = valueOf(head, Names.ExpectedTarget) != Id;
    if (isForOther || RefuseFirst > 0) {
      RefuseFirst -= isForOther ? 0 : 1;
      refuse(peer, id, isForOther ? 421 : 503);
      return;
    }
    ++Runs[id];
    peer->Timer.expires_after(WorkTime);
    peer->Timer.async_wait([this, peer, id, after](const asio::error_code &ec) {
      if (!ec)
        send(peer, response(RunStatus, id, "done") + after);
    });
  }

  void refuse(const PeerPtr &peer, const std::string &id, int status) {
    const std::string refusal = refusalOf(status, id);
    switch (Copies) {
    case CopyTime::Never:
      send(peer, refusal);
      return;
    case CopyTime::WithRefusal:
      send(peer, refusal + refusal);
      return;
    case CopyTime::SoonAfterRefusal:
      send(peer, refusal);
      asio::post(Io, [peer, refusal] { send(peer, refusal); });
      return;
    case CopyTime::SplitAroundNext:
      send(peer, refusal + refusal.substr(0, refusal.size() / 2));
      peer->Copy = refusal.substr(refusal.size() / 2);
      return;
    case CopyTime::BeforeNextResponse:
      peer->Copy = refusal;
      break;
    case CopyTime::TwiceBeforeNext:
      peer->Copy = refusal + refusal;
      break;
    case CopyTime::OtherStatusFirst:
      peer->Copy = refusalOf(status == 503 ? 429 : 503, id);
      break;
    case CopyTime::CutBeforeNext:
      peer->Copy = refusal.substr(0, CutCopyAt);
      break;
    case CopyTime::AfterNextResponse:
      peer->After = refusal;
      break;
    }
    send(peer, refusal);
  }

  std::string refusalOf(int status, const std::string &id) const {
    return response(status, id, "refused", Names.NotRun + ": 1\r\n");
  }

  std::string response(int status, const std::string &id, const std::string &body,
                       const std::string &header = "") const {
    const std::string idHeader = Names.RequestId + ": " + id + "\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" +
           (IdFirst ? idHeader + header : header + idHeader) + ExtraHeader +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  static std::string valueOf(const std::string &head, const std::string &name) {
    size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
      return "";
    at += name.size() + 4;
    return head.substr(at, head.find("\r\n", at) - at);
  }

  static void send(const PeerPtr &peer, const std::string &bytes) {
    asio::error_code ignored;
    asio::write(peer->Socket, asio::buffer(bytes), ignored);
  }

  asio::io_context &Io;
  const http::HeaderNames Names;
  const std::string Id;
  const CopyTime Copies;
  asio::ip::tcp::acceptor Acceptor;
  std::map<std::string, int> Runs;
  size_t Accepted = 0;
  size_t CopiesSent = 0;
};

} // namespace briarspar::entry::testing
