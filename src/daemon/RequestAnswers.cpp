#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "daemon/HttpHeaders.h"
#include "daemon/Refusals.h"
#include "daemon/RequestPipeline.h"

namespace briarspar::daemon {

namespace {

using forwarding::ExchangeStatus;
using forwarding::Refusal;
using forwarding::RefusalCode;
using forwarding::RequestOutcome;
using forwarding::TargetResponse;

} // namespace

Refusal RequestPipeline::refusalOf(const Exchange &exchange, const AttemptResult &result) const {
  if (result.Refused)
    return *result.Refused;
  Refusal refusal = refuseTemporarily(RefusalCode::TargetFailed);
  refusal.Outcome = RequestOutcome::Unknown;
  if (result.Status == ExchangeStatus::NotSent) {
    refusal.Code = RefusalCode::TargetUnreachable;
    refusal.Outcome = RequestOutcome::NotRun;
  } else if (result.Status == ExchangeStatus::TimedOut) {
    refusal.Code = RefusalCode::DeadlineExceeded;
  } else if (result.Status == ExchangeStatus::TooLarge) {
    refusal.Outcome = RequestOutcome::Ran;
    refusal.Detail = "the answer is too large";
  }
  return refusal;
}

Refusal RequestPipeline::refusalOf(const idempotency::CallerReply &reply) const {
  using idempotency::CallerReply;
  Refusal refusal = refuseTemporarily(RefusalCode::OutcomeUnknown);
  refusal.Outcome = RequestOutcome::Unknown;
  switch (reply.Status) {
  case CallerReply::Answered:
  case CallerReply::AnswerNotKept:
    refusal.Code = RefusalCode::AnswerNotKept;
    refusal.Outcome = RequestOutcome::Ran;
    break;
  case CallerReply::NotRun:
    refusal.Code =
        reply.Cause == CallerReply::NoLease ? RefusalCode::NoLease : RefusalCode::ClaimUnavailable;
    refusal.Outcome = RequestOutcome::NotRun;
    break;
  case CallerReply::Unknown:
    if (reply.Cause == CallerReply::StillRunning)
      refusal.Code = RefusalCode::RequestInProgress;
    break;
  case CallerReply::BodyMismatch:
    refusal.Code = RefusalCode::RequestIdReused;
    refusal.Outcome = RequestOutcome::NotRun;
    break;
  }
  return refusal;
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
  const auto &answer = std::get<TargetResponse>(result);
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
