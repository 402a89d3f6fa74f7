#include "entry/Exchange.h"
#include "core/testing/Property.h"

#include <memory>
#include <set>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;

namespace {

/// Records what an exchange asks for.
struct Recorder final : ExchangeActions {
  void sendToTarget(const Pick &target, const http::Head &head, bool) override {
    Sent.push_back(target.Id);
    Heads.push_back(head);
    Open = true;
  }
  void sendBodyToTarget(std::string_view bytes) override { Body += bytes; }
  void endBodyToTarget() override {}
  std::optional<bool> requestRate(const std::string &) override { return RateAnswer; }
  void cancelTargetRequest() override {
    Open = false;
    ++Dropped;
  }
  void detachTargetRequest() override {
    Open = false;
    ++Abandoned;
  }
  void sendResponseHead(const http::Head &head) override { Answers.push_back(head); }
  void sendResponseBody(std::string_view bytes) override { AnswerBody += bytes; }
  void endResponse() override { ++Ended; }
  void abortResponse() override { ++Cut; }

  std::optional<bool> RateAnswer = true; ///< Nothing: the decision comes later.
  std::vector<TargetId> Sent;
  std::vector<http::Head> Heads;
  std::vector<http::Head> Answers;
  std::string Body;
  std::string AnswerBody;
  bool Open = false;
  int Dropped = 0;
  int Abandoned = 0;
  int Ended = 0;
  int Cut = 0;
};

/// A VM with one route that may repeat requests and one that may not, and three targets.
struct World {
  World() {
    catalog::Catalog catalog;
    catalog::Change change;
    catalog::Service service;
    service.Name = "s";
    change.Services.push_back({catalog::ItemVersion(1), service, "s"});
    for (bool idempotent : {true, false}) {
      catalog::Route route;
      route.Name = idempotent ? "read" : "write";
      route.Host = "h";
      route.Prefix = idempotent ? "/read/" : "/write/";
      route.Idempotent = idempotent;
      route.Timeout = Duration{1000};
      route.LatencyGoal = Duration{400};
      route.MaxTargets = 2;
      route.Services = {{"s", 1}};
      change.Routes.push_back({catalog::ItemVersion(1), route, route.Name});
    }
    catalog::Customer customer;
    customer.Name = "c";
    customer.Keys = {"secret-key"};
    change.Customers.push_back({catalog::ItemVersion(1), customer, "c"});
    cr_assert(catalog.apply(change, LogIndex(1)).ok());
    Context.Routes = std::make_shared<const RouteTable>(catalog);
    Context.Targets.setCatalog(catalog, Time{0});
    discovery::TargetList list;
    list.startEpoch(1);
    std::vector<discovery::Target> targets(3);
    for (size_t i = 0; i < targets.size(); ++i) {
      targets[i].Id = TargetId("t" + std::to_string(i));
      targets[i].Service = "s";
      targets[i].Host = "10.0.0." + std::to_string(i);
      targets[i].Port = 80;
      targets[i].Domain = DomainId("z");
      targets[i].Version = VersionId("v1");
      targets[i].Slots = 4;
    }
    list.update(targets, Time{0});
    Context.Targets.setTargets(list, Time{0});
    Context.Retries.setEntries(1);
  }

  std::unique_ptr<Exchange> open(const std::string &path, bool withKey = true,
                                 const std::string &method = "GET") {
    http::Head head;
    head.Method = method;
    head.Target = path;
    head.add("Host", "h");
    head.add(Context.Names.RequestId, "id-1");
    head.add(Context.Names.Deadline, "5000");
    head.add("X-Keep", "kept");
    head.add("Connection", "X-Drop");
    head.add("X-Drop", "dropped");
    head.add(Context.Names.Customer, "forged");
    if (withKey)
      head.add("Authorization", "Bearer secret-key");
    auto exchange = std::make_unique<Exchange>(Context, Out, head, Time{0});
    exchange->start(Time{0});
    return exchange;
  }

  static http::Head answer(int status) {
    http::Head head;
    head.Status = status;
    head.Body = http::Framing::Length;
    return head;
  }

  EntryContext Context{
      {},
      {},
      nullptr,
      {},
      RateLimiter(VmId("vm"), [](const VmId &, const link::RateRequest &) {}),
      RetryAfterPolicy(Time{0}),
      RetryBudget(),
      TargetTable({VmId("vm"), RegionId("r"), DomainId("z"), {{DomainId("z"), RegionId("r")}}}),
      balance::CrashGuard(1),
      nullptr,
      0,
      0};
  Recorder Out;
};

} // namespace

/// Guards against a request that takes from its customer's rate while the VM knows no target, and
/// against a refusal that blames the targets.
Test(Exchange, withoutAListNothingIsTakenFromTheRate) {
  World world;
  world.Context.Targets.setTargets(discovery::TargetList(), Time{0});
  world.Out.RateAnswer = std::nullopt;
  auto exchange = world.open("/read/a");
  cr_assert_eq(world.Out.Answers.size(), 1);
  cr_assert_eq(world.Out.Answers[0].Status, 503);
  cr_assert(world.Out.Answers[0].find("Retry-After").has_value());
}

/// Guards against a request that is sent before its customer's rate is decided, twice after it, or
/// after its caller has gone.
Test(Exchange, waitsForTheDecisionAboutTheRate) {
  for (bool granted : {true, false}) {
    World world;
    world.Out.RateAnswer = std::nullopt;
    auto exchange = world.open("/read/a");
    cr_assert(world.Out.Sent.empty());
    cr_assert(world.Out.Answers.empty());
    exchange->onRateDecided(granted, Time{20});
    cr_assert_eq(world.Out.Sent.size(), granted ? 1 : 0);
    cr_assert_eq(world.Out.Answers.size(), granted ? 0 : 1);
    if (!granted)
      cr_assert_eq(world.Out.Answers[0].Status, 429);
  }
  World world;
  world.Out.RateAnswer = std::nullopt;
  auto withBody = world.open("/write/a", true, "POST");
  withBody->onCallerBody("x", Time{1});
  withBody->onCallerEnd(Time{2});
  cr_assert(world.Out.Sent.empty());
  withBody->onRateDecided(true, Time{3});
  cr_assert_eq(world.Out.Sent.size(), 1);
  auto gone = world.open("/read/a");
  gone->onCallerGone(Time{5});
  gone->onRateDecided(true, Time{6});
  cr_assert_eq(world.Out.Sent.size(), 1);
  auto late = world.open("/read/a");
  late->onTimer(late->wakeAt());
  cr_assert(late->isDone());
  cr_assert_eq(world.Out.Answers.back().Status, 503);
}

/// Guards against a key that reaches a target, a forged customer, and headers of one connection
/// that are passed on.
Test(Exchange, targetsSeeTheCustomerAndNoKey) {
  World world;
  auto exchange = world.open("/read/a");
  cr_assert_eq(world.Out.Heads.size(), 1);
  const http::Head &head = world.Out.Heads[0];
  cr_assert_not(head.find("authorization").has_value());
  cr_assert_not(head.find("X-Drop").has_value());
  cr_assert(head.find("X-Keep") == std::optional<std::string_view>("kept"));
  cr_assert_eq(head.count(world.Context.Names.Customer), 1);
  cr_assert(head.find(world.Context.Names.Customer) == std::optional<std::string_view>("c"));
  cr_assert(head.find(world.Context.Names.ExpectedTarget) ==
            std::optional<std::string_view>(world.Out.Sent[0].Value));
  // The route's time is shorter than the caller's.
  cr_assert(head.find(world.Context.Names.Deadline) == std::optional<std::string_view>("1000"));
}

/// Guards against requests that run without a valid key, a route or a configuration.
Test(Exchange, whatIsNotAllowedIsRefusedAtOnce) {
  World world;
  (void)world.open("/read/a", /*withKey=*/false);
  (void)world.open("/other/a");
  world.Context.Routes = nullptr;
  (void)world.open("/read/a");
  cr_assert(world.Out.Sent.empty());
  cr_assert_eq(world.Out.Answers.size(), 3);
  cr_assert_eq(world.Out.Answers[0].Status, 401);
  cr_assert_eq(world.Out.Answers[1].Status, 404);
  cr_assert_eq(world.Out.Answers[2].Status, 503);
  cr_assert(world.Out.Answers[2].find("Retry-After").has_value());
}

/// Guards against a request that may run once being sent again after its target was lost, and
/// against the untrue answer that it has not run.
Test(Exchange, aLostTargetIsNotReplacedForWritesThatMayHaveRun) {
  World world;
  auto exchange = world.open("/write/a", true, "POST");
  exchange->onTargetLost(http::ConnectionLoss::Closed, Time{50});
  cr_assert_eq(world.Out.Sent.size(), 1);
  cr_assert_eq(world.Out.Answers[0].Status, 502);
}

/// Guards against requests that fail although they were never sent or not run.
Test(Exchange, whatHasNotRunGoesToAnotherTarget) {
  for (bool connected : {false, true}) {
    World world;
    for (int i = 0; i < 20; ++i)
      world.Context.Retries.countRequest("s", Time{0});
    auto exchange = world.open("/write/a", true, "POST");
    if (connected) {
      http::Head refusal = World::answer(503);
      refusal.add(world.Context.Names.NotRun, "1");
      exchange->onAnswerHead(refusal, Time{10});
      exchange->onAnswerEnd(Time{10});
    } else {
      exchange->onTargetLost(http::ConnectionLoss::NotConnected, Time{10});
    }
    cr_assert_eq(world.Out.Sent.size(), 2);
    cr_assert_neq(world.Out.Sent[0], world.Out.Sent[1]);
    exchange->onAnswerHead(World::answer(200), Time{60});
    exchange->onAnswerEnd(Time{60});
    cr_assert_eq(world.Out.Answers[0].Status, 200);
  }
}

/// Guards against an answer that looks complete although its target broke off.
Test(Exchange, aCutAnswerIsNotPassedOn) {
  World world;
  auto exchange = world.open("/write/a", true, "POST");
  exchange->onAnswerHead(World::answer(200), Time{10});
  exchange->onAnswerBody("half of", Time{10});
  exchange->onTargetLost(http::ConnectionLoss::Closed, Time{20});
  cr_assert_eq(world.Out.Answers[0].Status, 502);
  cr_assert_eq(world.Out.AnswerBody.find("half of"), std::string::npos);
}

/// Guards against a long answer that is held in memory, and against its loss going unnoticed.
Test(Exchange, aLongAnswerIsStreamedAndCutWhenItsTargetIsLost) {
  World world;
  auto exchange = world.open("/read/a");
  exchange->onAnswerHead(World::answer(200), Time{10});
  for (int i = 0; i < 20; ++i)
    exchange->onAnswerBody(std::string(8000, 'x'), Time{10});
  cr_assert_eq(world.Out.Answers.size(), 1);
  cr_assert_geq(world.Out.AnswerBody.size(), 100'000);
  exchange->onTargetLost(http::ConnectionLoss::Closed, Time{20});
  cr_assert_eq(world.Out.Cut, 1);
  cr_assert_eq(world.Out.Ended, 0);
}

/// Guards against work that goes on for a caller who has left, and against cutting work that may
/// run only once.
Test(Exchange, aCallerWhoLeavesStopsReadsOnly) {
  World world;
  auto read = world.open("/read/a");
  read->onCallerGone(Time{10});
  cr_assert_eq(world.Out.Dropped, 1);
  auto write = world.open("/write/a", true, "POST");
  write->onCallerGone(Time{10});
  cr_assert_eq(world.Out.Abandoned, 1);
}

/// Guards against a request that is held beyond its route's time.
Test(Exchange, theRoutesTimeEndsARequest) {
  World world;
  auto exchange = world.open("/read/a");
  cr_assert_leq(exchange->wakeAt().Ms, 1100);
  exchange->onTimer(exchange->wakeAt());
  cr_assert_eq(world.Out.Answers[0].Status, 504);
  cr_assert_not(world.Out.Open);
}

/// Guards against an order of events that answers twice, never, or runs a write on two targets.
Test(Exchange, anyOrderOfEventsGivesOneAnswer) {
  testing::checkProperty("one answer, one run of a write", [] {
    World world;
    bool write = *rc::gen::arbitrary<bool>();
    auto exchange = world.open(write ? "/write/a" : "/read/a", true, write ? "POST" : "GET");
    Time now{0};
    int mayHaveRun = 0;
    bool ranHere = false;
    size_t sends = world.Out.Sent.size();
    for (int i = 0; i < 12 && !exchange->isDone(); ++i) {
      now = now + Duration{*rc::gen::inRange(0, 200)};
      bool notRun = *rc::gen::inRange(0, 3) == 0;
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
        exchange->onTargetLost(http::ConnectionLoss::NotConnected, now);
        break;
      case 1:
        ranHere = true;
        exchange->onTargetLost(http::ConnectionLoss::Closed, now);
        break;
      case 2: {
        http::Head head = World::answer(*rc::gen::element(200, 404, 500, 503));
        if (notRun)
          head.add(world.Context.Names.NotRun, "1");
        ranHere = !notRun;
        exchange->onAnswerHead(head, now);
        exchange->onAnswerEnd(now);
        break;
      }
      case 3:
        ranHere = ranHere || now >= exchange->wakeAt();
        exchange->onTimer(now);
        break;
      default:
        break;
      }
      if (ranHere) {
        ++mayHaveRun;
        ranHere = false;
      }
      if (write && world.Out.Sent.size() > sends)
        RC_ASSERT(mayHaveRun == 0);
      sends = world.Out.Sent.size();
    }
    if (!exchange->isDone())
      exchange->onTimer(exchange->wakeAt());
    RC_ASSERT(world.Out.Answers.size() == 1);
    RC_ASSERT(world.Out.Ended == 1);
    int status = world.Out.Answers[0].Status;
    bool own = world.Out.Answers[0].find("Content-Type").has_value();
    if (own && (status == 503 || status == 429 || status == 408))
      RC_ASSERT(mayHaveRun == 0);
    std::set<TargetId> different(world.Out.Sent.begin(), world.Out.Sent.end());
    RC_ASSERT(different.size() == world.Out.Sent.size());
    RC_ASSERT(world.Out.Sent.size() <= 3);
  });
}
