#include "entry/Exchange.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "core/Hash.h"
#include "core/Text.h"

#include <algorithm>
#include <cmath>

namespace briarspar::entry {

namespace {

/// Seeds of hashes, so that equal texts of different kinds differ.
constexpr uint64_t ObjectSeed = 0x6f626a;
constexpr uint64_t FingerprintSeed = 0x66696e;

/// Bytes of the heads of a request and its answer.
constexpr double HeadBytesGuess = 600;

/// Longest deadline that a caller may name.
constexpr int64_t MaxDeadlineMs = 600'000;

std::optional<std::string_view> bearerKey(const http::Head &head) {
  std::optional<std::string_view> value = head.find("authorization");
  if (!value)
    return std::nullopt;
  constexpr std::string_view scheme = "bearer ";
  if (value->size() <= scheme.size() ||
      !core::equalsIgnoreCase(value->substr(0, scheme.size()), scheme))
    return std::nullopt;
  return value->substr(scheme.size());
}

std::string_view hostOf(const http::Head &head) {
  std::string_view host = head.find("host").value_or("");
  return host.substr(0, host.find(':'));
}

} // namespace

Exchange::Exchange(Steering &steering, ExchangeActions &actions, http::Head head, core::Time now)
    : All(steering), Actions(actions), Request(std::move(head)), ArrivedAt(now) {
  Id = std::string(Request.find(All.Names.RequestId).value_or(""));
  std::optional<std::string_view> deadline = Request.find(All.Names.Deadline);
  core::Duration left = All.Settings.DefaultDeadline;
  std::optional<int64_t> ms = core::parseNumber<int64_t>(deadline.value_or(""));
  if (ms && *ms >= 0 && *ms <= MaxDeadlineMs)
    left = {*ms};
  GiveUpAt = now + left - All.Settings.AnswerMargin;
  WakeAt = GiveUpAt;
}

void Exchange::start(core::Time now) {
  BodyEnded = Request.Body == http::Framing::NoBody;
  if (admit(now) && BodyEnded && !RateOpen)
    dispatch(now);
}

bool Exchange::admit(core::Time now) {
  if (!All.Routes) {
    refuse({503, "no configuration yet", All.Returns.afterStarting(Id, now)}, now);
    return false;
  }
  if (Request.count("host") != 1) {
    answerOwn({400, "the host header is missing or repeated"}, now);
    return false;
  }
  if (Request.Body == http::Framing::Length && Request.Length > All.Limits.BodyBytes) {
    answerOwn({413, "the body is too long"}, now);
    return false;
  }
  Route = All.Routes->find(hostOf(Request), Request.Target);
  if (!Route) {
    answerOwn({404, "no route"}, now);
    return false;
  }
  if (!authenticate(now))
    return false;
  if (!All.Targets.hasTargets()) {
    refuse({503, "no list of targets yet", All.Returns.afterStarting(Id, now)}, now);
    return false;
  }
  GiveUpAt = std::min(GiveUpAt, ArrivedAt + Route->Timeout);
  WakeAt = GiveUpAt;
  if (Route->Sticky)
    if (std::optional<std::string_view> object = http::cookie(Request, All.Names.ObjectCookie))
      Object = core::hash64(*object, ObjectSeed);
  if (!Customer)
    return true;
  std::optional<bool> granted = Actions.requestRate(Customer->Name);
  RateOpen = !granted;
  return RateOpen || takeRate(*granted, now);
}

bool Exchange::takeRate(bool granted, core::Time now) {
  Spent = granted;
  if (!granted)
    refuse({429, "over the customer's rate", All.Returns.afterRate(Id, now)}, now);
  return granted;
}

void Exchange::onRateDecided(bool granted, core::Time now) {
  RateOpen = false;
  if (State == Done) {
    if (granted)
      All.Rates.giveBack(Customer->Name, now);
    return;
  }
  if (takeRate(granted, now) && (BodyEnded || Body.size() > All.Settings.HeldBody))
    dispatch(now);
}

bool Exchange::authenticate(core::Time now) {
  std::optional<std::string_view> key = bearerKey(Request);
  if (key)
    Customer = All.Routes->customerOf(*key);
  if (Customer || Route->Open)
    return true;
  answerOwn({401, key ? "the key is unknown" : "the key is missing"}, now);
  return false;
}

void Exchange::onCallerBody(std::string_view bytes, core::Time now) {
  BodyBytes += bytes.size();
  if (State == Done)
    return;
  if (BodyBytes > All.Limits.BodyBytes) {
    if (isAtTarget()) {
      recordOutcome(TargetOutcome::Cancelled, now);
      Actions.dropTarget();
    }
    answerOwn({413, "the body is too long"}, now);
    return;
  }
  if (State == Receiving) {
    Body.append(bytes);
    if (Body.size() > All.Settings.HeldBody && !RateOpen)
      dispatch(now);
    return;
  }
  if (BodyHeld && Body.size() + bytes.size() <= All.Settings.HeldBody)
    Body.append(bytes);
  else
    BodyHeld = false;
  if (State == AtTarget) {
    if (Request.Body == http::Framing::Chunked) {
      Actions.sendBodyToTarget(http::chunkStart(bytes.size()));
      Actions.sendBodyToTarget(bytes);
      Actions.sendBodyToTarget(http::ChunkEnd);
    } else {
      Actions.sendBodyToTarget(bytes);
    }
  }
}

void Exchange::onCallerEnd(core::Time now) {
  BodyEnded = true;
  if (State == Receiving) {
    if (!RateOpen)
      dispatch(now);
  } else if (State == AtTarget) {
    if (Request.Body == http::Framing::Chunked)
      Actions.sendBodyToTarget(http::LastChunk);
    Actions.endBodyToTarget();
  }
}

void Exchange::onCallerGone(core::Time now) {
  if (State == Done)
    return;
  if (isAtTarget()) {
    // Work that may run only once is left to finish: its effect counts even if nobody waits.
    if (Route->Idempotent || !BodyEnded)
      Actions.dropTarget();
    else
      Actions.abandonTarget();
    recordOutcome(TargetOutcome::Cancelled, now);
  } else if (Spent) {
    All.Rates.giveBack(Customer->Name, now);
  }
  finish("caller gone", 0, now);
}

void Exchange::dispatch(core::Time now) {
  if (Service.empty()) {
    Service = All.Targets.chooseService(*Route);
    All.Retries.countRequest(Service, now);
  }
  if (!All.Crashes.admits(fingerprint(), now)) {
    log(core::EventId::RequestQuarantined, {{"fingerprint", fingerprint()}});
    refuse({503, "the request has ended several targets", {10'000}}, now);
    return;
  }
  PickRequest request;
  request.Route = Route.get();
  request.Service = Service;
  request.Object = Object;
  request.HomeRegions = Route->HomeRegions;
  if (Customer)
    request.CustomerRegions = Customer->HomeRegions;
  request.Tried = Tried;
  request.Priority = Customer && Customer->Priority ? *Customer->Priority : Route->Priority;
  request.Waited = now - ArrivedAt;
  request.Left = GiveUpAt - now;
  std::optional<Pick> pick;
  if (request.Left > All.Settings.LeastSend)
    pick = All.Targets.pick(request, now);
  if (!pick) {
    logNoTarget(request);
    if (MayHaveRun)
      answerOwn({502, "no other target can answer in time"}, now);
    else
      refuse({503, "no target can answer in time", All.Returns.afterBusy(Id)}, now);
    return;
  }
  send(*pick, now);
}

void Exchange::logNoTarget(const PickRequest &request) const {
  const PickFailure &why = All.Targets.lastFailure();
  log(core::EventId::NoTargetChosen, {{"service", request.Service},
                                      {"left_ms", request.Left},
                                      {"object", Object.value_or(0)},
                                      {"usable", why.Usable},
                                      {"cold", why.Cold},
                                      {"full", why.Full},
                                      {"late", why.Late},
                                      {"region_bound", why.RegionBound},
                                      {"value", std::round(why.Value * 100) / 100},
                                      {"expected_ms", std::round(why.Expected)},
                                      {"load", std::round(why.Load * 10) / 10},
                                      {"list", All.ListVersion}});
}

void Exchange::send(const Pick &pick, core::Time now) {
  Target = pick;
  Tried.push_back(pick.Id);
  ++Sends;
  SentAt = now;
  TrafficBytes = static_cast<double>(Body.size()) + HeadBytesGuess;
  State = AtTarget;
  HasAnswer = false;
  AnswerBytes.clear();
  WakeAt = GiveUpAt + All.Settings.TargetGrace;
  log(core::EventId::TargetChosen, {{"target", pick.Id},
                                    {"service", Service},
                                    {"version", pick.Version},
                                    {"region", pick.Region},
                                    {"object", Object.value_or(0)},
                                    {"route", Route->Name},
                                    {"customer", Customer ? Customer->Name : ""},
                                    {"familiar", pick.Familiar},
                                    {"expected_ms", std::round(pick.Expected)},
                                    {"load", std::round(pick.Load * 10) / 10},
                                    {"value", std::round(pick.Value * 100) / 100},
                                    {"slowness", std::round(pick.Slowness * 10) / 10},
                                    {"send", Sends},
                                    {"left_ms", GiveUpAt - now},
                                    {"catalog", All.CatalogVersion},
                                    {"list", All.ListVersion}});
  Actions.sendToTarget(pick, targetHead(pick, now), !Route->Idempotent);
  if (State != AtTarget)
    return;
  if (!Body.empty()) {
    if (Request.Body == http::Framing::Chunked) {
      Actions.sendBodyToTarget(http::chunkStart(Body.size()));
      Actions.sendBodyToTarget(Body);
      Actions.sendBodyToTarget(http::ChunkEnd);
    } else {
      Actions.sendBodyToTarget(Body);
    }
  }
  if (BodyEnded) {
    if (Request.Body == http::Framing::Chunked)
      Actions.sendBodyToTarget(http::LastChunk);
    Actions.endBodyToTarget();
  }
}

http::Head Exchange::targetHead(const Pick &pick, core::Time now) const {
  http::Head head;
  head.Method = Request.Method;
  head.Target = Request.Target;
  head.Body = Request.Body;
  head.Length = Request.Length;
  for (const http::Header &it : Request.Headers) {
    if (http::isHopByHop(Request, it.Name) || http::sameName(it.Name, "authorization") ||
        http::sameName(it.Name, "expect") || http::sameName(it.Name, All.Names.Deadline) ||
        http::sameName(it.Name, All.Names.Customer) ||
        http::sameName(it.Name, All.Names.ExpectedTarget))
      continue;
    head.Headers.push_back(it);
  }
  head.add(All.Names.Deadline, absl::StrCat(std::max<int64_t>(1, (GiveUpAt - now).Ms)));
  head.add(All.Names.ExpectedTarget, pick.Id.Value);
  if (Customer)
    head.add(All.Names.Customer, Customer->Name);
  return head;
}

void Exchange::onTargetConnected(core::Duration time) {
  if (Target)
    All.Targets.recordRoundTrip(Target->Id, time);
}

void Exchange::onAnswerHead(http::Head head, core::Time now) {
  if (State != AtTarget)
    return;
  takeLoad(head, now);
  if (!head.KeepAlive)
    log(core::EventId::TargetClosing, {{"target", Target->Id}});
  Answer = std::move(head);
  HasAnswer = true;
}

void Exchange::takeLoad(const http::Head &head, core::Time now) {
  std::optional<std::string_view> value = head.find(All.Names.Load);
  if (!value)
    return;
  std::vector<std::string_view> parts = core::split(*value, ',');
  if (parts.size() != 3)
    return;
  auto running = core::parseNumber<uint32_t>(core::trim(parts[0]));
  auto waiting = core::parseNumber<uint32_t>(core::trim(parts[1]));
  auto slots = core::parseNumber<uint32_t>(core::trim(parts[2]));
  if (running && waiting && slots)
    All.Targets.recordLoad(Target->Id, {*running, *waiting, *slots}, now);
}

void Exchange::onAnswerBody(std::string_view bytes, core::Time now) {
  if (State == Streaming) {
    Actions.answerBody(bytes);
    return;
  }
  if (State != AtTarget)
    return;
  TrafficBytes += static_cast<double>(bytes.size());
  AnswerBytes.append(bytes);
  if (AnswerBytes.size() <= All.Settings.HeldAnswer)
    return;
  // Too long to hold: from here on a loss of the target cuts the caller's answer.
  State = Streaming;
  WakeAt = now + All.Settings.DefaultDeadline;
  Actions.answerHead(Answer);
  Actions.answerBody(AnswerBytes);
  AnswerBytes.clear();
}

void Exchange::onAnswerEnd(core::Time now) {
  if (State == Streaming) {
    recordOutcome(TargetOutcome::Good, now);
    Actions.endAnswer();
    finish("answered", Answer.Status, now);
    return;
  }
  if (State == AtTarget)
    settleAnswer(now);
}

void Exchange::settleAnswer(core::Time now) {
  bool notRun = Answer.find(All.Names.NotRun).has_value() || Answer.Status == 421;
  if (notRun) {
    recordOutcome(Answer.Status == 421 ? TargetOutcome::WrongTarget : TargetOutcome::NotRun, now);
    if (mayTryAgain(/*arrived=*/true, now))
      tryAgain("the target did not run it", now);
    else if (MayHaveRun)
      answerOwn({502, "the last target did not run it"}, now);
    else
      refuse({503, "the target did not run it", All.Returns.afterBusy(Id)}, now);
    return;
  }
  bool failed = Answer.Status >= 500;
  recordOutcome(Answer.Status == 504 ? TargetOutcome::TooLate
                : failed             ? TargetOutcome::Failed
                                     : TargetOutcome::Good,
                now);
  All.Crashes.recordSuccess(fingerprint());
  if (failed && Route->Idempotent) {
    MayHaveRun = true;
    if (mayTryAgain(/*arrived=*/true, now)) {
      tryAgain("the target failed", now);
      return;
    }
  }
  http::Head head = Answer;
  if (head.Body == http::Framing::UntilClose || head.Body == http::Framing::Chunked) {
    head.Body = http::Framing::Length;
    head.Length = AnswerBytes.size();
  }
  Actions.answerHead(head);
  Actions.answerBody(AnswerBytes);
  Actions.endAnswer();
  finish("answered", Answer.Status, now);
}

void Exchange::onTargetLost(http::ConnectionLoss loss, core::Time now) {
  if (State == Streaming) {
    recordOutcome(TargetOutcome::Broken, now);
    Actions.cutAnswer();
    finish("cut", 0, now);
    return;
  }
  if (State != AtTarget)
    return;
  if (loss == http::ConnectionLoss::NotConnected) {
    recordOutcome(TargetOutcome::NotReached, now);
    if (mayTryAgain(/*arrived=*/false, now))
      tryAgain("the target could not be reached", now);
    else if (MayHaveRun)
      answerOwn({502, "the last target could not be reached"}, now);
    else
      refuse({503, "the target could not be reached", All.Returns.afterBusy(Id)}, now);
    return;
  }
  MayHaveRun = true;
  if (loss == http::ConnectionLoss::Closed && !HasAnswer && Target)
    All.Crashes.recordCrash(fingerprint(), Target->Id, Target->Version, now);
  recordOutcome(TargetOutcome::Broken, now);
  if (Route->Idempotent && mayTryAgain(/*arrived=*/true, now))
    tryAgain("the target was lost", now);
  else
    answerOwn({502, "the target was lost"}, now);
}

void Exchange::onTimer(core::Time now) {
  if (State == Done || now < WakeAt)
    return;
  if (State == Receiving) {
    if (BodyEnded)
      refuse({503, "no decision about the customer's rate in time", All.Returns.afterBusy(Id)},
             now);
    else
      refuse({408, "the body did not arrive in time", {0}}, now);
    return;
  }
  if (State == Streaming) {
    WakeAt = now + All.Settings.DefaultDeadline;
    return;
  }
  MayHaveRun = true;
  recordOutcome(TargetOutcome::TimedOut, now);
  Actions.dropTarget();
  answerOwn({504, "no answer in time"}, now);
}

bool Exchange::mayTryAgain(bool arrived, core::Time now) {
  // A request that only found closed doors costs its targets nothing, but the tries stay bounded.
  uint32_t most = std::max<uint32_t>(1, Route->MaxTargets) + (arrived ? 0 : 1);
  if (Sends >= most || !BodyHeld || !BodyEnded)
    return false;
  if (GiveUpAt - now <= All.Settings.LeastSend)
    return false;
  return !arrived || All.Retries.take(Service, now);
}

void Exchange::tryAgain(const char *reason, core::Time now) {
  log(core::EventId::RequestRetried,
      {{"reason", reason}, {"target", Tried.back()}, {"sends", Sends}});
  State = Receiving;
  Target.reset();
  dispatch(now);
}

void Exchange::refuse(const OwnAnswer &answer, core::Time now) {
  if (Spent)
    All.Rates.giveBack(Customer->Name, now);
  Spent = false;
  answerOwn(answer, now);
}

void Exchange::answerOwn(const OwnAnswer &answer, core::Time now) {
  http::Head head;
  head.Status = answer.Status;
  head.Body = http::Framing::Length;
  if (!Id.empty())
    head.add(All.Names.RequestId, Id);
  if (answer.RetryAfter.Ms > 0)
    head.add("Retry-After",
             absl::StrFormat("%.2f", static_cast<double>(answer.RetryAfter.Ms) / 1000));
  std::string body = absl::StrCat(answer.Reason, "\n");
  head.Length = Request.Method == "HEAD" ? 0 : body.size();
  head.add("Content-Type", "text/plain");
  State = Done;
  Actions.answerHead(head);
  if (Request.Method != "HEAD")
    Actions.answerBody(body);
  Actions.endAnswer();
  log(core::EventId::RequestRefused, {{"status", answer.Status},
                                      {"reason", answer.Reason},
                                      {"retry_after_ms", answer.RetryAfter},
                                      {"may_have_run", MayHaveRun},
                                      {"sends", Sends},
                                      {"after_ms", now - ArrivedAt},
                                      {"route", Route ? Route->Name : ""},
                                      {"customer", Customer ? Customer->Name : ""},
                                      {"rate_holder", rateHolder(now)},
                                      {"catalog", All.CatalogVersion},
                                      {"list", All.ListVersion}});
}

std::string Exchange::rateHolder(core::Time now) const {
  return Customer ? All.Rates.holderOf(Customer->Name, now).Value : "";
}

void Exchange::finish(const char *result, int status, core::Time now) {
  State = Done;
  log(core::EventId::RequestFinished, {{"result", result},
                                       {"status", status},
                                       {"sends", Sends},
                                       {"after_ms", now - ArrivedAt},
                                       {"target_ms", now - SentAt},
                                       {"target", Target ? Target->Id.Value : ""}});
}

void Exchange::recordOutcome(TargetOutcome outcome, core::Time now) {
  if (!Target)
    return;
  All.Targets.record(*Target, *Route, outcome, now - SentAt, TrafficBytes, now);
}

uint64_t Exchange::fingerprint() const {
  uint64_t hash = core::hash64(Request.Method, FingerprintSeed);
  hash = core::hash64(hostOf(Request), hash);
  hash = core::hash64(Request.Target, hash);
  hash = core::hash64(Customer ? Customer->Name : "", hash);
  return core::hash64(Body, hash);
}

void Exchange::log(core::EventId id, core::Json details) const {
  if (All.Events == nullptr)
    return;
  details["request"] = Id;
  All.Events->emit({id, std::move(details)});
}

} // namespace briarspar::entry
