#include "entry/Exchange.h"
#include "core/testing/Property.h"

#include <memory>
#include <set>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;

namespace {

/// Records the actions of an exchange.
struct Recorder final : ExchangeActions {
  TargetSend sendToTarget(const Pick &target, const http::Head &head, bool) override {
    Sent.push_back(target.Id);
    Heads.push_back(head);
    Open = true;
    return {Sent.size(), 1};
  }
  void sendBodyToTarget(std::string_view bytes) override { Body += bytes; }
  void endBodyToTarget() override {}
  std::optional<bool> requestRate(const std::string &) override { return RateDecision; }
  bool mayReuseConnection(const std::string &, uint16_t, const http::Head &, bool, Time) override {
    return false;
  }
  void cancelTargetRequest() override {
    Open = false;
    ++Cancelled;
  }
  void detachTargetRequest() override {
    Open = false;
    ++Detached;
  }
  void sendResponseHead(const http::Head &head) override { Responses.push_back(head); }
  void sendResponseBody(std::string_view bytes) override { ResponseBody += bytes; }
  void endResponse() override { ++Ended; }
  void abortResponse() override { ++Aborted; }

  std::optional<bool> RateDecision = true; ///< nullopt: the decision comes later.
  std::vector<TargetId> Sent;
  std::vector<http::Head> Heads;
  std::vector<http::Head> Responses;
  std::string Body;
  std::string ResponseBody;
  bool Open = false;
  int Cancelled = 0;
  int Detached = 0;
  int Ended = 0;
  int Aborted = 0;
};

/// A VM with an idempotent and a non-idempotent route, and three targets.
struct Fixture {
  Fixture() {
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
                                 const std::string &method = "GET",
                                 http::Framing framing = http::Framing::NoBody) {
    http::Head head;
    head.BodyFraming = framing;
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
    head.BodyFraming = http::Framing::Length;
    return head;
  }

  EntryContext Context{
      {},
      {},
      nullptr,
      {},
      RateLimiter({VmId("vm"), RegionId("r"), DomainId("z")},
                  [](const VmId &, const link::RateRequest &) {}),
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

/// Guards against charging a customer's rate while no target is known. Such a refusal must come
/// from the missing list, with a Retry-After header.
Test(Exchange, noTargetListDoesNotChargeRate) {
  Fixture fixture;
  fixture.Context.Targets.setTargets(discovery::TargetList(), Time{0});
  fixture.Out.RateDecision = std::nullopt;
  auto exchange = fixture.open("/read/a");
  cr_assert_eq(fixture.Out.Responses.size(), 1);
  cr_assert_eq(fixture.Out.Responses[0].Status, 503);
  cr_assert(fixture.Out.Responses[0].find("Retry-After").has_value());
}

/// Guards against a request that is sent before its customer's rate has been decided, twice after
/// the decision, or after its caller has disconnected.
Test(Exchange, waitsForRateDecision) {
  for (bool granted : {true, false}) {
    Fixture fixture;
    fixture.Out.RateDecision = std::nullopt;
    auto exchange = fixture.open("/read/a");
    cr_assert(fixture.Out.Sent.empty());
    cr_assert(fixture.Out.Responses.empty());
    exchange->onRateDecided(granted, Time{20});
    cr_assert_eq(fixture.Out.Sent.size(), granted ? 1 : 0);
    cr_assert_eq(fixture.Out.Responses.size(), granted ? 0 : 1);
    if (!granted)
      cr_assert_eq(fixture.Out.Responses[0].Status, 429);
  }
  Fixture fixture;
  fixture.Out.RateDecision = std::nullopt;
  auto withBody = fixture.open("/write/a", true, "POST");
  withBody->onCallerBody("x", Time{1});
  withBody->onCallerEnd(Time{2});
  cr_assert(fixture.Out.Sent.empty());
  withBody->onRateDecided(true, Time{3});
  cr_assert_eq(fixture.Out.Sent.size(), 1);
  auto gone = fixture.open("/read/a");
  gone->onCallerGone(Time{5});
  gone->onRateDecided(true, Time{6});
  cr_assert_eq(fixture.Out.Sent.size(), 1);
  auto late = fixture.open("/read/a");
  late->onTimer(late->wakeAt());
  cr_assert(late->isDone());
  cr_assert_eq(fixture.Out.Responses.back().Status, 503);
}

/// Guards against forwarding an API key, a customer header set by the caller, or hop-by-hop headers
/// to a target.
Test(Exchange, forwardsCustomerButNotKey) {
  Fixture fixture;
  auto exchange = fixture.open("/read/a");
  cr_assert_eq(fixture.Out.Heads.size(), 1);
  const http::Head &head = fixture.Out.Heads[0];
  cr_assert_not(head.find("authorization").has_value());
  cr_assert_not(head.find("X-Drop").has_value());
  cr_assert(head.find("X-Keep") == std::optional<std::string_view>("kept"));
  cr_assert_eq(head.count(fixture.Context.Names.Customer), 1);
  cr_assert(head.find(fixture.Context.Names.Customer) == std::optional<std::string_view>("c"));
  cr_assert(head.find(fixture.Context.Names.ExpectedTarget) ==
            std::optional<std::string_view>(fixture.Out.Sent[0].Value));
  // The route timeout is shorter than the deadline of the caller.
  cr_assert(head.find(fixture.Context.Names.Deadline) == std::optional<std::string_view>("1000"));
}

/// Guards against running requests without a valid key, a route or a configuration.
Test(Exchange, refusesWithoutKeyRouteOrConfiguration) {
  Fixture fixture;
  (void)fixture.open("/read/a", /*withKey=*/false);
  (void)fixture.open("/other/a");
  fixture.Context.Routes = nullptr;
  (void)fixture.open("/read/a");
  cr_assert(fixture.Out.Sent.empty());
  cr_assert_eq(fixture.Out.Responses.size(), 3);
  cr_assert_eq(fixture.Out.Responses[0].Status, 401);
  cr_assert_eq(fixture.Out.Responses[1].Status, 404);
  cr_assert_eq(fixture.Out.Responses[2].Status, 503);
  cr_assert(fixture.Out.Responses[2].find("Retry-After").has_value());
}

/// Guards against retrying a non-idempotent request after its target was lost, and against
/// reporting that it has not run.
Test(Exchange, doesNotRetryNonIdempotentRequestAfterLoss) {
  Fixture fixture;
  auto exchange = fixture.open("/write/a", true, "POST");
  exchange->onTargetLost(http::ConnectionLoss::Closed, Time{50});
  cr_assert_eq(fixture.Out.Sent.size(), 1);
  cr_assert_eq(fixture.Out.Responses[0].Status, 502);
}

/// Guards against a promise that a request has not run, because its retry was refused after an
/// earlier target had been lost while it may have run it.
Test(Exchange, refusedRetryDoesNotPromiseThatNothingRan) {
  Fixture fixture;
  for (int i = 0; i < 200; ++i)
    fixture.Context.Retries.countRequest("s", Time{0});
  auto first = fixture.open("/read/a");
  auto second = fixture.open("/read/a");
  first->onTargetLost(http::ConnectionLoss::Closed, Time{1});
  second->onTargetLost(http::ConnectionLoss::Closed, Time{2});
  cr_assert(second->isDone(), "the request was not quarantined");
  cr_assert_eq(fixture.Out.Responses.back().Status, 502);
}

/// Guards against a crashing request with a long body that is never recognised, because the part of
/// the body that has arrived when it is sent differs from attempt to attempt.
Test(Exchange, crashingRequestIsRecognisedHoweverItsBodyArrives) {
  Fixture fixture;
  const std::string body(200'000, 'x');
  size_t sent = 0;
  for (size_t part : {1000, 16'384, 70'000, 150'000, 200'000}) {
    auto exchange = fixture.open("/write/a", true, "POST", http::Framing::Chunked);
    for (size_t at = 0; at < body.size(); at += part)
      exchange->onCallerBody(std::string_view(body).substr(at, part), Time{1});
    exchange->onCallerEnd(Time{2});
    exchange->onTargetLost(http::ConnectionLoss::Closed, Time{3});
    sent = fixture.Out.Sent.size();
  }
  cr_assert_eq(sent, balance::CrashGuardSettings{}.MaxCrashes);
  cr_assert_eq(fixture.Out.Responses.back().Status, 503);
}

/// Guards against failing a request that was never sent or was not run by its target.
Test(Exchange, retriesRequestsThatDidNotRun) {
  for (bool connected : {false, true}) {
    Fixture fixture;
    for (int i = 0; i < 20; ++i)
      fixture.Context.Retries.countRequest("s", Time{0});
    auto exchange = fixture.open("/write/a", true, "POST");
    if (connected) {
      http::Head refusal = Fixture::answer(503);
      refusal.add(fixture.Context.Names.NotRun, "1");
      exchange->onResponseHead(refusal, Time{10});
      exchange->onResponseEnd(Time{10});
    } else {
      exchange->onTargetLost(http::ConnectionLoss::NotConnected, Time{10});
    }
    cr_assert_eq(fixture.Out.Sent.size(), 2);
    cr_assert_neq(fixture.Out.Sent[0], fixture.Out.Sent[1]);
    exchange->onResponseHead(Fixture::answer(200), Time{60});
    exchange->onResponseEnd(Time{60});
    cr_assert_eq(fixture.Out.Responses[0].Status, 200);
  }
}

/// Guards against a truncated response that looks complete.
Test(Exchange, doesNotForwardTruncatedResponse) {
  Fixture fixture;
  auto exchange = fixture.open("/write/a", true, "POST");
  exchange->onResponseHead(Fixture::answer(200), Time{10});
  exchange->onResponseBody("half of", Time{10});
  exchange->onTargetLost(http::ConnectionLoss::Closed, Time{20});
  cr_assert_eq(fixture.Out.Responses[0].Status, 502);
  cr_assert_eq(fixture.Out.ResponseBody.find("half of"), std::string::npos);
}

/// Guards against a response body without end that is streamed for as long as the target sends it.
Test(Exchange, endlessResponseIsCutAfterDeadlineOfCaller) {
  Fixture f;
  auto exchange = f.open("/read/a");
  exchange->onResponseHead(Fixture::answer(200), Time{10});
  const std::string part(8192, 'x');
  const int64_t deadline = 5000;
  const int64_t last = deadline + f.Context.Settings.MaxStreamOverrun.Ms;
  for (int64_t now = 20; now < last && !exchange->isDone(); now += 10) {
    exchange->onResponseBody(part, Time{now});
    exchange->onTimer(Time{now});
  }
  cr_assert(f.Out.Responses.size() == 1, "the response was not streamed");
  exchange->onTimer(Time{last});
  cr_assert(exchange->isDone());
  cr_assert_eq(f.Out.Aborted, 1);
  cr_assert_eq(f.Out.Cancelled, 1);
}

/// Guards against buffering a large response, and against an unnoticed loss of its target.
Test(Exchange, streamsLargeResponseAndAbortsOnLoss) {
  Fixture fixture;
  auto exchange = fixture.open("/read/a");
  exchange->onResponseHead(Fixture::answer(200), Time{10});
  for (int i = 0; i < 20; ++i)
    exchange->onResponseBody(std::string(8000, 'x'), Time{10});
  cr_assert_eq(fixture.Out.Responses.size(), 1);
  cr_assert_geq(fixture.Out.ResponseBody.size(), 100'000);
  exchange->onTargetLost(http::ConnectionLoss::Closed, Time{20});
  cr_assert_eq(fixture.Out.Aborted, 1);
  cr_assert_eq(fixture.Out.Ended, 0);
}

/// Guards against processing an idempotent request for a caller that has disconnected, and against
/// cancelling a non-idempotent one.
Test(Exchange, disconnectCancelsIdempotentRequestsOnly) {
  Fixture fixture;
  auto read = fixture.open("/read/a");
  read->onCallerGone(Time{10});
  cr_assert_eq(fixture.Out.Cancelled, 1);
  auto write = fixture.open("/write/a", true, "POST");
  write->onCallerGone(Time{10});
  cr_assert_eq(fixture.Out.Detached, 1);
}

/// Guards against a request that is held beyond its route timeout.
Test(Exchange, routeTimeoutEndsRequest) {
  Fixture fixture;
  auto exchange = fixture.open("/read/a");
  cr_assert_leq(exchange->wakeAt().Ms, 1100);
  exchange->onTimer(exchange->wakeAt());
  cr_assert_eq(fixture.Out.Responses[0].Status, 504);
  cr_assert_not(fixture.Out.Open);
}

/// Guards against event sequences that lead to two responses, to none, or to a non-idempotent
/// request at two targets.
Test(Exchange, anyEventSequenceGivesOneResponse) {
  testing::checkProperty("exactly one response, at most one run of a non-idempotent request", [] {
    Fixture fixture;
    bool write = *rc::gen::arbitrary<bool>();
    auto exchange = fixture.open(write ? "/write/a" : "/read/a", true, write ? "POST" : "GET");
    Time now{0};
    int mayHaveRun = 0;
    bool ranHere = false;
    size_t sends = fixture.Out.Sent.size();
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
        http::Head head = Fixture::answer(*rc::gen::element(200, 404, 408, 429, 500, 503));
        if (notRun)
          head.add(fixture.Context.Names.NotRun, "1");
        ranHere = !notRun;
        exchange->onResponseHead(head, now);
        exchange->onResponseEnd(now);
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
      if (write && fixture.Out.Sent.size() > sends)
        RC_ASSERT(mayHaveRun == 0);
      sends = fixture.Out.Sent.size();
    }
    if (!exchange->isDone())
      exchange->onTimer(exchange->wakeAt());
    RC_ASSERT(fixture.Out.Responses.size() == 1);
    RC_ASSERT(fixture.Out.Ended == 1);
    int status = fixture.Out.Responses[0].Status;
    bool own = fixture.Out.Responses[0].find("Content-Type").has_value();
    if ((own || write) && (status == 503 || status == 429 || status == 408))
      RC_ASSERT(mayHaveRun == 0);
    std::set<TargetId> different(fixture.Out.Sent.begin(), fixture.Out.Sent.end());
    RC_ASSERT(different.size() == fixture.Out.Sent.size());
    RC_ASSERT(fixture.Out.Sent.size() <= 3);
  });
}

namespace {

/// Puts a target in doubt, as its connections would.
void endConnections(Fixture &f, const TargetId &id, Time now) {
  f.Context.Targets.recordConnectionEnded(id, now, /*isOrderly=*/true, now);
}

} // namespace

/// Guards against requests that were chosen before a target ended and reach its next process, which
/// is cold, over connections that open after it.
Test(Exchange, requestChosenBeforeADoubtGoesElsewhere) {
  for (const char *path : {"/read/x", "/write/x"}) {
    Fixture f;
    auto exchange = f.open(path);
    const TargetId first = f.Out.Sent.at(0);
    endConnections(f, first, Time{5});
    exchange->onTargetConnected(Duration{10}, Time{10});
    cr_assert_eq(f.Out.Cancelled, 1);
    cr_assert_eq(f.Out.Sent.size(), 2);
    cr_assert_neq(f.Out.Sent[1], first);
    cr_assert(f.Out.Responses.empty());
    exchange->onTargetConnected(Duration{10}, Time{20});
    exchange->onResponseHead(f.answer(200), Time{100});
    exchange->onResponseEnd(Time{100});
    cr_assert_eq(f.Out.Responses.at(0).Status, 200);
    cr_assert_eq(f.Out.Ended, 1);
  }
}

/// Guards against a request that is moved although nothing is known against its target.
Test(Exchange, requestWithoutADoubtIsSentWhereItWasChosen) {
  Fixture f;
  auto exchange = f.open("/read/x");
  endConnections(f, TargetId(f.Out.Sent.at(0).Value == "t0" ? "t1" : "t0"), Time{5});
  exchange->onTargetConnected(Duration{10}, Time{10});
  cr_assert_eq(f.Out.Cancelled, 0);
  cr_assert_eq(f.Out.Sent.size(), 1);
}

/// Guards against a refusal that promises too little, or too much: a 503 tells that the request has
/// not run, which does not hold after an earlier send of it was lost.
Test(Exchange, requestWithoutAnotherTargetIsRefusedTruthfully) {
  for (bool mayHaveRun : {false, true}) {
    Fixture f;
    auto exchange = f.open("/read/x");
    if (mayHaveRun) {
      exchange->onTargetConnected(Duration{5}, Time{5});
      exchange->onTargetLost(http::ConnectionLoss::Closed, Time{6});
      cr_assert_eq(f.Out.Sent.size(), 2);
    }
    for (int i = 0; i < 4 && !exchange->isDone(); ++i) {
      const size_t sends = f.Out.Sent.size();
      endConnections(f, f.Out.Sent.back(), Time{10 + i});
      exchange->onTargetConnected(Duration{2}, Time{12 + i});
      cr_assert(exchange->isDone() || f.Out.Sent.size() == sends + 1);
    }
    cr_assert(exchange->isDone());
    cr_assert_leq(f.Out.Sent.size(), 3);
    cr_assert_eq(f.Out.Responses.size(), 1);
    cr_assert_eq(f.Out.Responses[0].Status, mayHaveRun ? 502 : 503);
    cr_assert_eq(f.Out.Responses[0].find("Retry-After").has_value(), !mayHaveRun);
    cr_assert_eq(f.Out.Cancelled, mayHaveRun ? 2 : 3);
    cr_assert_eq(f.Out.Ended, 1);
    cr_assert_not(f.Out.Open);
  }
}

/// Guards against a request that floods the next process because its body is still arriving, so
/// that it cannot be sent elsewhere. Nothing of it has been sent.
Test(Exchange, requestWithABodyInTransitIsRefused) {
  Fixture f;
  auto exchange = f.open("/write/x", true, "POST", http::Framing::Chunked);
  exchange->onCallerBody(std::string(f.Context.Settings.MaxBufferedRequest + 1, 'x'), Time{0});
  cr_assert_eq(f.Out.Sent.size(), 1);
  endConnections(f, f.Out.Sent[0], Time{5});
  exchange->onTargetConnected(Duration{10}, Time{10});
  cr_assert_eq(f.Out.Cancelled, 1);
  cr_assert_eq(f.Out.Sent.size(), 1);
  cr_assert_eq(f.Out.Responses.at(0).Status, 503);
}
