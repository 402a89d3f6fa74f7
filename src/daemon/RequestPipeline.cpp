#include "daemon/RequestPipeline.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "auth/Credentials.h"
#include "core/Hash.h"
#include "daemon/HttpHeaders.h"

#include <algorithm>
#include <array>

namespace briarspar::daemon {

namespace {

using forwarding::ExchangeStatus;
using forwarding::Refusal;
using forwarding::RefusalCode;
using forwarding::RequestOutcome;
using forwarding::TargetAnswer;

constexpr std::string_view LookupPath = "/.well-known/briarspar/entry";

/// Longest accepted Idempotency-Key, in bytes.
constexpr size_t MaxRequestIdBytes = 256;

/// Attempts of one request on different targets.
constexpr size_t MaxAttempts = 3;

/// Longest wait for the leader's acknowledgement of a crash report. A round trip between regions
/// takes 35 ms; a longer wait holds the caller for little gain.
constexpr core::Duration CrashAckWait{300};

/// Longest wait for a connection that tells whether a target's process ended.
constexpr core::Duration CrashProbeTimeout{100};

/// Suggested wait before a refused caller tries again, when nothing better is known.
constexpr core::Duration DefaultRetryAfter{1000};

/// Other VMs that a refusal names.
constexpr size_t MaxOtherVms = 3;

constexpr int ServiceUnavailable = 503;

Refusal refuse(RefusalCode code, std::string detail = {}) {
  Refusal refusal;
  refusal.Code = code;
  refusal.Detail = std::move(detail);
  return refusal;
}

Refusal refuseForNow(RefusalCode code, core::Duration retryAfter = DefaultRetryAfter) {
  Refusal refusal;
  refusal.Code = code;
  refusal.RetryAfter = retryAfter;
  return refusal;
}

uint64_t fingerprintOf(const httplib::Request &req, const core::CustomerId &customer) {
  uint64_t hash = core::hash64(customer.Value);
  hash = core::hash64(req.method, hash);
  hash = core::hash64(req.target, hash);
  return core::hash64(req.body, hash);
}

balance::PoolId poolOf(const RouteView &route) { return balance::PoolId(route.Record.Id.Value); }

bool isOnce(const RouteView &route) {
  return route.Record.Semantics == config::RouteSemantics::Once;
}

balance::Outcome::Kind outcomeKind(const TargetAnswer &answer) {
  switch (answer.Status) {
  case ExchangeStatus::Answered:
  case ExchangeStatus::TooLarge:
    return answer.HttpStatus >= 500 ? balance::Outcome::Failed : balance::Outcome::Good;
  case ExchangeStatus::NotSent:
    return balance::Outcome::NoConnect;
  case ExchangeStatus::Broken:
    return balance::Outcome::Broken;
  case ExchangeStatus::TimedOut:
    return balance::Outcome::TimedOut;
  case ExchangeStatus::Canceled:
    return balance::Outcome::Cancelled;
  }
  return balance::Outcome::Failed;
}

bool mayRetry(const TargetAnswer &answer) {
  if (answer.Status == ExchangeStatus::Answered)
    return answer.HttpStatus == ServiceUnavailable;
  return answer.Status == ExchangeStatus::NotSent || answer.Status == ExchangeStatus::Broken;
}

} // namespace

RequestPipeline::RequestPipeline(VmSide &side, SlotQueue &slots, ClaimBridge &claims,
                                 forwarding::TargetClientPool &targets, const core::Clock &clock,
                                 core::EventSink &events, observability::Metrics &metrics,
                                 ReportCrashes reportCrashes)
    : Side(side), Slots(slots), Claims(claims), Targets(targets), Clock(clock), Events(events),
      Metrics(metrics), AskCrashReport(std::move(reportCrashes)) {}

void RequestPipeline::handle(const httplib::Request &req, httplib::Response &res) {
  if (req.path == LookupPath) {
    answerLookup(req, res);
    return;
  }
  std::atomic<uint64_t> &inFlight = Side.requestsInFlight();
  ++inFlight;
  Exchange exchange;
  exchange.Req = &req;
  exchange.State = Side.state();
  exchange.Arrived = Clock.now();
  exchange.Deadline = exchange.Arrived;
  Result result = run(exchange);
  write(exchange, result, res);
  --inFlight;
}

RequestPipeline::Result RequestPipeline::run(Exchange &exchange) {
  static constexpr std::array<Step, 6> steps{
      &RequestPipeline::checkRoute,   &RequestPipeline::checkLease,
      &RequestPipeline::checkKey,     &RequestPipeline::checkRequestId,
      &RequestPipeline::checkCrashes, &RequestPipeline::admitByRate,
  };
  for (Step step : steps)
    if (std::optional<Refusal> refusal = (this->*step)(exchange))
      return *refusal;
  return isOnce(*exchange.Route) ? runOnce(exchange) : runIdempotent(exchange);
}

std::optional<Refusal> RequestPipeline::checkRoute(Exchange &exchange) {
  if (Refusing) {
    Refusal refusal = refuseForNow(RefusalCode::Draining);
    refusal.OtherVms = otherVms(*exchange.State);
    return refusal;
  }
  exchange.Route = exchange.State->routeFor(exchange.Req->path);
  if (exchange.Route == nullptr && !Side.mayServe(exchange.Arrived))
    return checkLease(exchange);
  if (exchange.Route == nullptr)
    return refuse(RefusalCode::NoRoute);
  exchange.Deadline = exchange.Arrived + exchange.Route->Record.Deadline;
  return std::nullopt;
}

std::optional<Refusal> RequestPipeline::checkLease(Exchange &exchange) {
  if (Side.mayServe(Clock.now()))
    return std::nullopt;
  Refusal refusal = refuseForNow(RefusalCode::NoLease);
  refusal.OtherVms = otherVms(*exchange.State);
  return refusal;
}

std::optional<Refusal> RequestPipeline::checkKey(Exchange &exchange) {
  if (exchange.Route->Record.Access == config::RouteAccess::Open)
    return std::nullopt;
  absl::StatusOr<std::string> key = auth::presentedKey(exchange.Req->headers);
  if (absl::IsInvalidArgument(key.status()))
    return refuse(RefusalCode::BadRequest, std::string(key.status().message()));
  exchange.Key = key.ok() ? *std::move(key) : "";
  std::optional<core::CustomerId> customer = exchange.State->Keys.verify(exchange.Key);
  if (!customer) {
    Events.emit({core::EventId::KeyRejected, {{"route", exchange.Route->Record.Id.Value}}});
    return refuse(RefusalCode::KeyInvalid);
  }
  exchange.Customer = *customer;
  return std::nullopt;
}

std::optional<Refusal> RequestPipeline::checkRequestId(Exchange &exchange) {
  exchange.Fingerprint = fingerprintOf(*exchange.Req, exchange.Customer);
  if (!isOnce(*exchange.Route))
    return std::nullopt;
  exchange.RequestId = exchange.Req->get_header_value("Idempotency-Key");
  if (exchange.RequestId.empty())
    return refuse(RefusalCode::RequestIdMissing);
  if (exchange.RequestId.size() > MaxRequestIdBytes)
    return refuse(RefusalCode::BadRequest, "the Idempotency-Key is too long");
  return std::nullopt;
}

std::optional<Refusal> RequestPipeline::checkCrashes(Exchange &exchange) {
  if (Side.crashes().admits(exchange.Fingerprint, Clock.now()))
    return std::nullopt;
  Events.emit(
      {core::EventId::RequestQuarantined,
       {{"route", exchange.Route->Record.Id.Value}, {"customer", exchange.Customer.Value}}});
  return refuse(RefusalCode::RequestQuarantined);
}

std::optional<Refusal> RequestPipeline::admitByRate(Exchange &exchange) {
  if (exchange.Customer.empty())
    return std::nullopt;
  quota::QuotaHolder &quota = Side.quota();
  uint64_t seen = Grants.current();
  quota::Admission admission = quota.tryAdmit(exchange.Customer, exchange.Arrived);
  while (admission.What == quota::Admission::Wait) {
    core::Duration left = exchange.Deadline - Clock.now();
    if (left.Ms <= 0) {
      quota.cancelWait(exchange.Customer);
      break;
    }
    Grants.waitAfter(seen, std::min(left, std::max(admission.Hint, core::Duration{1})));
    seen = Grants.current();
    admission = quota.retryAdmit(exchange.Customer, Clock.now(), exchange.Arrived);
  }
  if (admission.What == quota::Admission::Admitted)
    return std::nullopt;
  return refuseForNow(RefusalCode::RateExceeded,
                      admission.Hint.Ms > 0 ? admission.Hint : DefaultRetryAfter);
}

RequestPipeline::Result RequestPipeline::runIdempotent(Exchange &exchange) {
  Retries.onRequest();
  std::vector<core::TargetId> used;
  AttemptEnd end = attempt(exchange, used, /*nothingSent=*/true);
  bool nothingSent = true;
  while (!end.Refused && mayRetry(end.Answer) && used.size() + 1 < MaxAttempts) {
    used.push_back(end.Target);
    nothingSent = nothingSent && end.Status == ExchangeStatus::NotSent;
    if (end.Status != ExchangeStatus::NotSent && !Retries.tryTake(/*idempotent=*/true))
      break;
    if (!Side.crashes().admits(exchange.Fingerprint, Clock.now()))
      return refuse(RefusalCode::RequestQuarantined);
    AttemptEnd next = attempt(exchange, used, nothingSent);
    if (next.Refused)
      break;
    end = std::move(next);
  }
  if (end.Status == ExchangeStatus::Answered)
    return std::move(end.Answer);
  return refusalOf(exchange, end);
}

RequestPipeline::Result RequestPipeline::runOnce(Exchange &exchange) {
  idempotency::RequestStart start;
  start.Key = {exchange.Customer, exchange.Route->Record.Id, exchange.RequestId};
  start.BodyFingerprint = exchange.Fingerprint;
  start.Deadline = exchange.Deadline - Clock.now();
  std::optional<Refusal> notSent;
  idempotency::CallerReply reply = Claims.run(start, [&](const idempotency::Dispatch &) {
    idempotency::DispatchResult result;
    std::vector<core::TargetId> used;
    AttemptEnd end = attempt(exchange, used, /*nothingSent=*/true);
    while (!end.Refused && end.Status == ExchangeStatus::NotSent && used.size() + 1 < MaxAttempts) {
      used.push_back(end.Target);
      end = attempt(exchange, used, /*nothingSent=*/true);
    }
    if (end.Status == ExchangeStatus::NotSent) {
      result.What = idempotency::DispatchResult::NotSent;
      notSent = refusalOf(exchange, end);
    } else if (end.Status == ExchangeStatus::Answered) {
      result.What = idempotency::DispatchResult::Answered;
      result.Answer = encodeAnswer(end.Answer);
    }
    return result;
  });
  if (reply.What == idempotency::CallerReply::Answered) {
    absl::StatusOr<TargetAnswer> answer = decodeAnswer(reply.Answer);
    if (answer.ok())
      return *std::move(answer);
    Refusal refusal = refuse(RefusalCode::AnswerNotKept);
    refusal.Outcome = RequestOutcome::Ran;
    return refusal;
  }
  if (reply.What == idempotency::CallerReply::NotRun && notSent)
    return *notSent;
  return refusalOf(reply);
}

RequestPipeline::AttemptEnd RequestPipeline::attempt(Exchange &exchange,
                                                     const std::vector<core::TargetId> &exclude,
                                                     bool nothingSent) {
  balance::PoolId pool = poolOf(*exchange.Route);
  std::optional<balance::Choice> choice =
      exclude.empty() ? Slots.acquire(exchange.Customer, pool, exchange.Deadline)
                      : Slots.tryAcquire(pool, exclude);
  // Targets that took no connection are ejected by now, so a request that was sent nowhere may
  // wait.
  if (!choice && nothingSent)
    choice = Slots.acquire(exchange.Customer, pool, exchange.Deadline);
  if (!choice) {
    AttemptEnd end;
    end.Refused = refuseForNow(RefusalCode::NoCapacity);
    return end;
  }
  core::Time sentAt = Clock.now();
  AttemptEnd end = sendTo(exchange, *choice);
  Slots.release(pool, choice->Target);
  recordEnd(exchange, *choice, end, Clock.now() - sentAt);
  return end;
}

RequestPipeline::AttemptEnd RequestPipeline::sendTo(Exchange &exchange,
                                                    const balance::Choice &choice) {
  AttemptEnd end;
  end.Target = choice.Target;
  const config::TargetRecord *target = config::find(exchange.State->Records.Targets, choice.Target);
  if (target == nullptr) {
    end.Refused = refuseForNow(RefusalCode::NoCapacity);
    return end;
  }
  forwarding::TargetAddress address = forwarding::parseTargetAddress(target->Address);
  forwarding::TargetRequest request;
  if (!prepare(exchange, request).ok()) {
    end.Refused = refuse(RefusalCode::BadRequest, "the path holds a key");
    return end;
  }
  // The last check before bytes go out: a process that was paused acts on nothing stale.
  end.Refused = checkBeforeSending(exchange);
  if (end.Refused)
    return end;
  end.Address = address;
  end.Answer = Targets.exchange(address, request, exchange.Deadline);
  end.Status = end.Answer.Status;
  return end;
}

std::optional<Refusal> RequestPipeline::checkBeforeSending(const Exchange &exchange) const {
  core::Time now = Clock.now();
  if (now >= exchange.Deadline)
    return refuseForNow(RefusalCode::DeadlineExceeded);
  if (!Side.mayServe(now)) {
    Refusal refusal = refuseForNow(RefusalCode::NoLease);
    refusal.OtherVms = otherVms(*exchange.State);
    return refusal;
  }
  // The key may have been withdrawn while the request waited.
  if (!exchange.Customer.empty() && Side.state()->Keys.verify(exchange.Key) != exchange.Customer)
    return refuse(RefusalCode::KeyInvalid);
  return std::nullopt;
}

void RequestPipeline::recordEnd(const Exchange &exchange, const balance::Choice &choice,
                                const AttemptEnd &end, core::Duration latency) {
  if (end.Refused) {
    Side.chooser().record({choice.Target, balance::Outcome::Cancelled, latency}, Clock.now());
    return;
  }
  balance::Outcome::Kind kind = outcomeKind(end.Answer);
  std::optional<uint32_t> blamed = reportIfCrash(exchange, choice, end);
  Side.chooser().record({choice.Target, kind, latency}, Clock.now());
  if (kind == balance::Outcome::Cancelled)
    return;
  if (kind == balance::Outcome::Good)
    Side.crashes().recordGood(exchange.Fingerprint);
  const core::RouteId &route = exchange.Route->Record.Id;
  if (kind == balance::Outcome::Good)
    Side.stats().record(route, choice.Version, VersionOutcome::Good, latency);
  else if (blamed && *blamed == 0)
    Side.stats().record(route, choice.Version, VersionOutcome::CrashError, latency);
  else
    for (uint32_t n = 0; n < std::max(blamed.value_or(1), 1U); ++n)
      Side.stats().record(route, choice.Version, VersionOutcome::Error, latency);
}

std::optional<uint32_t> RequestPipeline::reportIfCrash(const Exchange &exchange,
                                                       const balance::Choice &choice,
                                                       const AttemptEnd &end) {
  if (end.Status != ExchangeStatus::Broken)
    return std::nullopt;
  // A reused connection may have been closed by an idle target, which is no crash.
  if (end.Answer.ReusedConnection && forwarding::acceptsConnections(end.Address, CrashProbeTimeout))
    return std::nullopt;
  uint64_t seen = CrashAcks.current();
  uint32_t blamed =
      Side.crashes().recordCrash(exchange.Fingerprint, choice.Target, choice.Version, Clock.now());
  AskCrashReport();
  // A resend through another VM must find the record, so the caller gets no answer before.
  bool acknowledged = CrashAcks.waitAfter(seen, CrashAckWait);
  Events.emit({core::EventId::TargetEnded,
               {{"target", choice.Target.Value},
                {"route", exchange.Route->Record.Id.Value},
                {"acknowledged", acknowledged}}});
  return blamed;
}

absl::Status RequestPipeline::prepare(const Exchange &exchange,
                                      forwarding::TargetRequest &request) const {
  absl::Status status = copyForTarget(*exchange.Req, request);
  core::Duration left = exchange.Deadline - Clock.now();
  request.Headers.emplace("Briarspar-Deadline-Ms", absl::StrCat(left.Ms));
  if (!exchange.Customer.empty())
    request.Headers.emplace("Briarspar-Customer", exchange.Customer.Value);
  request.FreshConnection = isOnce(*exchange.Route);
  return status;
}

Refusal RequestPipeline::refusalOf(const Exchange &exchange, const AttemptEnd &end) const {
  if (end.Refused)
    return *end.Refused;
  Refusal refusal = refuseForNow(RefusalCode::TargetFailed);
  refusal.Outcome = RequestOutcome::Unknown;
  if (end.Status == ExchangeStatus::NotSent) {
    refusal.Code = RefusalCode::TargetUnreachable;
    refusal.Outcome = RequestOutcome::NotRun;
  } else if (end.Status == ExchangeStatus::TimedOut) {
    refusal.Code = RefusalCode::DeadlineExceeded;
  } else if (end.Status == ExchangeStatus::TooLarge) {
    refusal.Outcome = RequestOutcome::Ran;
    refusal.Detail = "the answer is too large";
  }
  return refusal;
}

Refusal RequestPipeline::refusalOf(const idempotency::CallerReply &reply) const {
  using idempotency::CallerReply;
  Refusal refusal = refuseForNow(RefusalCode::OutcomeUnknown);
  refusal.Outcome = RequestOutcome::Unknown;
  switch (reply.What) {
  case CallerReply::Answered:
  case CallerReply::AnswerNotKept:
    refusal.Code = RefusalCode::AnswerNotKept;
    refusal.Outcome = RequestOutcome::Ran;
    break;
  case CallerReply::NotRun:
    refusal.Code =
        reply.Why == CallerReply::NoLease ? RefusalCode::NoLease : RefusalCode::ClaimUnavailable;
    refusal.Outcome = RequestOutcome::NotRun;
    break;
  case CallerReply::Unknown:
    if (reply.Why == CallerReply::StillRunning)
      refusal.Code = RefusalCode::RequestInProgress;
    break;
  case CallerReply::BodyMismatch:
    refusal.Code = RefusalCode::RequestIdReused;
    refusal.Outcome = RequestOutcome::NotRun;
    break;
  }
  return refusal;
}

std::vector<std::string> RequestPipeline::otherVms(const ServingState &state) const {
  std::vector<std::string> out;
  for (const auto &[id, vm] : state.Records.Vms)
    if (id != Side.identity().Vm && out.size() < MaxOtherVms &&
        !config::isDraining(state.Records, vm))
      out.push_back(vm.TrafficAddress);
  return out;
}

void RequestPipeline::answerLookup(const httplib::Request &req, httplib::Response &res) {
  std::shared_ptr<const ServingState> state = Side.state();
  std::string caller = req.has_param("address") ? req.get_param_value("address") : req.remote_addr;
  placement::LookupAnswer answer = state->Lookups->answer(parseIpv4(caller), Clock.now());
  core::Json vms = core::Json::array();
  for (const core::VmId &id : answer.Vms)
    if (const config::VmRecord *vm = config::find(state->Records.Vms, id))
      vms.push_back({{"vm", id.Value}, {"address", vm->TrafficAddress}});
  core::Json body = {{"vms", vms}, {"ttl_ms", answer.Ttl.Ms}, {"version", state->Version.Value}};
  res.set_header("Cache-Control", absl::StrCat("max-age=", answer.Ttl.Ms / 1000));
  res.set_content(body.dump(), "application/json");
}

void RequestPipeline::write(const Exchange &exchange, const Result &result,
                            httplib::Response &res) {
  std::string route = exchange.Route != nullptr ? exchange.Route->Record.Id.Value : "";
  core::Duration latency = Clock.now() - exchange.Arrived;
  Metrics.observeLatency(route, static_cast<double>(latency.Ms));
  if (const auto *refusal = std::get_if<Refusal>(&result)) {
    writeRefusal(exchange, *refusal, res);
    return;
  }
  const auto &answer = std::get<TargetAnswer>(result);
  Metrics.countRequest(route, exchange.Customer.Value, "ran");
  Events.emit({core::EventId::RequestFinished,
               {{"route", route},
                {"request", exchange.RequestId},
                {"customer", exchange.Customer.Value},
                {"status", answer.HttpStatus},
                {"ms", latency.Ms}}});
  writeAnswer(answer, res);
  res.set_header("Briarspar-Outcome", std::string(outcomeName(RequestOutcome::Ran)));
}

void RequestPipeline::writeRefusal(const Exchange &exchange, const Refusal &refusal,
                                   httplib::Response &res) {
  const forwarding::RefusalInfo &info = forwarding::refusalInfo(refusal.Code);
  std::string route = exchange.Route != nullptr ? exchange.Route->Record.Id.Value : "";
  Metrics.countRequest(route, exchange.Customer.Value, std::string(outcomeName(refusal.Outcome)));
  Metrics.countRefusal(exchange.Customer.Value, std::string(info.Name));
  Events.emit({core::EventId::RequestRefused,
               {{"route", route},
                {"request", exchange.RequestId},
                {"customer", exchange.Customer.Value},
                {"code", info.Name},
                {"outcome", outcomeName(refusal.Outcome)}}});
  res.status = info.Status;
  res.set_header("Briarspar-Outcome", std::string(outcomeName(refusal.Outcome)));
  if (refusal.RetryAfter)
    res.set_header("Retry-After", absl::StrCat((refusal.RetryAfter->Ms + 999) / 1000));
  if (!refusal.OtherVms.empty())
    res.set_header("Briarspar-Try", absl::StrJoin(refusal.OtherVms, ", "));
  res.set_content(renderProblem(refusal, exchange.RequestId), "application/problem+json");
}

} // namespace briarspar::daemon
