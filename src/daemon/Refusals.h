#pragma once

#include "config/Records.h"
#include "core/Clock.h"
#include "daemon/ServingState.h"
#include "forwarding/Problem.h"

#include <string>
#include <utility>

namespace briarspar::daemon {

/// Suggested wait before a refused caller tries again, when nothing better is known.
constexpr core::Duration DefaultRetryAfter{1000};

inline forwarding::Refusal refuse(forwarding::RefusalCode code, std::string detail = {}) {
  forwarding::Refusal refusal;
  refusal.Code = code;
  refusal.Detail = std::move(detail);
  return refusal;
}

inline forwarding::Refusal refuseTemporarily(forwarding::RefusalCode code,
                                             core::Duration retryAfter = DefaultRetryAfter) {
  forwarding::Refusal refusal;
  refusal.Code = code;
  refusal.RetryAfter = retryAfter;
  return refusal;
}

inline bool isNonIdempotent(const RouteView &route) {
  return route.Record.Semantics == config::RouteSemantics::Once;
}

} // namespace briarspar::daemon
