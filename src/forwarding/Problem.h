#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::forwarding {

/// Whether a target ran a request, as far as the system knows.
enum class RequestOutcome {
  NotRun,  ///< No target has received any byte of the request.
  Ran,     ///< A target ran the request.
  Unknown, ///< A target may have run the request.
};

std::string_view outcomeName(RequestOutcome outcome);

/// Reasons for which a request ends without a target's response. Each has a stable code in the
/// response body. docs/API.md lists the codes.
enum class RefusalCode {
  BadRequest,
  BodyTooLarge,
  UnsupportedBody,
  NoRoute,
  MethodNotAllowed,
  NoLease,
  Draining,
  Overloaded,
  KeyInvalid,
  RateExceeded,
  RequestIdMissing,
  RequestIdReused,
  RequestInProgress,
  ClaimUnavailable,
  NoCapacity,
  RequestQuarantined,
  TargetUnreachable,
  TargetFailed,
  DeadlineExceeded,
  AnswerNotKept,
  OutcomeUnknown,
};

/// Fixed properties of a refusal code.
struct RefusalInfo {
  RefusalCode Code;
  std::string_view Name; ///< Code in the response body.
  int Status;            ///< HTTP status.
  std::string_view Title;
};

const RefusalInfo &refusalInfo(RefusalCode code);

/// An error response sent in place of a target's response.
struct Refusal {
  RefusalCode Code = RefusalCode::Overloaded;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  std::string Detail;
  std::optional<core::Duration> RetryAfter;
  std::vector<std::string> OtherVms; ///< Addresses ("host:port") of other VMs that accept callers.
};

/// Renders the application/problem+json body of a refusal.
std::string renderProblem(const Refusal &refusal, std::string_view requestId);

} // namespace briarspar::forwarding
