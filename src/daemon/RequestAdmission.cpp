#include "auth/Credentials.h"
#include "core/Hash.h"
#include "daemon/Refusals.h"
#include "daemon/RequestPipeline.h"

#include <algorithm>

namespace briarspar::daemon {

namespace {

using forwarding::Refusal;
using forwarding::RefusalCode;

/// Longest accepted Idempotency-Key, in bytes.
constexpr size_t MaxRequestIdBytes = 256;

/// Other VMs that a refusal names.
constexpr size_t MaxOtherVms = 3;

uint64_t fingerprintOf(const httplib::Request &req, const core::CustomerId &customer) {
  uint64_t hash = core::hash64(customer.Value);
  hash = core::hash64(req.method, hash);
  hash = core::hash64(req.target, hash);
  return core::hash64(req.body, hash);
}

} // namespace

std::optional<Refusal> RequestPipeline::checkRoute(Exchange &exchange) {
  if (Refusing) {
    Refusal refusal = refuseTemporarily(RefusalCode::Draining);
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
  Refusal refusal = refuseTemporarily(RefusalCode::NoLease);
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
  if (!isNonIdempotent(*exchange.Route))
    return std::nullopt;
  exchange.RequestId = exchange.Req->get_header_value("Idempotency-Key");
  if (exchange.RequestId.empty())
    return refuse(RefusalCode::RequestIdMissing);
  if (exchange.RequestId.size() > MaxRequestIdBytes)
    return refuse(RefusalCode::BadRequest, "the Idempotency-Key is too long");
  return std::nullopt;
}

std::optional<Refusal> RequestPipeline::checkQuarantine(Exchange &exchange) {
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
  while (admission.Result == quota::Admission::Wait) {
    core::Duration left = exchange.Deadline - Clock.now();
    if (left.Ms <= 0) {
      quota.cancelWait(exchange.Customer);
      break;
    }
    Grants.waitAfter(seen, std::min(left, std::max(admission.Hint, core::Duration{1})));
    seen = Grants.current();
    admission = quota.retryAdmit(exchange.Customer, Clock.now(), exchange.Arrived);
  }
  if (admission.Result == quota::Admission::Admitted)
    return std::nullopt;
  return refuseTemporarily(RefusalCode::RateExceeded,
                           admission.Hint.Ms > 0 ? admission.Hint : DefaultRetryAfter);
}

std::vector<std::string> RequestPipeline::otherVms(const ServingState &state) const {
  std::vector<std::string> out;
  for (const auto &[id, vm] : state.Records.Vms)
    if (id != Side.identity().Vm && out.size() < MaxOtherVms &&
        !config::isDraining(state.Records, vm))
      out.push_back(vm.TrafficAddress);
  return out;
}

} // namespace briarspar::daemon
