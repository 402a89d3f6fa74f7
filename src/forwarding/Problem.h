#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::forwarding {

/// What a caller may conclude about its request.
enum class RequestOutcome {
  NotRun,  ///< No byte of the request can have reached a target.
  Ran,     ///< A target ran the request.
  Unknown, ///< A target may have run the request.
};

std::string_view outcomeName(RequestOutcome outcome);

/// Reasons for which a request ends without the target's answer. Each has a stable code in the
/// response body; docs/API.md lists them.
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
  std::string_view Name; ///< Stable code in the response body.
  int Status;            ///< HTTP status.
  std::string_view Title;
};

const RefusalInfo &refusalInfo(RefusalCode code);

/// A request that ends without the target's answer.
struct Refusal {
  RefusalCode Code = RefusalCode::Overloaded;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  std::string Detail;
  std::optional<core::Duration> RetryAfter;
  std::vector<std::string> OtherVms; ///< Caller addresses ("host:port") of VMs to try instead.
};

/// Renders the application/problem+json body of a refusal.
std::string renderProblem(const Refusal &refusal, std::string_view requestId);

} // namespace briarspar::forwarding
