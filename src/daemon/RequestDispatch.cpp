#include "absl/strings/str_cat.h"
#include "daemon/HttpHeaders.h"
#include "daemon/Refusals.h"
#include "daemon/RequestPipeline.h"

#include <algorithm>

namespace briarspar::daemon {

namespace {

using forwarding::ExchangeStatus;
using forwarding::Refusal;
using forwarding::RefusalCode;
using forwarding::RequestOutcome;
using forwarding::TargetResponse;

/// Maximum number of targets to which a request is sent.
constexpr size_t MaxAttempts = 3;

/// Time limit for the leader's acknowledgement of a crash report. A VM that does not hear from the
/// leader for longer has lost its serving lease.
constexpr core::Duration CrashAckTimeout{3000};

/// Time after which an unacknowledged crash report is resent: several round trips between regions.
constexpr core::Duration CrashReportInterval{200};

/// Time for which a probe tests whether a target's process is ending.
constexpr core::Duration CrashProbeWindow{100};

constexpr int ServiceUnavailable = 503;

balance::PoolId poolOf(const RouteView &route) { return balance::PoolId(route.Record.Id.Value); }

balance::Outcome::Kind outcomeKind(const TargetResponse &answer) {
  switch (answer.Status) {
  case ExchangeStatus::Answered:
  case ExchangeStatus::TooLarge:
    return answer.HttpStatus >= 500 ? balance::Outcome::Failed : balance::Outcome::Good;
  case ExchangeStatus::NotSent:
    return balance::Outcome::ConnectFailed;
  case ExchangeStatus::ConnectionLost:
    return balance::Outcome::ConnectionLost;
  case ExchangeStatus::TimedOut:
    return balance::Outcome::TimedOut;
  case ExchangeStatus::Canceled:
    return balance::Outcome::Cancelled;
  }
  return balance::Outcome::Failed;
}

/// Returns true if the exchange may have failed because the target had closed the reused connection
/// while it was idle. Only idempotent requests reuse connections.
bool mayBeStaleConnection(const TargetResponse &answer) {
  return answer.Status == ExchangeStatus::ConnectionLost && answer.ReusedConnection;
}

bool mayRetry(const TargetResponse &answer) {
  if (answer.Status == ExchangeStatus::Answered)
    return answer.HttpStatus == ServiceUnavailable;
  return answer.Status == ExchangeStatus::NotSent ||
         answer.Status == ExchangeStatus::ConnectionLost;
}

} // namespace

RequestPipeline::Result RequestPipeline::runIdempotent(Exchange &exchange) {
  Retries.onRequest();
  std::vector<core::TargetId> used;
  AttemptResult result = attempt(exchange, used, /*nothingSent=*/true);
  used.push_back(result.Target);
  if (!result.HedgeTarget.empty())
    used.push_back(result.HedgeTarget);
  while (!result.Refused && mayRetry(result.Answer) && used.size() < MaxAttempts) {
    const bool nothingSent = result.Status == ExchangeStatus::NotSent;
    if (!nothingSent && !Retries.tryAcquire(/*idempotent=*/true))
      break;
    if (!Agent.crashes().admits(exchange.Fingerprint, Clock.now())) {
      Refusal refusal = refuse(RefusalCode::RequestQuarantined);
      refusal.Outcome = nothingSent ? RequestOutcome::NotRun : RequestOutcome::Unknown;
      return refusal;
    }
    AttemptResult next = attempt(exchange, used, nothingSent);
    if (next.Refused)
      break;
    used.push_back(next.Target);
    result = combine(std::move(result), std::move(next));
  }
  if (result.Status == ExchangeStatus::Answered)
    return std::move(result.Answer);
  return refusalOf(exchange, result);
}

RequestPipeline::Result RequestPipeline::runNonIdempotent(Exchange &exchange) {
  idempotency::RequestStart start;
  start.Key = {exchange.Customer, exchange.Route->Record.Id, exchange.RequestId};
  start.BodyFingerprint = exchange.Fingerprint;
  start.Deadline = exchange.Deadline - Clock.now();
  std::optional<Refusal> notSent;
  idempotency::CallerReply reply = Claims.run(start, [&](const idempotency::Dispatch &) {
    idempotency::DispatchResult dispatchResult;
    std::vector<core::TargetId> used;
    AttemptResult result = attempt(exchange, used, /*nothingSent=*/true);
    while (!result.Refused && result.Status == ExchangeStatus::NotSent &&
           used.size() + 1 < MaxAttempts) {
      used.push_back(result.Target);
      result = attempt(exchange, used, /*nothingSent=*/true);
    }
    if (result.Status == ExchangeStatus::NotSent) {
      dispatchResult.Status = idempotency::DispatchResult::NotSent;
      notSent = refusalOf(exchange, result);
    } else if (result.Status == ExchangeStatus::Answered) {
      dispatchResult.Status = idempotency::DispatchResult::Answered;
      dispatchResult.Answer = encodeResponse(result.Answer);
    }
    return dispatchResult;
  });
  if (reply.Status == idempotency::CallerReply::Answered) {
    absl::StatusOr<TargetResponse> answer = decodeResponse(reply.Answer);
    if (answer.ok())
      return *std::move(answer);
    Refusal refusal = refuse(RefusalCode::AnswerNotKept);
    refusal.Outcome = RequestOutcome::Ran;
    return refusal;
  }
  if (reply.Status == idempotency::CallerReply::NotRun && notSent)
    return *notSent;
  return refusalOf(reply);
}

std::optional<balance::Choice>
RequestPipeline::chooseTarget(Exchange &exchange, const std::vector<core::TargetId> &exclude,
                              bool nothingSent) {
  balance::PoolId pool = poolOf(*exchange.Route);
  std::optional<balance::Choice> choice =
      exclude.empty() ? Slots.acquire(exchange.Customer, pool, exchange.Deadline)
                      : Slots.tryAcquire(pool, exclude);
  // Targets that refused a connection are ejected by now, so a request that no target received may
  // wait for a slot at any target.
  if (!choice && nothingSent)
    choice = Slots.acquire(exchange.Customer, pool, exchange.Deadline);
  return choice;
}

RequestPipeline::AttemptResult RequestPipeline::attempt(Exchange &exchange,
                                                        const std::vector<core::TargetId> &exclude,
                                                        bool nothingSent) {
  std::optional<balance::Choice> choice = chooseTarget(exchange, exclude, nothingSent);
  if (!choice) {
    AttemptResult result;
    result.Refused = refuseTemporarily(RefusalCode::NoCapacity);
    return result;
  }
  std::shared_ptr<const forwarding::TargetRequest> request = prepare(exchange);
  // Only first attempts are hedged, so a request runs on at most two targets concurrently and at
  // most three in total.
  if (exclude.empty() && !isNonIdempotent(*exchange.Route))
    return exchangeWithHedge(exchange, *choice, request);
  return exchangeWith(exchange, *choice, request.get(), nullptr);
}

RequestPipeline::AttemptResult
RequestPipeline::exchangeWith(const Exchange &exchange, const balance::Choice &choice,
                              const forwarding::TargetRequest *request,
                              forwarding::Cancellation *cancellation) {
  core::Time sentAt = Clock.now();
  AttemptResult result = sendTo(exchange, choice, request, cancellation);
  Slots.release(poolOf(*exchange.Route), choice.Target);
  recordResult(exchange, choice, result, Clock.now() - sentAt);
  return result;
}

RequestPipeline::AttemptResult RequestPipeline::sendTo(const Exchange &exchange,
                                                       const balance::Choice &choice,
                                                       const forwarding::TargetRequest *request,
                                                       forwarding::Cancellation *cancellation) {
  AttemptResult result;
  result.Target = choice.Target;
  const config::TargetRecord *target = config::find(exchange.State->Records.Targets, choice.Target);
  if (target == nullptr) {
    result.Refused = refuseTemporarily(RefusalCode::NoCapacity);
    return result;
  }
  if (request == nullptr) {
    result.Refused = refuse(RefusalCode::BadRequest, "the path holds a key");
    return result;
  }
  // Checked last before sending, so that a process that was paused does not act on stale state.
  result.Refused = checkBeforeSending(exchange);
  if (result.Refused)
    return result;
  result.Address = forwarding::parseTargetAddress(target->Address);
  result.Answer = Targets.exchange(result.Address, *request, exchange.Deadline, cancellation);
  if (mayBeStaleConnection(result.Answer) && Retries.tryAcquire(/*idempotent=*/true))
    resendOnFreshConnection(exchange, *request, result, cancellation);
  result.Status = result.Answer.Status;
  return result;
}

/// If a reused connection ends without an answer, either the target had closed it while idle or the
/// target's process ended. A second exchange with the same target distinguishes the two without
/// putting another target at risk, and may answer the request.
void RequestPipeline::resendOnFreshConnection(const Exchange &exchange,
                                              const forwarding::TargetRequest &request,
                                              AttemptResult &result,
                                              forwarding::Cancellation *cancellation) {
  forwarding::TargetRequest fresh = request;
  setDeadline(exchange, fresh);
  fresh.FreshConnection = true;
  TargetResponse answer = Targets.exchange(result.Address, fresh, exchange.Deadline, cancellation);
  // If no process accepts the connection, the result of the first exchange is kept: the connection
  // was lost.
  if (answer.Status != ExchangeStatus::NotSent)
    result.Answer = std::move(answer);
  result.Answer.ReusedConnection = false;
}

bool RequestPipeline::isCompleteResponse(const AttemptResult &result) {
  return result.Status == ExchangeStatus::Answered && !mayRetry(result.Answer);
}

std::optional<Refusal> RequestPipeline::checkBeforeSending(const Exchange &exchange) const {
  core::Time now = Clock.now();
  if (now >= exchange.Deadline)
    return refuseTemporarily(RefusalCode::DeadlineExceeded);
  if (!Agent.mayServe(now)) {
    Refusal refusal = refuseTemporarily(RefusalCode::NoLease);
    refusal.OtherVms = otherVms(*exchange.State);
    return refusal;
  }
  // The key may have been revoked while the request waited.
  if (!exchange.Customer.empty() && Agent.state()->Keys.verify(exchange.Key) != exchange.Customer)
    return refuse(RefusalCode::KeyInvalid);
  return std::nullopt;
}

void RequestPipeline::recordResult(const Exchange &exchange, const balance::Choice &choice,
                                   const AttemptResult &result, core::Duration latency) {
  if (result.Refused) {
    Agent.chooser().record({choice.Target, balance::Outcome::Cancelled, latency}, Clock.now());
    return;
  }
  balance::Outcome::Kind kind = outcomeKind(result.Answer);
  std::optional<uint32_t> errors = reportIfCrash(exchange, choice, result);
  Agent.chooser().record({choice.Target, kind, latency}, Clock.now());
  if (std::optional<uint32_t> load = reportedLoad(result.Answer))
    Agent.chooser().recordLoad(choice.Target, *load, Clock.now());
  if (kind == balance::Outcome::Cancelled)
    return;
  if (kind == balance::Outcome::Good)
    Agent.crashes().recordSuccess(exchange.Fingerprint);
  const core::RouteId &route = exchange.Route->Record.Id;
  if (kind == balance::Outcome::Good)
    Agent.stats().record(route, choice.Version, VersionOutcome::Good, latency);
  else if (errors && *errors == 0)
    Agent.stats().record(route, choice.Version, VersionOutcome::CrashError, latency);
  else
    for (uint32_t n = 0; n < std::max(errors.value_or(1), 1U); ++n)
      Agent.stats().record(route, choice.Version, VersionOutcome::Error, latency);
}

std::optional<uint32_t> RequestPipeline::reportIfCrash(const Exchange &exchange,
                                                       const balance::Choice &choice,
                                                       const AttemptResult &result) {
  if (result.Status != ExchangeStatus::ConnectionLost)
    return std::nullopt;
  // The retry budget did not allow a second exchange, so use a probe.
  if (mayBeStaleConnection(result.Answer) &&
      forwarding::keepsAccepting(result.Address, CrashProbeWindow))
    return std::nullopt;
  uint32_t errors =
      Agent.crashes().recordCrash(exchange.Fingerprint, choice.Target, choice.Version, Clock.now());
  bool acknowledged = reportCrash(Agent.crashes().lastCrash(), exchange.Deadline);
  Events.emit({core::EventId::TargetEnded,
               {{"target", choice.Target.Value},
                {"route", exchange.Route->Record.Id.Value},
                {"acknowledged", acknowledged}}});
  return errors;
}

/// Repeats the report until the leader acknowledges the crash with this number. The caller is
/// answered only after that, because a retry through another VM must find the crash record.
bool RequestPipeline::reportCrash(uint64_t crash, core::Time deadline) {
  if (crash == 0)
    return true; // Another VM has reported this crash.
  for (core::Duration waited; waited < CrashAckTimeout; waited = waited + CrashReportInterval) {
    RequestCrashReport();
    if (CrashAcks.waitAfter(crash - 1, CrashReportInterval))
      return true;
    if (Clock.now() >= deadline)
      break;
  }
  return false;
}

std::shared_ptr<const forwarding::TargetRequest>
RequestPipeline::prepare(const Exchange &exchange) const {
  auto request = std::make_shared<forwarding::TargetRequest>();
  if (!fillTargetRequest(*exchange.Req, *request).ok())
    return nullptr;
  setDeadline(exchange, *request);
  if (!exchange.Customer.empty())
    request->Headers.emplace("Briarspar-Customer", exchange.Customer.Value);
  request->FreshConnection = isNonIdempotent(*exchange.Route);
  return request;
}

void RequestPipeline::setDeadline(const Exchange &exchange,
                                  forwarding::TargetRequest &request) const {
  const core::Duration left = exchange.Deadline - Clock.now();
  request.Headers.erase("Briarspar-Deadline-Ms");
  request.Headers.emplace("Briarspar-Deadline-Ms", absl::StrCat(left.Ms));
}

} // namespace briarspar::daemon
