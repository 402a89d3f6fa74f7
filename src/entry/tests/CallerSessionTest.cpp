#include "entry/CallerSession.h"
#include "entry/testing/OneService.h"

#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <string>
#include <thread>

using namespace briarspar;
using namespace briarspar::entry;

namespace {

/// A connection of a caller to a VM without a configuration, which refuses every request with 503.
struct Fixture {
  Fixture() : Caller(Io), Pool(Io, Clock, "X-Id") {
    asio::ip::tcp::acceptor acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
    Caller.connect(acceptor.local_endpoint());
    Session = std::make_shared<CallerSession>(
        Io, acceptor.accept(), Clock, Context, Pool,
        [this](const std::shared_ptr<CallerSession> &) { Ended = true; });
    Session->start();
    Caller.non_blocking(true);
  }

  ~Fixture() { Session->close(); }

  void send(const std::string &bytes) {
    asio::error_code ec;
    Caller.write_some(asio::buffer(bytes), ec);
  }

  /// Runs the session and reads what it has sent.
  void poll() {
    Io.restart();
    Io.poll();
    char buffer[4096];
    asio::error_code ec;
    for (size_t n; (n = Caller.read_some(asio::buffer(buffer), ec)) > 0 && !ec;)
      Received.append(buffer, n);
    std::this_thread::yield();
  }

  /// Lets time pass on the clock of the session, with its sweeps.
  void advance(core::Duration span) {
    const core::Duration step{100};
    for (core::Duration passed{0}; passed < span && !Ended; passed = passed + step) {
      poll();
      Clock.advance(step);
      Session->sweep(Clock.now());
    }
  }

  asio::io_context Io;
  core::ManualClock Clock;
  EntryContext Context{{},
                       {},
                       nullptr,
                       {},
                       RateLimiter({core::VmId("vm"), core::RegionId("r"), core::DomainId("z")},
                                   [](const core::VmId &, const link::RateRequest &) {}),
                       RetryAfterPolicy(core::Time{0}),
                       RetryBudget(),
                       TargetTable({core::VmId("vm"),
                                    core::RegionId("r"),
                                    core::DomainId("z"),
                                    {{core::DomainId("z"), core::RegionId("r")}}}),
                       balance::CrashGuard(1),
                       nullptr,
                       0,
                       0};
  asio::ip::tcp::socket Caller;
  TargetPool Pool;
  std::shared_ptr<CallerSession> Session;
  std::string Received;
  bool Ended = false;
};

const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr int MaxPolls = 10'000;

} // namespace

/// Guards against a planned stop that closes a connection on which a request has arrived but has
/// not been read yet.
Test(CallerSession, stopAnswersRequestThatHasArrived) {
  Fixture f;
  f.Clock.advance({5000});
  f.send(Request);
  f.Session->startStopping(/*closeIdle=*/true);
  for (int n = 0; n < MaxPolls && f.Received.empty(); ++n)
    f.poll();
  cr_assert_eq(f.Received.substr(0, 12), std::string("HTTP/1.1 503"));
  f.advance({1000});
  cr_assert(f.Ended);
}

/// Guards against a planned stop that closes a connection between its opening and the arrival of
/// its first request.
Test(CallerSession, stopAnswersFirstRequestOfNewConnection) {
  Fixture f;
  f.Session->startStopping(/*closeIdle=*/true);
  f.advance({100});
  f.send(Request);
  for (int n = 0; n < MaxPolls && f.Received.empty(); ++n)
    f.poll();
  cr_assert_eq(f.Received.substr(0, 12), std::string("HTTP/1.1 503"));
}

/// Guards against idle connections that keep a stopping process from ending.
Test(CallerSession, stopClosesIdleConnection) {
  Fixture f;
  f.Session->startStopping(/*closeIdle=*/true);
  f.advance({1000});
  cr_assert(f.Ended);
}

/// Guards against a request body without end that is read after its request was refused, as fast
/// as the caller sends it.
Test(CallerSession, endlessRequestBodyIsClosed) {
  Fixture f;
  f.Context.Limits.BodyBytes = 1024UL * 1024;
  f.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "2000\r\n" + std::string(0x2000, 'x') + "\r\n";
  for (int n = 0; n < MaxPolls && !f.Ended; ++n) {
    f.send(chunk);
    f.poll();
    f.Session->sweep(f.Clock.now());
  }
  cr_assert(f.Ended);
  cr_assert_eq(f.Received.substr(0, 12), std::string("HTTP/1.1 503"));
}

/// Guards against a request body that arrives byte by byte and occupies its connection without end.
Test(CallerSession, slowRequestBodyIsClosed) {
  Fixture f;
  f.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
  for (int n = 0; n < 60 && !f.Ended; ++n) {
    f.send("x");
    f.advance({1000});
  }
  cr_assert(f.Ended);
}

namespace {

/// The same with a configuration and one target, whose responses the test writes.
struct FixtureWithTarget : Fixture {
  FixtureWithTarget() : TargetAcceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    TargetAcceptor.non_blocking(true);
    catalog::Catalog catalog = entry::testing::oneService();
    catalog::Change change;
    catalog::Route route;
    route.Name = "read";
    route.Host = "h";
    route.Prefix = "/";
    route.Open = true;
    route.Idempotent = true;
    route.Timeout = core::Duration{1000};
    route.LatencyGoal = core::Duration{400};
    route.MaxTargets = 2;
    route.Services = {{entry::testing::ServiceName, 1}};
    change.Routes.push_back({catalog::ItemVersion(2), route, route.Name});
    cr_assert(catalog.apply(change, core::LogIndex(2)).ok());
    Context.Routes = std::make_shared<const RouteTable>(catalog);
    Context.Targets.setCatalog(catalog, Clock.now());
    discovery::Target target;
    target.Id = core::TargetId("t");
    target.Service = entry::testing::ServiceName;
    target.Host = "127.0.0.1";
    target.Port = TargetAcceptor.local_endpoint().port();
    target.Domain = core::DomainId("z");
    target.Version = core::VersionId("v1");
    target.Slots = 4;
    discovery::TargetList list;
    list.startEpoch(1);
    list.update({target}, Clock.now());
    Context.Targets.setTargets(list, Clock.now());
    Context.Retries.setEntries(1);
  }

  /// Runs the session and accepts what arrives at the target.
  void pollAll() {
    poll();
    asio::error_code ec;
    asio::ip::tcp::socket socket(Io);
    TargetAcceptor.accept(socket, ec);
    if (!ec) {
      socket.non_blocking(true);
      AtTarget.push_back(std::move(socket));
    }
    for (asio::ip::tcp::socket &it : AtTarget) {
      char buffer[4096];
      size_t n = it.read_some(asio::buffer(buffer), ec);
      if (!ec)
        TargetReceived.append(buffer, n);
    }
  }

  static size_t count(const std::string &text, const std::string &part) {
    size_t found = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
      ++found;
    return found;
  }

  asio::ip::tcp::acceptor TargetAcceptor;
  std::vector<asio::ip::tcp::socket> AtTarget;
  std::string TargetReceived;
};

std::string requestFor(const std::string &id) {
  return "GET /" + id + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n\r\n";
}

} // namespace

/// Guards against a planned stop that passes a pipelined request on to a target and closes the
/// connection without its response, because the response before it has announced the close.
Test(CallerSession, stopAnswersEveryRequestThatReachedATarget) {
  FixtureWithTarget f;
  f.Context.Names.RequestId = "X-Id";
  f.send(requestFor("first"));
  for (int n = 0; n < MaxPolls && f.TargetReceived.find("/first") == std::string::npos; ++n)
    f.pollAll();
  cr_assert_eq(FixtureWithTarget::count(f.TargetReceived, "GET /"), 1);
  f.Session->startStopping(/*closeIdle=*/true);
  asio::write(f.AtTarget[0],
              asio::buffer(std::string(
                  "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 10\r\n\r\nhello")));
  for (int n = 0; n < MaxPolls && f.Received.find("hello") == std::string::npos; ++n)
    f.pollAll();
  f.send(requestFor("second"));
  for (int n = 0; n < 200; ++n)
    f.pollAll();
  asio::write(f.AtTarget[0], asio::buffer(std::string("world")));
  for (int n = 0; n < MaxPolls && f.Received.find("world") == std::string::npos; ++n)
    f.pollAll();
  f.advance({2000});
  cr_assert_eq(FixtureWithTarget::count(f.Received, "HTTP/1.1 200"),
               FixtureWithTarget::count(f.TargetReceived, "GET /"));
  cr_assert(f.Received.find("onnection: close") != std::string::npos);
  cr_assert(f.Ended);
}
