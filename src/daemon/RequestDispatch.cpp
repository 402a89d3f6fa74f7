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

/// Attempts of one request on different targets.
constexpr size_t MaxAttempts = 3;

/// Longest wait for the leader's acknowledgement of a crash report: a VM whose leader is silent for
/// longer has lost its serving lease.
constexpr core::Duration CrashAckWait{3000};

/// A report that is not acknowledged after this is sent again: several round trips between regions.
constexpr core::Duration CrashReportInterval{200};

/// Longest wait for a connection that tells whether a target's process ended.
constexpr core::Duration CrashProbeTimeout{100};

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

/// Whether the exchange may have ended because the target had closed an idle connection. Only
/// idempotent requests use such connections.
bool mayHaveBeenIdle(const TargetResponse &answer) {
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
  AttemptResult end = attempt(exchange, used, /*nothingSent=*/true);
  used.push_back(end.Target);
  if (!end.HedgeTarget.empty())
    used.push_back(end.HedgeTarget);
  while (!end.Refused && mayRetry(end.Answer) && used.size() < MaxAttempts) {
    const bool nothingSent = end.Status == ExchangeStatus::NotSent;
    if (!nothingSent && !Retries.tryAcquire(/*idempotent=*/true))
      break;
    if (!Side.crashes().admits(exchange.Fingerprint, Clock.now())) {
      Refusal refusal = refuse(RefusalCode::RequestQuarantined);
      refusal.Outcome = nothingSent ? RequestOutcome::NotRun : RequestOutcome::Unknown;
      return refusal;
    }
    AttemptResult next = attempt(exchange, used, nothingSent);
    if (next.Refused)
      break;
    used.push_back(next.Target);
    end = combine(std::move(end), std::move(next));
  }
  if (end.Status == ExchangeStatus::Answered)
    return std::move(end.Answer);
  return refusalOf(exchange, end);
}

RequestPipeline::Result RequestPipeline::runNonIdempotent(Exchange &exchange) {
  idempotency::RequestStart start;
  start.Key = {exchange.Customer, exchange.Route->Record.Id, exchange.RequestId};
  start.BodyFingerprint = exchange.Fingerprint;
  start.Deadline = exchange.Deadline - Clock.now();
  std::optional<Refusal> notSent;
  idempotency::CallerReply reply = Claims.run(start, [&](const idempotency::Dispatch &) {
    idempotency::DispatchResult result;
    std::vector<core::TargetId> used;
    AttemptResult end = attempt(exchange, used, /*nothingSent=*/true);
    while (!end.Refused && end.Status == ExchangeStatus::NotSent && used.size() + 1 < MaxAttempts) {
      used.push_back(end.Target);
      end = attempt(exchange, used, /*nothingSent=*/true);
    }
    if (end.Status == ExchangeStatus::NotSent) {
      result.Status = idempotency::DispatchResult::NotSent;
      notSent = refusalOf(exchange, end);
    } else if (end.Status == ExchangeStatus::Answered) {
      result.Status = idempotency::DispatchResult::Answered;
      result.Answer = encodeResponse(end.Answer);
    }
    return result;
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
  // Targets that took no connection are ejected by now, so a request that was sent nowhere may
  // wait.
  if (!choice && nothingSent)
    choice = Slots.acquire(exchange.Customer, pool, exchange.Deadline);
  return choice;
}

RequestPipeline::AttemptResult RequestPipeline::attempt(Exchange &exchange,
                                                        const std::vector<core::TargetId> &exclude,
                                                        bool nothingSent) {
  std::optional<balance::Choice> choice = chooseTarget(exchange, exclude, nothingSent);
  if (!choice) {
    AttemptResult end;
    end.Refused = refuseTemporarily(RefusalCode::NoCapacity);
    return end;
  }
  std::shared_ptr<const forwarding::TargetRequest> request = prepare(exchange);
  // Only first attempts are hedged: a request runs on two targets at once and three in all at most.
  if (exclude.empty() && !isNonIdempotent(*exchange.Route))
    return exchangeWithHedge(exchange, *choice, request);
  return exchangeWith(exchange, *choice, request.get(), nullptr);
}

RequestPipeline::AttemptResult
RequestPipeline::exchangeWith(const Exchange &exchange, const balance::Choice &choice,
                              const forwarding::TargetRequest *request,
                              forwarding::Cancellation *cancellation) {
  core::Time sentAt = Clock.now();
  AttemptResult end = sendTo(exchange, choice, request, cancellation);
  Slots.release(poolOf(*exchange.Route), choice.Target);
  recordResult(exchange, choice, end, Clock.now() - sentAt);
  return end;
}

RequestPipeline::AttemptResult RequestPipeline::sendTo(const Exchange &exchange,
                                                       const balance::Choice &choice,
                                                       const forwarding::TargetRequest *request,
                                                       forwarding::Cancellation *cancellation) {
  AttemptResult end;
  end.Target = choice.Target;
  const config::TargetRecord *target = config::find(exchange.State->Records.Targets, choice.Target);
  if (target == nullptr) {
    end.Refused = refuseTemporarily(RefusalCode::NoCapacity);
    return end;
  }
  if (request == nullptr) {
    end.Refused = refuse(RefusalCode::BadRequest, "the path holds a key");
    return end;
  }
  // The last check before bytes go out: a process that was paused acts on nothing stale.
  end.Refused = checkBeforeSending(exchange);
  if (end.Refused)
    return end;
  end.Address = forwarding::parseTargetAddress(target->Address);
  end.Answer = Targets.exchange(end.Address, *request, exchange.Deadline, cancellation);
  if (mayHaveBeenIdle(end.Answer) && Retries.tryAcquire(/*idempotent=*/true))
    resendOnFreshConnection(exchange, *request, end, cancellation);
  end.Status = end.Answer.Status;
  return end;
}

/// A reused connection that ends without an answer was closed by an idle target, or its process
/// ended. A probe cannot tell, because an ending process still accepts connections; a second
/// exchange with the same target can, and ends no further target.
void RequestPipeline::resendOnFreshConnection(const Exchange &exchange,
                                              const forwarding::TargetRequest &request,
                                              AttemptResult &end,
                                              forwarding::Cancellation *cancellation) {
  forwarding::TargetRequest fresh = request;
  setDeadline(exchange, fresh);
  fresh.FreshConnection = true;
  TargetResponse answer = Targets.exchange(end.Address, fresh, exchange.Deadline, cancellation);
  // Without a process that takes the connection, the first exchange stands: it was cut.
  if (answer.Status != ExchangeStatus::NotSent)
    end.Answer = std::move(answer);
  end.Answer.ReusedConnection = false;
}

bool RequestPipeline::isCompleteResponse(const AttemptResult &end) {
  return end.Status == ExchangeStatus::Answered && !mayRetry(end.Answer);
}

std::optional<Refusal> RequestPipeline::checkBeforeSending(const Exchange &exchange) const {
  core::Time now = Clock.now();
  if (now >= exchange.Deadline)
    return refuseTemporarily(RefusalCode::DeadlineExceeded);
  if (!Side.mayServe(now)) {
    Refusal refusal = refuseTemporarily(RefusalCode::NoLease);
    refusal.OtherVms = otherVms(*exchange.State);
    return refusal;
  }
  // The key may have been withdrawn while the request waited.
  if (!exchange.Customer.empty() && Side.state()->Keys.verify(exchange.Key) != exchange.Customer)
    return refuse(RefusalCode::KeyInvalid);
  return std::nullopt;
}

void RequestPipeline::recordResult(const Exchange &exchange, const balance::Choice &choice,
                                   const AttemptResult &end, core::Duration latency) {
  if (end.Refused) {
    Side.chooser().record({choice.Target, balance::Outcome::Cancelled, latency}, Clock.now());
    return;
  }
  balance::Outcome::Kind kind = outcomeKind(end.Answer);
  std::optional<uint32_t> blamed = reportIfCrash(exchange, choice, end);
  Side.chooser().record({choice.Target, kind, latency}, Clock.now());
  if (std::optional<uint32_t> load = reportedLoad(end.Answer))
    Side.chooser().recordLoad(choice.Target, *load, Clock.now());
  if (kind == balance::Outcome::Cancelled)
    return;
  if (kind == balance::Outcome::Good)
    Side.crashes().recordSuccess(exchange.Fingerprint);
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
                                                       const AttemptResult &end) {
  if (end.Status != ExchangeStatus::ConnectionLost)
    return std::nullopt;
  // Not sent again, for lack of budget: a probe has to do.
  if (mayHaveBeenIdle(end.Answer) && forwarding::acceptsConnections(end.Address, CrashProbeTimeout))
    return std::nullopt;
  uint64_t seen = CrashAcks.current();
  uint32_t blamed =
      Side.crashes().recordCrash(exchange.Fingerprint, choice.Target, choice.Version, Clock.now());
  bool acknowledged = reportCrash(seen, exchange.Deadline);
  Events.emit({core::EventId::TargetEnded,
               {{"target", choice.Target.Value},
                {"route", exchange.Route->Record.Id.Value},
                {"acknowledged", acknowledged}}});
  return blamed;
}

/// Reports until the leader acknowledges. A resend through another VM must find the record, so the
/// caller gets no answer before.
bool RequestPipeline::reportCrash(uint64_t seen, core::Time deadline) {
  for (core::Duration waited; waited < CrashAckWait; waited = waited + CrashReportInterval) {
    RequestCrashReport();
    if (CrashAcks.waitAfter(seen, CrashReportInterval))
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
