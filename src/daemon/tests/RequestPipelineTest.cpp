#include "daemon/RequestPipeline.h"
#include "core/testing/Property.h"
#include "daemon/testing/InMemoryFleet.h"
#include "forwarding/HttpServer.h"

#include <atomic>
#include <future>
#include <string>
#include <thread>

using namespace briarspar;
using namespace briarspar::daemon;
using daemon::testing::InMemoryFleet;

namespace {

const balance::PoolId Pool("read");
const core::RouteId Route("read");

/// Injected time that the test and the threads of the pipeline share.
struct SharedClock final : core::Clock {
  std::atomic<int64_t> Ms{0};
  core::Time now() const override { return {Ms}; }
};

struct NullSink final : core::EventSink {
  void emit(core::Event /*event*/) override {}
};

/// Half the deadline of the route: an exchange that is not cancelled ends later.
constexpr std::chrono::seconds Limit(10);

/// Waits for a condition that other threads bring about. The limit only ends a failed test.
bool eventually(const std::function<bool()> &condition) {
  auto end = std::chrono::steady_clock::now() + Limit;
  while (!condition() && std::chrono::steady_clock::now() < end)
    std::this_thread::yield();
  return condition();
}

void answer(httplib::Response &res, const std::string &text) {
  res.set_content(text, "text/plain");
}

/// Ends the connection in the middle of the answer.
void breakOff(httplib::Response &res) {
  res.set_chunked_content_provider("text/plain", [](size_t, httplib::DataSink &) { return false; });
}

/// A target on loopback. Its handler may be replaced between requests.
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

/// The pipeline of one VM of a fleet whose time stands still, with a near and a far target. The
/// near one is chosen first.
struct Fixture {
  explicit Fixture(const std::string &farAddress = "", uint32_t farNode = 3) {
    cr_assert(Fleet.advanceUntil([&] { return Fleet.leader().has_value(); }, {10'000}));
    for (uint32_t n = 0; n < Fleet.size(); ++n)
      Fleet.propose(config::PutVm{InMemoryFleet::idOf(n), "127.0.0.1:1", "127.0.0.1:2",
                                  Fleet.localityOf(n).Region, Fleet.localityOf(n).Domain});
    Fleet.propose(config::CreateRoute{
        Route, "/read", config::RouteAccess::Open, config::RouteSemantics::Idempotent, {20'000}});
    Fleet.advance({100});
    add("near", Near.address(), 0);
    add("far", farAddress.empty() ? Far.address() : farAddress, farNode);
    Side.slots().setWaiting(Pool, Demand);
    cr_assert(Fleet.advanceUntil(
        [&] {
          return Side.state()->Targets.size() == 2 &&
                 Side.slots().available(core::TargetId("near")) > 1 &&
                 Side.slots().available(core::TargetId("far")) > 1;
        },
        {60'000}));
    Clock.Ms = Fleet.clock().now().Ms;
  }

  void add(const std::string &name, const std::string &address, uint32_t node) {
    balance::Locality place = Fleet.localityOf(node);
    Fleet.propose(config::AddTarget{core::TargetId(name), Route, address, core::VersionId("v1"), 40,
                                    place.Region, place.Domain});
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

  /// Gives the hedge policy the latencies it needs.
  void warmUp() {
    for (size_t n = 0; n < balance::HedgeSettings().MinSamples; ++n)
      cr_assert_eq(send().status, 200);
    Near.Arrived = 0;
  }

  bool allSlotsFree() { return Side.slots().poolSlots(Pool).Total == free(); }
  uint32_t free() { return Side.slots().poolSlots(Pool).Free; }

  static constexpr uint32_t Demand = 50;
  InMemoryFleet Fleet{{}};
  VmAgent &Side = Fleet.node(0).vm();
  SharedClock Clock;
  NullSink Events;
  observability::Metrics Metrics;
  Target Near;
  Target Far;
  forwarding::TargetClientPool Targets{Clock, {}};
  SlotQueue Slots{Side.chooser(), Side.slots(), Clock};
  ClaimBridge Claims{[](auto) {}, [](const auto &) {}, [](auto, const auto &) {}};
  RequestPipeline Pipeline{Side,  Slots,  Claims,  Targets,
                           Clock, Events, Metrics, [this] { Pipeline.crashAcks().signal(); }};
};

} // namespace

/// Guards against a caller that waits for a slow target although the hedge is answered, and against
/// a loser that keeps its connection and its slot.
Test(RequestPipeline, hedgeAnswersAndCancelsTheFirst) {
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
Test(RequestPipeline, firstAnswersAndCancelsTheHedge) {
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

/// Guards against "not-run" for a request that a target may have run, because a later target, as a
/// retry or as a hedge, refused the connection.
Test(RequestPipeline, outcomeStaysUnknownWhenALaterTargetRefuses) {
  for (bool hedged : {false, true}) {
    Fixture f("127.0.0.1:1");
    f.warmUp();
    f.Near.Handler = [&](const auto &, auto &res) {
      if (f.Near.Arrived > 2) // The second exchange is the one on a fresh connection.
        return answer(res, "sent again after it may have run");
      if (hedged)
        eventually([&] { return f.Side.chooser().isEjected(core::TargetId("far")); });
      breakOff(res);
    };
    auto response = std::async(std::launch::async, [&] { return f.send(); });
    cr_assert(eventually([&] { return f.Near.Arrived >= 1; }));
    f.Clock.Ms += hedged ? 100 : 0;
    cr_expect_str_eq(response.get().get_header_value("Briarspar-Outcome").c_str(), "unknown");
    cr_expect(f.Side.chooser().isEjected(core::TargetId("far")));
  }
}

/// Guards against load reports that steer nothing or reach the caller.
Test(RequestPipeline, loadReportSteersRequestsAway) {
  Fixture f("", /*farNode=*/0); // Both in the VM's own failure domain.
  std::atomic<int> loaded{0};   // Port of the target that is chosen while there is no report.
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

/// Guards against a customer that takes the last free slots, so that the others wait for the end of
/// one of its requests.
Test(SlotQueue, leadingCustomerLeavesSlotsToOthers) {
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

/// Guards against a request that ends target after target unseen, because each ending process still
/// accepts the connection of a probe.
Test(RequestPipeline, crashOnAReusedConnectionIsRecordedAgainstOneTarget) {
  Fixture f;
  f.warmUp();
  f.Near.Handler = [](const auto &, auto &res) { breakOff(res); };
  cr_assert_eq(f.send().status, 200);
  cr_assert_eq(f.Near.Arrived.load(), 2);
  cr_assert_eq(f.Side.crashes().size(), 1);
}

/// Guards against an idle connection that the target closed and that passes for a crash.
Test(RequestPipeline, closedIdleConnectionIsNoCrash) {
  Fixture f;
  f.warmUp();
  f.Near.Handler = [&](const auto &, auto &res) {
    f.Near.Arrived == 1 ? breakOff(res) : answer(res, "near");
  };
  cr_assert(f.send().body == "near");
  cr_assert_eq(f.Side.crashes().size(), 0);
}
