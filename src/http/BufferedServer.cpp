#include "http/BufferedServer.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "http/MessageParser.h"

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <utility>

namespace briarspar::http {

namespace {

/// Size of the read buffer.
constexpr size_t ReadBufferBytes = 16UL * 1024;

} // namespace

class BufferedServer::Session : public std::enable_shared_from_this<Session>,
                                private MessageListener {
public:
  Session(BufferedServer &server, asio::ip::tcp::socket socket)
      : Server(server), Socket(std::move(socket)), ArrivalTimer(Socket.get_executor()),
        Parser(MessageParser::Requests, server.Settings.MaxHeadBytes, *this) {}

  void read() {
    if (Closed || Rejected || ReadPending || Received.size() > Server.Settings.MaxUnparsedBytes)
      return;
    ReadPending = true;
    auto self = shared_from_this();
    Buffer.resize(ReadBufferBytes);
    Socket.async_read_some(asio::buffer(Buffer), [self](const asio::error_code &ec, size_t n) {
      self->ReadPending = false;
      if (ec) {
        self->close();
        return;
      }
      self->Received.append(self->Buffer, 0, n);
      self->parse();
      self->read();
    });
  }

  void close() {
    if (std::exchange(Closed, true))
      return;
    ArrivalTimer.cancel();
    asio::error_code ignored;
    Socket.close(ignored);
    Server.Sessions.erase(shared_from_this());
  }

private:
  /// Parses the next request, unless the response to the current one is outstanding.
  void parse() {
    while (!Busy && !Closed && !Received.empty()) {
      size_t used = 0;
      if (!Parser.feed(Received, used).ok()) {
        reject(400);
        return;
      }
      Received.erase(0, used);
      if (TooLong && !Busy)
        reject(413);
    }
    watchArrival();
  }

  /// Responds without waiting for the rest of the request and closes the connection.
  void reject(int status) {
    Rejected = true;
    Busy = true;
    Received.clear();
    Current.Head.KeepAlive = false;
    respond({status, "", "text/plain", "", {0}});
  }

  /// Limits the time in which a request that has started must arrive.
  void watchArrival() {
    if (Closed || Busy || !Parser.isInsideMessage()) {
      ArrivalTimer.cancel();
      Arriving = false;
      return;
    }
    if (std::exchange(Arriving, true))
      return;
    ArrivalTimer.expires_after(std::chrono::milliseconds(Server.Settings.RequestTimeout.Ms));
    ArrivalTimer.async_wait([self = weak_from_this()](const asio::error_code &ec) {
      if (std::shared_ptr<Session> session = self.lock(); session && !ec)
        session->close();
    });
  }

  void onHead(Head head) override { Current = {std::move(head), ""}; }

  void onBody(std::string_view bytes) override {
    if (Current.Body.size() + bytes.size() <= Server.Settings.MaxBodyBytes)
      Current.Body.append(bytes);
    else
      TooLong = true;
  }

  void onEnd() override {
    if (TooLong)
      return;
    Busy = true;
    std::weak_ptr<Session> self = weak_from_this();
    Server.Handle(Current, [self](const BufferedResponse &it) {
      if (std::shared_ptr<Session> session = self.lock())
        session->respond(it);
    });
  }

  void respond(const BufferedResponse &it) {
    if (Closed)
      return;
    Head head;
    head.Status = it.Status;
    head.BodyFraming = Framing::Length;
    head.BodyLength = it.Body.size();
    head.KeepAlive = Current.Head.KeepAlive;
    if (!it.Body.empty())
      head.add("Content-Type", it.ContentType);
    if (!it.Location.empty())
      head.add("Location", it.Location);
    if (it.RetryAfter.Ms > 0)
      head.add("Retry-After",
               absl::StrFormat("%.2f", static_cast<double>(it.RetryAfter.Ms) / 1000));
    Out = writeHead(head) + it.Body;
    auto self = shared_from_this();
    bool keep = head.KeepAlive;
    asio::async_write(Socket, asio::buffer(Out), [self, keep](const asio::error_code &ec, size_t) {
      if (ec || !keep) {
        self->close();
        return;
      }
      self->Busy = false;
      self->parse();
      self->read();
    });
  }

  BufferedServer &Server;
  asio::ip::tcp::socket Socket;
  asio::steady_timer ArrivalTimer;
  MessageParser Parser;
  std::string Buffer;
  std::string Received;
  std::string Out;
  BufferedRequest Current;
  bool Busy = false;
  bool TooLong = false;
  bool Rejected = false; ///< The rest of the request is not read.
  bool Arriving = false; ///< Part of a request has arrived; ArrivalTimer runs.
  bool ReadPending = false;
  bool Closed = false;
};

BufferedServer::BufferedServer(asio::io_context &io, core::EventSink &events, Handler handler,
                               const BufferedServerSettings &settings)
    : Events(events), Handle(std::move(handler)), Settings(settings),
      Connections(io, events,
                  [this](asio::ip::tcp::socket socket) { startSession(std::move(socket)); }) {}

BufferedServer::~BufferedServer() { stop(); }

absl::Status BufferedServer::start(const std::string &host, uint16_t port) {
  return Connections.start(host, port);
}

void BufferedServer::stop() {
  Connections.stop();
  auto sessions = Sessions;
  for (const std::shared_ptr<Session> &it : sessions)
    it->close();
}

void BufferedServer::startSession(asio::ip::tcp::socket socket) {
  if (Sessions.size() >= Settings.MaxConnections) {
    Events.emit({core::EventId::ConnectionNotAccepted,
                 {{"port", port()}, {"reason", "too many connections"}, {"pause_ms", 0}}});
    return;
  }
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto session = std::make_shared<Session>(*this, std::move(socket));
  Sessions.insert(session);
  session->read();
}

} // namespace briarspar::http
