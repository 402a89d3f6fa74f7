#include "forwarding/Problem.h"

#include "core/Codec.h"

#include <array>
#include <cassert>

namespace briarspar::forwarding {

namespace {

constexpr std::array<RefusalInfo, 21> Refusals{{
    {RefusalCode::BadRequest, "bad-request", 400, "The request is malformed"},
    {RefusalCode::BodyTooLarge, "body-too-large", 413, "The request body is too large"},
    {RefusalCode::UnsupportedBody, "unsupported-body", 415, "The body encoding is not supported"},
    {RefusalCode::NoRoute, "no-route", 404, "No route matches the path"},
    {RefusalCode::MethodNotAllowed, "method-not-allowed", 405, "The method is not allowed"},
    {RefusalCode::NoLease, "no-lease", 503, "This VM has no valid serving lease"},
    {RefusalCode::Draining, "draining", 503, "This VM is leaving"},
    {RefusalCode::Overloaded, "overloaded", 503, "This VM has too many connections or requests"},
    {RefusalCode::KeyInvalid, "key-invalid", 401, "The request carries no valid key"},
    {RefusalCode::RateExceeded, "rate-exceeded", 429, "The customer exceeded its rate"},
    {RefusalCode::RequestIdMissing, "request-id-missing", 400,
     "The route needs an Idempotency-Key"},
    {RefusalCode::RequestIdReused, "request-id-reused", 422,
     "The Idempotency-Key was used with another body"},
    {RefusalCode::RequestInProgress, "request-in-progress", 409,
     "A request with this Idempotency-Key is in progress"},
    {RefusalCode::ClaimUnavailable, "claim-unavailable", 503, "The request could not be claimed"},
    {RefusalCode::NoCapacity, "no-capacity", 503, "No target has capacity within the deadline"},
    {RefusalCode::RequestQuarantined, "request-quarantined", 422,
     "The request ended target processes and is no longer run"},
    {RefusalCode::TargetUnreachable, "target-unreachable", 502, "No target could be reached"},
    {RefusalCode::TargetFailed, "target-failed", 502, "The target's answer was cut"},
    {RefusalCode::DeadlineExceeded, "deadline-exceeded", 504, "The deadline passed"},
    {RefusalCode::AnswerNotKept, "answer-not-kept", 410,
     "The request ran; its answer was not kept"},
    {RefusalCode::OutcomeUnknown, "outcome-unknown", 502, "The outcome of the request is unknown"},
}};

} // namespace

std::string_view outcomeName(RequestOutcome outcome) {
  switch (outcome) {
  case RequestOutcome::NotRun:
    return "not-run";
  case RequestOutcome::Ran:
    return "ran";
  case RequestOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

const RefusalInfo &refusalInfo(RefusalCode code) {
  const RefusalInfo &info = Refusals[static_cast<size_t>(code)];
  assert(info.Code == code && "the rows of Refusals must follow the order of RefusalCode");
  return info;
}

std::string renderProblem(const Refusal &refusal, std::string_view requestId) {
  const RefusalInfo &info = refusalInfo(refusal.Code);
  core::Json body = {{"type", "about:blank"},
                     {"title", info.Title},
                     {"status", info.Status},
                     {"code", info.Name},
                     {"outcome", outcomeName(refusal.Outcome)}};
  if (!refusal.Detail.empty())
    body["detail"] = refusal.Detail;
  if (!requestId.empty())
    body["request_id"] = requestId;
  if (refusal.RetryAfter)
    body["retry_after_ms"] = refusal.RetryAfter->Ms;
  if (!refusal.OtherVms.empty())
    body["other_vms"] = refusal.OtherVms;
  // Replaces invalid UTF-8 from the request; by default dump() would throw.
  return body.dump(-1, ' ', false, core::Json::error_handler_t::replace);
}

} // namespace briarspar::forwarding
