#include "entry/CallerSession.h"

#include "absl/strings/match.h"
#include "core/Text.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <chrono>

namespace briarspar::entry {

namespace {

/// Bytes read at once.
constexpr size_t ReadBytes = 16UL * 1024;

/// After the last answer, what the caller still sends is read for this long: closing with unread
/// bytes would reset the connection and could destroy the answer on its way.
constexpr core::Duration LingerSpan{1000};

} // namespace

/// One request of the connection with its exchange, its target connection and its answer.
class CallerSession::Slot final : public std::enable_shared_from_this<Slot>,
                                  public ExchangeActions,
                                  public http::AnswerListener {
public:
  Slot(CallerSession &session, http::Head head)
      : Session(session), Timer(session.Io), KeepAlive(head.KeepAlive), Http10(head.Http10),
        Run(session.All, *this, std::move(head), session.Clock.now()) {}

  ~Slot() override {
    if (Target)
      Target->close();
  }

  void start() {
    Run.start(now());
    schedule();
  }

  Exchange &exchange() { return Run; }

  void schedule() {
    if (Run.isDone()) {
      Timer.cancel();
      return;
    }
    if (Run.wakeAt() == ScheduledFor)
      return;
    ScheduledFor = Run.wakeAt();
    Timer.expires_after(std::chrono::milliseconds(std::max<int64_t>(0, (ScheduledFor - now()).Ms)));
    Timer.async_wait([self = weak_from_this()](const asio::error_code &ec) {
      std::shared_ptr<Slot> slot = self.lock();
      if (ec || !slot || slot->Session.Closed)
        return;
      std::shared_ptr<CallerSession> session = slot->Session.shared_from_this();
      slot->ScheduledFor = {};
      slot->Run.onTimer(slot->now());
      slot->schedule();
      session->flush();
    });
  }

  // ExchangeActions

  void sendToTarget(const Pick &target, const http::Head &head, bool fresh) override {
    BodyToTarget = head.Body;
    Target = Session.Pool.acquire(target.Host, target.Port,
                                  Session.All.Targets.maxConnections(target.Service), fresh);
    if (!Target) {
      asio::post(Session.Io, [self = shared_from_this(), owner = Session.weak_from_this()] {
        if (std::shared_ptr<CallerSession> session = owner.lock(); session && !session->Closed)
          self->onConnectionLost(http::ConnectionLoss::NotConnected);
      });
      return;
    }
    Target->start(head, std::string(head.find(Session.All.Names.RequestId).value_or("")), *this);
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
    return Session.All.Rates.request(customer, now(),
                                     [self = weak_from_this(), owner = Session.weak_from_this(),
                                      &rates = Session.All.Rates, &clock = Session.Clock,
                                      customer](bool granted) {
                                       std::shared_ptr<CallerSession> session = owner.lock();
                                       std::shared_ptr<Slot> slot = self.lock();
                                       if (!session || !slot) {
                                         if (granted)
                                           rates.giveBack(customer, clock.now());
                                         return;
                                       }
                                       slot->Run.onRateDecided(granted, clock.now());
                                       slot->schedule();
                                       session->flush();
                                     });
  }

  void dropTarget() override {
    if (std::shared_ptr<http::ClientConnection> target = std::move(Target))
      target->close();
  }

  void abandonTarget() override {
    if (std::shared_ptr<http::ClientConnection> target = std::move(Target))
      Session.Pool.discardAnswer(target);
  }

  void answerHead(const http::Head &head) override {
    http::Head out;
    out.Status = head.Status;
    out.Length = head.Length;
    out.Body = head.Body == http::Framing::UntilClose ? http::Framing::Chunked : head.Body;
    for (const http::Header &it : head.Headers)
      if (!http::isHopByHop(head, it.Name) && !http::sameName(it.Name, Session.All.Names.Load))
        out.Headers.push_back(it);
    out.KeepAlive = KeepAlive && !Session.mayClose(*this);
    if (Http10 && out.Body == http::Framing::Chunked) {
      out.Body = http::Framing::UntilClose;
      out.KeepAlive = false;
    }
    CloseAfter = !out.KeepAlive;
    Chunked = out.Body == http::Framing::Chunked;
    Out += http::writeHead(out);
  }

  void answerBody(std::string_view bytes) override {
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

  void endAnswer() override {
    if (Chunked)
      Out += http::LastChunk;
    Complete = true;
  }

  void cutAnswer() override { Cut = true; }

  // AnswerListener

  void onConnected(core::Duration time) override { Run.onTargetConnected(time); }

  void onAnswerHead(http::Head head) override { Run.onAnswerHead(std::move(head), now()); }

  void onAnswerBody(std::string_view bytes) override {
    Run.onAnswerBody(bytes, now());
    Session.flush();
  }

  void onAnswerEnd() override {
    std::shared_ptr<CallerSession> session = Session.shared_from_this();
    std::shared_ptr<Slot> self = shared_from_this();
    Session.Pool.release(std::exchange(Target, nullptr));
    Run.onAnswerEnd(now());
    schedule();
    session->flush();
  }

  void onConnectionLost(http::ConnectionLoss loss) override {
    std::shared_ptr<CallerSession> session = Session.shared_from_this();
    std::shared_ptr<Slot> self = shared_from_this();
    Target.reset();
    Run.onTargetLost(loss, now());
    schedule();
    session->flush();
  }

  void onWritable() override { Session.read(); }

  bool isTargetFull() const { return Target && !Target->isWritable(); }

  void onCallerCaughtUp() {
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
  std::string Out;       ///< Answer bytes that are not written yet.
  bool Chunked = false;  ///< The answer goes out in chunks.
  bool Complete = false; ///< Out holds the answer to its end.
  bool Cut = false;      ///< The answer cannot be completed.
  bool CloseAfter = false;
  Exchange Run;
};

CallerSession::CallerSession(asio::io_context &io, asio::ip::tcp::socket socket,
                             const core::Clock &clock, Steering &steering, TargetPool &pool,
                             std::function<void(const std::shared_ptr<CallerSession> &)> ended,
                             const CallerSessionSettings &settings)
    : Io(io), Socket(std::move(socket)), Clock(clock), All(steering), Pool(pool),
      Ended(std::move(ended)), Settings(settings),
      Parser(http::MessageParser::Requests, steering.Limits.HeaderBytes, *this),
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
  if (CloseIdle && isIdle())
    close();
}

bool CallerSession::isIdle() const {
  return Slots.empty() && !WritePending && Unparsed.empty() && !Parser.isInsideMessage();
}

/// While stopping, the answer to the last request that has arrived closes the connection.
bool CallerSession::mayClose(const Slot &slot) const {
  return Stopping && Slots.back().get() == &slot && Unparsed.empty() && !Parser.isInsideMessage();
}

void CallerSession::sweep(core::Time now) {
  if (Closed)
    return;
  if (Lingering) {
    if (now - LastActivity > LingerSpan)
      close();
    return;
  }
  if (InHead && now - HeadSince > All.Limits.HeaderTimeout) {
    rejectBytes(absl::DeadlineExceededError("the head did not arrive in time"));
    return;
  }
  if (isIdle() && now - LastActivity > All.Limits.IdleTimeout)
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
  while (!Unparsed.empty() && !Closed && !Rejected && Slots.size() < Settings.MaxPipelined) {
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

/// Answers bytes that are no request, after the answers that are due, and closes.
void CallerSession::rejectBytes(const absl::Status &status) {
  Rejected = true;
  Unparsed.clear();
  int code = absl::IsResourceExhausted(status) || absl::StrContains(status.message(), "too long")
                 ? 431
                 : 400;
  if (absl::IsDeadlineExceeded(status))
    code = 408;
  if (All.Events != nullptr)
    All.Events->emit({core::EventId::CallerProtocolError,
                      {{"status", code}, {"reason", std::string(status.message())}}});
  if (Receiving) {
    // The rest of a body cannot be read: its exchange has lost its caller.
    std::shared_ptr<Slot> slot = std::move(Receiving);
    if (!slot->exchange().isDone()) {
      slot->exchange().onCallerGone(Clock.now());
      slot->Cut = true;
    }
  }
  http::Head head;
  head.Status = code;
  head.Body = http::Framing::Length;
  head.KeepAlive = false;
  http::Head request;
  request.KeepAlive = false;
  auto slot = std::make_shared<Slot>(*this, request);
  slot->Out = http::writeHead(head);
  slot->Complete = true;
  slot->CloseAfter = true;
  Slots.push_back(std::move(slot));
  flush();
}

void CallerSession::onHead(http::Head head) {
  InHead = false;
  bool expects = false;
  if (std::optional<std::string_view> value = head.find("expect"))
    expects = core::equalsIgnoreCase(*value, "100-continue") && !head.Http10;
  auto slot = std::make_shared<Slot>(*this, std::move(head));
  Slots.push_back(slot);
  Receiving = slot;
  slot->start();
  if (expects && !slot->exchange().isDone())
    slot->Out += "HTTP/1.1 100 Continue\r\n\r\n";
}

void CallerSession::onBody(std::string_view bytes) {
  if (!Receiving)
    return;
  Receiving->exchange().onCallerBody(bytes, Clock.now());
  Receiving->schedule();
}

void CallerSession::onEnd() {
  std::shared_ptr<Slot> slot = std::move(Receiving);
  if (!slot || slot->exchange().isDone())
    return;
  slot->exchange().onCallerEnd(Clock.now());
  slot->schedule();
}

void CallerSession::flush() {
  if (WritePending || Closed || Slots.empty())
    return;
  std::shared_ptr<Slot> front = Slots.front();
  if (front->Out.empty() && !front->Complete && !front->Cut)
    return;
  Writing = std::exchange(front->Out, "");
  bool finished = front->Complete;
  if (front->Cut) {
    close();
    return;
  }
  if (finished) {
    CloseAfterWrite = front->CloseAfter;
    if (Receiving == front)
      Receiving.reset(); // The rest of its body is read and dropped.
    Slots.pop_front();
  }
  WritePending = true;
  asio::async_write(Socket, asio::buffer(Writing),
                    [self = shared_from_this(), front](const asio::error_code &ec, size_t) {
                      self->onWritten(ec);
                      if (!self->Closed)
                        front->onCallerCaughtUp();
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
  if (CloseIdle && isIdle())
    close();
}

void CallerSession::linger() {
  Lingering = true;
  Unparsed.clear();
  for (const std::shared_ptr<Slot> &it : Slots)
    if (!it->exchange().isDone())
      it->exchange().onCallerGone(Clock.now());
  Slots.clear();
  asio::error_code ignored;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  read();
}

void CallerSession::close() {
  if (std::exchange(Closed, true))
    return;
  auto self = shared_from_this();
  core::Time now = Clock.now();
  for (const std::shared_ptr<Slot> &it : Slots) {
    if (!it->exchange().isDone())
      it->exchange().onCallerGone(now);
    it->Timer.cancel();
  }
  Slots.clear();
  Receiving.reset();
  asio::error_code ignored;
  Socket.close(ignored);
  Ended(self);
}

} // namespace briarspar::entry
