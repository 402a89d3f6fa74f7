#include "entry/CallerSession.h"

#include "absl/strings/match.h"
#include "core/Text.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <chrono>

namespace briarspar::entry {

namespace {

/// Size of the read buffer.
constexpr size_t ReadBytes = 16UL * 1024;

/// After the last response, incoming bytes are read and discarded for this long: closing a socket
/// with unread bytes resets the connection, which can destroy the response on its way.
constexpr core::Duration LingerSpan{1000};

/// While stopping, a connection must be idle for this long before it is closed.
constexpr core::Duration StopIdleTime{300};

/// Additional time after its deadline for a detached request to end at its target.
constexpr core::Duration DiscardGrace{1000};

/// After its response, the rest of a request body is read for at most this long, and up to the size
/// limit of a body.
constexpr core::Duration MaxDiscardTime{10'000};

} // namespace

/// A request of the connection with its exchange, its target connection and its buffered response.
class CallerSession::PendingRequest final : public std::enable_shared_from_this<PendingRequest>,
                                            public ExchangeActions,
                                            public http::ResponseListener {
public:
  PendingRequest(CallerSession &session, http::Head head)
      : Session(session), Timer(session.Io), KeepAlive(head.KeepAlive), Http10(head.Http10),
        Execution(session.Context, *this, std::move(head), session.Clock.now()) {}

  ~PendingRequest() override {
    if (Target)
      Target->close();
  }

  void start() {
    // A request that arrives late in a stop could be cut at its target by the end of the process.
    if (Session.CloseIdle)
      Execution.refuseStopping(now());
    else
      Execution.start(now());
    schedule();
  }

  Exchange &exchange() { return Execution; }

  void schedule() {
    if (Execution.isDone()) {
      Timer.cancel();
      return;
    }
    if (Execution.wakeAt() == ScheduledFor)
      return;
    ScheduledFor = Execution.wakeAt();
    Timer.expires_after(std::chrono::milliseconds(std::max<int64_t>(0, (ScheduledFor - now()).Ms)));
    Timer.async_wait([self = weak_from_this()](const asio::error_code &ec) {
      std::shared_ptr<PendingRequest> request = self.lock();
      if (ec || !request || request->Session.Closed)
        return;
      std::shared_ptr<CallerSession> session = request->Session.shared_from_this();
      request->ScheduledFor = {};
      request->Execution.onTimer(request->now());
      request->schedule();
      session->flush();
    });
  }

  // ExchangeActions

  TargetSend sendToTarget(const Pick &target, const http::Head &head, bool mustBeOpen) override {
    BodyToTarget = head.BodyFraming;
    const std::string id(head.find(Session.Context.Names.RequestId).value_or(""));
    Target = Session.Pool.acquire(
        target.Host, target.Port,
        {id, target.Id, Session.Context.Targets.maxConnections(target.Service), mustBeOpen,
         http::ClientConnection::needsOwnConnection(head, id), target.OpenedBy});
    if (!Target) {
      asio::post(Session.Io, [self = shared_from_this(), owner = Session.weak_from_this()] {
        if (std::shared_ptr<CallerSession> session = owner.lock(); session && !session->Closed)
          self->onConnectionLost(http::ConnectionLoss::NotAvailable);
      });
      return {};
    }
    Target->start(head, id, *this);
    return {Target->number(), Target->exchanges()};
  }

  bool mayReuseConnection(const std::string &host, uint16_t port, const http::Head &head,
                          bool mustBeOpen, core::Time openedBy) override {
    const std::string id(head.find(Session.Context.Names.RequestId).value_or(""));
    TargetPool::Requirements requirements;
    requirements.RequestId = id;
    requirements.MustBeOpen = mustBeOpen;
    requirements.MustBeNew = http::ClientConnection::needsOwnConnection(head, id);
    requirements.OpenedBy = openedBy;
    return Session.Pool.canReuse(host, port, requirements);
  }

  void sendBodyToTarget(std::string_view bytes) override {
    if (Target)
      Target->write(bytes);
  }

  void endBodyToTarget() override {
    if (Target)
      Target->finishRequest();
  }

  std::optional<bool> requestRate(const std::string &customer) override {
    return Session.Context.Rates.request(customer, now(),
                                         [self = weak_from_this(), owner = Session.weak_from_this(),
                                          &rates = Session.Context.Rates, &clock = Session.Clock,
                                          customer](bool granted) {
                                           std::shared_ptr<CallerSession> session = owner.lock();
                                           std::shared_ptr<PendingRequest> request = self.lock();
                                           if (!session || !request) {
                                             if (granted)
                                               rates.refund(customer, clock.now());
                                             return;
                                           }
                                           request->Execution.onRateDecided(granted, clock.now());
                                           request->schedule();
                                           session->flush();
                                         });
  }

  void cancelTargetRequest() override {
    if (std::shared_ptr<http::ClientConnection> target = std::move(Target))
      target->close();
  }

  void detachTargetRequest() override {
    if (std::shared_ptr<http::ClientConnection> target = std::move(Target))
      Session.Pool.discardResponse(target, Execution.wakeAt() + DiscardGrace);
  }

  void sendResponseHead(const http::Head &head) override {
    http::Head out;
    out.Status = head.Status;
    out.BodyLength = head.BodyLength;
    out.BodyFraming =
        head.BodyFraming == http::Framing::UntilClose ? http::Framing::Chunked : head.BodyFraming;
    const http::HeaderNames &names = Session.Context.Names;
    for (const http::Header &it : head.Headers)
      if (!http::isHopByHop(head, it.Name) && !http::sameName(it.Name, names.Load) &&
          !http::sameName(it.Name, names.Leaving))
        out.Headers.push_back(it);
    out.KeepAlive = KeepAlive && !Session.shouldCloseAfter(*this);
    if (Http10 && out.BodyFraming == http::Framing::Chunked) {
      out.BodyFraming = http::Framing::UntilClose;
      out.KeepAlive = false;
    }
    CloseAfter = !out.KeepAlive;
    if (CloseAfter)
      Session.CloseAnnounced = true;
    Chunked = out.BodyFraming == http::Framing::Chunked;
    Out += http::writeHead(out);
  }

  void sendResponseBody(std::string_view bytes) override {
    if (bytes.empty())
      return;
    if (Chunked)
      Out += http::chunkStart(bytes.size());
    Out += bytes;
    if (Chunked)
      Out += http::ChunkEnd;
    if (Out.size() > Session.Settings.MaxQueuedBytes && Target)
      Target->setReading(false);
  }

  void endResponse() override {
    if (Chunked)
      Out += http::LastChunk;
    Complete = true;
  }

  void abortResponse() override { Aborted = true; }

  // ResponseListener

  void onConnected(core::Duration time) override {
    std::shared_ptr<CallerSession> session = Session.shared_from_this();
    std::shared_ptr<PendingRequest> self = shared_from_this();
    Execution.onTargetConnected(time, now());
    schedule();
    session->flush();
  }

  void onResponseHead(http::Head head) override {
    Execution.onResponseHead(std::move(head), now());
  }

  void onResponseBody(std::string_view bytes) override {
    Execution.onResponseBody(bytes, now());
    Session.flush();
  }

  void onResponseEnd() override {
    std::shared_ptr<CallerSession> session = Session.shared_from_this();
    std::shared_ptr<PendingRequest> self = shared_from_this();
    Session.Pool.release(std::exchange(Target, nullptr));
    Execution.onResponseEnd(now());
    schedule();
    session->flush();
  }

  void onConnectionLost(http::ConnectionLoss loss) override {
    std::shared_ptr<CallerSession> session = Session.shared_from_this();
    std::shared_ptr<PendingRequest> self = shared_from_this();
    Target.reset();
    Execution.onTargetLost(loss, now());
    schedule();
    session->flush();
  }

  void onWritable() override { Session.read(); }

  bool isTargetFull() const { return Target && !Target->isWritable(); }

  void resumeTarget() {
    if (Target)
      Target->setReading(true);
  }

  core::Time now() const { return Session.Clock.now(); }

  CallerSession &Session;
  asio::steady_timer Timer;
  core::Time ScheduledFor;
  const bool KeepAlive;
  const bool Http10;
  std::shared_ptr<http::ClientConnection> Target;
  http::Framing BodyToTarget = http::Framing::NoBody;
  std::string Out;       ///< Response bytes that have not been written yet.
  bool Chunked = false;  ///< The response uses chunked transfer encoding.
  bool Complete = false; ///< Out contains the end of the response.
  bool Aborted = false;  ///< The response cannot be completed.
  bool CloseAfter = false;
  Exchange Execution;
};

CallerSession::CallerSession(asio::io_context &io, asio::ip::tcp::socket socket,
                             const core::Clock &clock, EntryContext &context, TargetPool &pool,
                             std::function<void(const std::shared_ptr<CallerSession> &)> ended,
                             const CallerSessionSettings &settings)
    : Io(io), Socket(std::move(socket)), Clock(clock), Context(context), Pool(pool),
      Ended(std::move(ended)), Settings(settings),
      Parser(http::MessageParser::Requests, context.Limits.HeaderBytes, *this),
      LastActivity(clock.now()) {}

CallerSession::~CallerSession() = default;

void CallerSession::start() {
  asio::error_code ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  read();
}

void CallerSession::startStopping(bool closeIdle) {
  Stopping = true;
  CloseIdle = closeIdle;
  closeIfIdle();
}

/// While stopping, closes the connection unless a request has arrived or may be on its way: a
/// caller that has just connected or received a response sends its next request at once.
void CallerSession::closeIfIdle() {
  if (!CloseIdle || Closed || !isIdle() || Clock.now() - LastActivity < StopIdleTime)
    return;
  asio::error_code ec;
  if (Socket.available(ec) > 0 && !ec)
    return;
  close();
}

bool CallerSession::isIdle() const {
  return Requests.empty() && !WritePending && Unparsed.empty() && !Parser.isInsideMessage();
}

/// While stopping, the response to the last request that was parsed closes the connection. Early in
/// the stop, one that has arrived in part is still received.
bool CallerSession::shouldCloseAfter(const PendingRequest &request) const {
  return Stopping && Requests.back().get() == &request && (CloseIdle || !Parser.isInsideMessage());
}

/// Returns whether the next request on the connection may begin. One that follows a response that
/// closes the connection would be passed on and never answered; callers send it again elsewhere.
bool CallerSession::mayParseNext() const {
  // A response to HTTP/1.0 may need the end of the connection as its end.
  const bool mayClose = !Requests.empty() && (Stopping || Requests.back()->Http10);
  return !CloseAnnounced && !mayClose;
}

void CallerSession::sweep(core::Time now) {
  if (Closed)
    return;
  if (Lingering) {
    if (now - LastActivity >= LingerSpan)
      close();
    return;
  }
  if (Discarding && (Rejected || now - DiscardingSince > MaxDiscardTime)) {
    close();
    return;
  }
  if (InHead && now - HeadSince > Context.Limits.HeaderTimeout) {
    rejectBytes(absl::DeadlineExceededError("the request head did not arrive in time"));
    return;
  }
  closeIfIdle();
  if (!Closed && isIdle() && now - LastActivity > Context.Limits.IdleTimeout)
    close();
}

void CallerSession::read() {
  bool full =
      Unparsed.size() > Settings.MaxUnparsedBytes || (Receiving && Receiving->isTargetFull());
  if (ReadPending || Closed || (Rejected && !Lingering) || full)
    return;
  ReadPending = true;
  Buffer.resize(ReadBytes);
  Socket.async_read_some(
      asio::buffer(Buffer),
      [self = shared_from_this()](const asio::error_code &ec, size_t n) { self->onRead(ec, n); });
}

void CallerSession::onRead(const asio::error_code &ec, size_t n) {
  ReadPending = false;
  if (Closed)
    return;
  if (ec) {
    close();
    return;
  }
  if (Lingering) {
    read();
    return;
  }
  LastActivity = Clock.now();
  if (Unparsed.empty() && !Parser.isInsideMessage()) {
    HeadSince = LastActivity;
    InHead = true;
  }
  Unparsed.append(Buffer, 0, n);
  parse();
  flush();
  read();
}

void CallerSession::parse() {
  while (!Unparsed.empty() && !Closed && !Rejected && Requests.size() < Settings.MaxPipelined) {
    if (!Parser.isInsideMessage() && !mayParseNext())
      break;
    size_t used = 0;
    std::string bytes = std::move(Unparsed);
    Unparsed.clear();
    absl::Status status = Parser.feed(bytes, used);
    if (!status.ok()) {
      rejectBytes(status);
      return;
    }
    Unparsed.insert(0, bytes, used, std::string::npos);
    if (used == 0)
      break;
  }
  InHead = InHead && Parser.isInsideHead();
}

/// Sends an error response to bytes that are not valid HTTP, after the pending responses, and
/// closes the connection.
void CallerSession::rejectBytes(const absl::Status &status) {
  Rejected = true;
  Unparsed.clear();
  int code = absl::IsResourceExhausted(status) || absl::StrContains(status.message(), "too long")
                 ? 431
                 : 400;
  if (absl::IsDeadlineExceeded(status))
    code = 408;
  if (Context.Events != nullptr)
    Context.Events->emit({core::EventId::CallerProtocolError,
                          {{"status", code}, {"reason", std::string(status.message())}}});
  if (Receiving) {
    // The rest of the body cannot be parsed, so the exchange ends as if the caller had
    // disconnected.
    std::shared_ptr<PendingRequest> request = std::move(Receiving);
    if (!request->exchange().isDone()) {
      request->exchange().onCallerGone(Clock.now());
      request->Aborted = true;
    }
  }
  http::Head head;
  head.Status = code;
  head.BodyFraming = http::Framing::Length;
  head.KeepAlive = false;
  http::Head emptyHead;
  emptyHead.KeepAlive = false;
  auto request = std::make_shared<PendingRequest>(*this, emptyHead);
  request->Out = http::writeHead(head);
  request->Complete = true;
  request->CloseAfter = true;
  Requests.push_back(std::move(request));
  flush();
}

void CallerSession::onHead(http::Head head) {
  InHead = false;
  CloseAnnounced = CloseAnnounced || !head.KeepAlive;
  bool expectsContinue = false;
  if (std::optional<std::string_view> value = head.find("expect"))
    expectsContinue = core::equalsIgnoreCase(*value, "100-continue") && !head.Http10;
  auto request = std::make_shared<PendingRequest>(*this, std::move(head));
  Requests.push_back(request);
  Receiving = request;
  request->start();
  if (expectsContinue && !request->exchange().isDone())
    request->Out += "HTTP/1.1 100 Continue\r\n\r\n";
}

void CallerSession::onBody(std::string_view bytes) {
  if (!Receiving) {
    DiscardedBody += bytes.size();
    if (DiscardedBody > Context.Limits.BodyBytes)
      Rejected = true; // Stops reading; sweep() closes the connection.
    return;
  }
  Receiving->exchange().onCallerBody(bytes, Clock.now());
  Receiving->schedule();
}

void CallerSession::onEnd() {
  std::shared_ptr<PendingRequest> request = std::move(Receiving);
  Discarding = false;
  if (!request || request->exchange().isDone())
    return;
  request->exchange().onCallerEnd(Clock.now());
  request->schedule();
}

void CallerSession::flush() {
  if (WritePending || Closed || Requests.empty())
    return;
  std::shared_ptr<PendingRequest> front = Requests.front();
  if (front->Out.empty() && !front->Complete && !front->Aborted)
    return;
  Writing = std::exchange(front->Out, "");
  bool finished = front->Complete;
  if (front->Aborted) {
    close();
    return;
  }
  if (finished) {
    CloseAfterWrite = front->CloseAfter;
    if (Receiving == front) {
      Receiving.reset(); // The rest of the body is read and discarded.
      Discarding = true;
      DiscardingSince = Clock.now();
      DiscardedBody = 0;
    }
    Requests.pop_front();
  }
  WritePending = true;
  asio::async_write(Socket, asio::buffer(Writing),
                    [self = shared_from_this(), front](const asio::error_code &ec, size_t) {
                      self->onWritten(ec);
                      if (!self->Closed)
                        front->resumeTarget();
                    });
}

void CallerSession::onWritten(const asio::error_code &ec) {
  WritePending = false;
  LastActivity = Clock.now();
  if (Closed)
    return;
  if (ec) {
    close();
    return;
  }
  if (CloseAfterWrite) {
    linger();
    return;
  }
  parse();
  flush();
  read();
}

void CallerSession::linger() {
  Lingering = true;
  Unparsed.clear();
  for (const std::shared_ptr<PendingRequest> &it : Requests)
    if (!it->exchange().isDone())
      it->exchange().onCallerGone(Clock.now());
  Requests.clear();
  asio::error_code ignored;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  read();
}

void CallerSession::close() {
  if (std::exchange(Closed, true))
    return;
  auto self = shared_from_this();
  core::Time now = Clock.now();
  for (const std::shared_ptr<PendingRequest> &it : Requests) {
    if (!it->exchange().isDone())
      it->exchange().onCallerGone(now);
    it->Timer.cancel();
  }
  Requests.clear();
  Receiving.reset();
  asio::error_code ignored;
  Socket.close(ignored);
  Ended(self);
}

} // namespace briarspar::entry
