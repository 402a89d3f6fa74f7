#include "daemon/RequestPipeline.h"
#include "core/testing/Property.h"
#include "daemon/testing/InMemoryFleet.h"
#include "forwarding/HttpServer.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <string>
#include <string_view>
#include <thread>

using namespace briarspar;
using namespace briarspar::daemon;
using daemon::testing::InMemoryFleet;

namespace {

const balance::PoolId Pool("read");
const core::RouteId Route("read");

/// A manual clock shared by the test and the threads of the pipeline.
struct SharedClock final : core::Clock {
  std::atomic<int64_t> Ms{0};
  core::Time now() const override { return {Ms}; }
};

struct NullSink final : core::EventSink {
  void emit(core::Event /*event*/) override {}
};

/// Half of the route's deadline. An exchange that is not cancelled takes longer.
constexpr std::chrono::seconds Limit(10);

/// Waits for a condition set by other threads. The time limit is reached only if the test fails.
bool eventually(const std::function<bool()> &condition) {
  auto end = std::chrono::steady_clock::now() + Limit;
  while (!condition() && std::chrono::steady_clock::now() < end)
    std::this_thread::yield();
  return condition();
}

void answer(httplib::Response &res, const std::string &text) {
  res.set_content(text, "text/plain");
}

/// Closes the connection in the middle of the answer.
void abortAnswer(httplib::Response &res) {
  res.set_chunked_content_provider("text/plain", [](size_t, httplib::DataSink &) { return false; });
}

/// A target on the loopback interface. Its handler may be replaced between requests.
struct Target {
  forwarding::HttpServer::Handler Handler = [](const auto &, auto &res) { answer(res, "warm"); };
  std::atomic<int> Arrived{0};
  forwarding::HttpServer Server{{}, [this](const auto &req, auto &res) {
                                  ++Arrived;
                                  Handler(req, res);
                                }};
  Target() { cr_assert(Server.start().ok()); }
  ~Target() { Server.stop(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(Server.port()); }
};

/// A target whose process ends during the second request. The connection of that request closes
/// first; the listener accepts one more connection and then closes, as at the end of a process.
class EndingTarget {
public:
  EndingTarget() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof address;
    auto *any = reinterpret_cast<sockaddr *>(&address);
    cr_assert(::bind(Listener, any, n) == 0 && ::listen(Listener, 16) == 0);
    ::getsockname(Listener, any, &n);
    Port = ntohs(address.sin_port);
    Worker = std::thread([this] { run(); });
  }

  ~EndingTarget() {
    ::shutdown(Listener, SHUT_RDWR);
    Worker.join();
    ::close(Listener);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

private:
  void run() {
    constexpr std::string_view Reply = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwarm";
    std::array<char, 4096> buf{};
    const int first = ::accept(Listener, nullptr, nullptr);
    (void)::recv(first, buf.data(), buf.size(), 0);
    (void)::send(first, Reply.data(), Reply.size(), MSG_NOSIGNAL);
    (void)::recv(first, buf.data(), buf.size(), 0);
    ::close(first);
    const int probe = ::accept(Listener, nullptr, nullptr);
    ::shutdown(Listener, SHUT_RDWR);
    if (probe >= 0)
      ::close(probe);
  }

  int Listener = ::socket(AF_INET, SOCK_STREAM, 0);
  int Port = 0;
  std::thread Worker;
};

/// The pipeline of one VM of a simulated fleet whose clock is stopped, with a near and a far
/// target. The near target is preferred.
struct Fixture {
  explicit Fixture(const std::string &farAddress = "", uint32_t farNode = 3,
                   const std::string &nearAddress = "") {
    cr_assert(Fleet.advanceUntil([&] { return Fleet.leader().has_value(); }, {10'000}));
    for (uint32_t n = 0; n < Fleet.size(); ++n)
      Fleet.propose(config::PutVm{InMemoryFleet::idOf(n), "127.0.0.1:1", "127.0.0.1:2",
                                  Fleet.localityOf(n).Region, Fleet.localityOf(n).Domain});
    Fleet.propose(config::CreateRoute{
        Route, "/read", config::RouteAccess::Open, config::RouteSemantics::Idempotent, {20'000}});
    Fleet.advance({100});
    add("near", nearAddress.empty() ? Near.address() : nearAddress, 0);
    add("far", farAddress.empty() ? Far.address() : farAddress, farNode);
    Agent.slots().setWaiting(Pool, Demand);
    cr_assert(Fleet.advanceUntil(
        [&] {
          return Agent.state()->Targets.size() == 2 &&
                 Agent.slots().available(core::TargetId("near")) > 1 &&
                 Agent.slots().available(core::TargetId("far")) > 1;
        },
        {60'000}));
    Clock.Ms = Fleet.clock().now().Ms;
  }

  void add(const std::string &name, const std::string &address, uint32_t node) {
    balance::Locality locality = Fleet.localityOf(node);
    Fleet.propose(config::AddTarget{core::TargetId(name), Route, address, core::VersionId("v1"), 40,
                                    locality.Region, locality.Domain});
    Fleet.advance({100});
  }

  httplib::Response send() {
    httplib::Request req;
    req.method = "GET";
    req.path = req.target = "/read/x";
    httplib::Response res;
    Pipeline.handle(req, res);
    return res;
  }

  /// Provides the hedge policy with the latency samples that it requires.
  void warmUp() {
    for (size_t n = 0; n < balance::HedgeSettings().MinSamples; ++n)
      cr_assert_eq(send().status, 200);
    Near.Arrived = 0;
  }

  bool allSlotsFree() { return Agent.slots().poolSlots(Pool).Total == free(); }
  uint32_t free() { return Agent.slots().poolSlots(Pool).Free; }

  static constexpr uint32_t Demand = 50;
  InMemoryFleet Fleet{{}};
  VmAgent &Agent = Fleet.node(0).vm();
  SharedClock Clock;
  NullSink Events;
  observability::Metrics Metrics;
  Target Near;
  Target Far;
  forwarding::TargetClientPool Targets{Clock, {}};
  SlotQueue Slots{Agent.chooser(), Agent.slots(), Clock};
  ClaimBridge Claims{[](auto) {}, [](const auto &) {}, [](auto, const auto &) {}};
  RequestPipeline Pipeline{Agent, Slots,  Claims,  Targets,
                           Clock, Events, Metrics, [this] { Pipeline.crashAcks().signal(); }};
};

} // namespace

/// Guards against a caller that waits for a slow target although the hedge was answered, and
/// against a cancelled attempt that keeps its connection and its slot.
Test(RequestPipeline, answeredHedgeCancelsFirstAttempt) {
  Fixture f;
  f.warmUp();
  std::promise<void> ended;
  auto held = ended.get_future().share();
  f.Near.Handler = [held](const auto &, auto &res) { held.wait(); };
  f.Far.Handler = [](const auto &, auto &res) { answer(res, "hedge"); };
  auto response = std::async(std::launch::async, [&] { return f.send(); });
  cr_assert(eventually([&] { return f.Near.Arrived == 1; }));
  f.Clock.Ms += 100;
  cr_expect(response.wait_for(Limit) == std::future_status::ready);
  cr_expect_str_eq(response.get().body.c_str(), "hedge");
  cr_expect(f.allSlotsFree());
  ended.set_value();
}

/// Guards against a hedge that is not cancelled when the first target answers.
Test(RequestPipeline, answeredFirstAttemptCancelsHedge) {
  Fixture f;
  f.warmUp();
  std::promise<void> ended;
  auto held = ended.get_future().share();
  f.Near.Handler = [&](const auto &, auto &res) {
    eventually([&] { return f.Far.Arrived == 1; });
    answer(res, "first");
  };
  f.Far.Handler = [held](const auto &, auto &res) { held.wait(); };
  auto response = std::async(std::launch::async, [&] { return f.send(); });
  cr_assert(eventually([&] { return f.Near.Arrived == 1; }));
  f.Clock.Ms += 100;
  cr_expect(response.wait_for(Limit) == std::future_status::ready);
  cr_expect_str_eq(response.get().body.c_str(), "first");
  cr_expect(eventually([&] { return f.allSlotsFree(); }));
  ended.set_value();
}

/// Guards against the outcome "not-run" for a request that a target may have run, caused by a later
/// target, of a retry or a hedge, that refused the connection.
Test(RequestPipeline, outcomeStaysUnknownIfLaterTargetRefuses) {
  for (bool hedged : {false, true}) {
    Fixture f("127.0.0.1:1");
    f.warmUp();
    f.Near.Handler = [&](const auto &, auto &res) {
      if (f.Near.Arrived > 2) // The second request is sent on a fresh connection.
        return answer(res, "resent after it may have run");
      if (hedged)
        eventually([&] { return f.Agent.chooser().isEjected(core::TargetId("far")); });
      abortAnswer(res);
    };
    auto response = std::async(std::launch::async, [&] { return f.send(); });
    cr_assert(eventually([&] { return f.Near.Arrived >= 1; }));
    f.Clock.Ms += hedged ? 100 : 0;
    cr_expect_str_eq(response.get().get_header_value("Briarspar-Outcome").c_str(), "unknown");
    cr_expect(f.Agent.chooser().isEjected(core::TargetId("far")));
  }
}

/// Guards against load reports that do not affect target selection or are forwarded to the caller.
Test(RequestPipeline, loadedTargetIsAvoided) {
  Fixture f("", /*farNode=*/0); // Both targets are in the VM's own failure domain.
  std::atomic<int> loaded{0};   // Port of the target chosen before any load report.
  std::atomic<int> onLoaded{0};
  f.Near.Handler = f.Far.Handler = [&](const auto &req, auto &res) {
    int none = 0;
    loaded.compare_exchange_strong(none, req.local_port);
    onLoaded += req.local_port == loaded ? 1 : 0;
    res.set_header("Briarspar-Load", req.local_port == loaded ? "1000" : "0");
    answer(res, "ok");
  };
  for (int n = 0; n < 8; ++n)
    cr_expect_not(f.send().has_header("Briarspar-Load"));
  cr_expect_eq(onLoaded, 1);
}

/// Guards against a customer that takes the last free slots, so that other customers must wait
/// until one of its requests ends.
Test(SlotQueue, leadingCustomerLeavesReservedSlots) {
  Fixture f;
  const uint32_t all = f.free();
  const uint32_t reserve = all * balance::FairQueueSettings().ReservePermille / 1000;
  cr_assert_gt(reserve, 0U);
  const core::Time deadline = f.Clock.now() + core::Duration{10};
  for (uint32_t n = reserve; n < all; ++n)
    cr_assert(f.Slots.acquire(core::CustomerId("flood"), Pool, deadline).has_value());
  auto flood = std::async(std::launch::async, [&] {
    return f.Slots.acquire(core::CustomerId("flood"), Pool, deadline);
  });
  cr_assert(eventually([&] { return f.Slots.waiting(Pool) == 1; }), "the reserve was taken");
  cr_expect(f.Slots.acquire(core::CustomerId("shop"), Pool, deadline).has_value());
  f.Clock.Ms += 10;
  cr_expect_not(flood.get().has_value());
}

/// Guards against a request that crashes one target after another undetected, because an ending
/// process still accepts the connection of a probe.
Test(RequestPipeline, crashOnReusedConnectionIsRecordedOnce) {
  Fixture f;
  f.warmUp();
  f.Near.Handler = [](const auto &, auto &res) { abortAnswer(res); };
  cr_assert_eq(f.send().status, 200);
  cr_assert_eq(f.Near.Arrived.load(), 2);
  cr_assert_eq(f.Agent.crashes().size(), 1);
}

/// Guards against a request that crashes one target after another undetected, because the retry
/// budget allows no second exchange and the listener of the ending process outlives the connection.
Test(RequestPipeline, crashWithoutRetryBudgetIsRecorded) {
  EndingTarget near;
  Fixture f("", 3, near.address());
  cr_assert_eq(f.send().status, 200);
  cr_assert_neq(f.send().status, 200);
  cr_assert_eq(f.Agent.crashes().size(), 1);
}

/// Guards against an idle connection closed by a target that runs on and that is counted as a crash
/// when the retry budget allows no second exchange.
Test(RequestPipeline, closedIdleConnectionWithoutRetryBudgetIsNotCountedAsCrash) {
  Fixture f;
  cr_assert_eq(f.send().status, 200);
  f.Near.Handler = [](const auto &, auto &res) { abortAnswer(res); };
  cr_assert_neq(f.send().status, 200);
  cr_assert_eq(f.Agent.crashes().size(), 0);
}

/// Guards against an idle connection closed by the target that is counted as a crash.
Test(RequestPipeline, closedIdleConnectionIsNotCountedAsCrash) {
  Fixture f;
  f.warmUp();
  f.Near.Handler = [&](const auto &, auto &res) {
    f.Near.Arrived == 1 ? abortAnswer(res) : answer(res, "near");
  };
  cr_assert(f.send().body == "near");
  cr_assert_eq(f.Agent.crashes().size(), 0);
}
