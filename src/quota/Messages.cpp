#include "quota/Messages.h"

namespace briarspar::quota {

using core::Duration;
using core::Json;

namespace {

/// Maximum of counts and milliseconds in a message, far above any valid value.
constexpr uint64_t MaxNumber = 1'000'000'000;

/// Reads an unsigned number without the implicit conversions of Json::get(). Throws for any other
/// type.
uint64_t numberOf(const Json &value) { return value.get_ref<const uint64_t &>(); }

int64_t countOf(const Json &value) {
  uint64_t n = numberOf(value);
  if (n > MaxNumber)
    throw Json::out_of_range::create(406, "number in quota message exceeds the maximum", &value);
  return static_cast<int64_t>(n);
}

Duration durationOf(const Json &value) { return Duration::milliseconds(countOf(value)); }

GrantResult resultOf(const Json &value) {
  uint64_t n = numberOf(value);
  if (n > static_cast<uint64_t>(GrantResult::Stale))
    throw Json::out_of_range::create(406, "unknown result of a grant request", &value);
  return static_cast<GrantResult>(n);
}

} // namespace

static void to_json(Json &j, const GrantReport &report) {
  j = Json::array({report.Epoch.Value, report.Sequence, static_cast<uint64_t>(report.Used),
                   static_cast<uint64_t>(report.LastUse.Ms), report.Closed});
}

static void from_json(const Json &j, GrantReport &report) {
  report.Epoch = core::Term(numberOf(j.at(0)));
  report.Sequence = numberOf(j.at(1));
  report.Used = countOf(j.at(2));
  report.LastUse = durationOf(j.at(3));
  j.at(4).get_to(report.Closed);
}

static void to_json(Json &j, const ReserveReport &report) {
  j = Json::array({report.Epoch.Value, report.Sequence, static_cast<uint64_t>(report.Demand)});
  if (report.ReturnTo != core::Term()) {
    j.push_back(report.ReturnTo.Value);
    j.push_back(static_cast<uint64_t>(report.MilliPerSecond));
    j.push_back(static_cast<uint64_t>(report.Depth));
    j.push_back(static_cast<uint64_t>(report.Tokens));
  }
}

static void from_json(const Json &j, ReserveReport &report) {
  report.Epoch = core::Term(numberOf(j.at(0)));
  report.Sequence = numberOf(j.at(1));
  report.Demand = countOf(j.at(2));
  if (j.size() > 3) {
    report.ReturnTo = core::Term(numberOf(j.at(3)));
    report.MilliPerSecond = countOf(j.at(4));
    report.Depth = countOf(j.at(5));
    report.Tokens = countOf(j.at(6));
  }
}

static void to_json(Json &j, const Reserve &reserve) {
  j = Json::array({static_cast<uint64_t>(reserve.MilliPerSecond),
                   static_cast<uint64_t>(reserve.Depth),
                   static_cast<uint64_t>(reserve.InitialTokens)});
}

static void from_json(const Json &j, Reserve &reserve) {
  reserve.MilliPerSecond = countOf(j.at(0));
  reserve.Depth = countOf(j.at(1));
  reserve.InitialTokens = countOf(j.at(2));
}

static void to_json(Json &j, const CustomerDemand &demand) {
  j = Json::array({demand.Customer.Value, static_cast<uint64_t>(demand.Wanted), demand.Reports});
  if (demand.Reserve)
    j.push_back(*demand.Reserve);
}

static void from_json(const Json &j, CustomerDemand &demand) {
  j.at(0).get_to(demand.Customer);
  demand.Wanted = countOf(j.at(1));
  j.at(2).get_to(demand.Reports);
  if (j.size() > 3)
    demand.Reserve = j.at(3).get<ReserveReport>();
}

static void to_json(Json &j, const CustomerGrant &grant) {
  j = Json::array({grant.Customer.Value, grant.Known, grant.Scarce,
                   static_cast<uint64_t>(grant.Tokens), static_cast<uint64_t>(grant.Delay.Ms),
                   static_cast<uint64_t>(grant.Length.Ms),
                   static_cast<uint64_t>(grant.RetryIn.Ms)});
  if (grant.NextReserve)
    j.push_back(*grant.NextReserve);
}

static void from_json(const Json &j, CustomerGrant &grant) {
  j.at(0).get_to(grant.Customer);
  j.at(1).get_to(grant.Known);
  j.at(2).get_to(grant.Scarce);
  grant.Tokens = countOf(j.at(3));
  grant.Delay = durationOf(j.at(4));
  grant.Length = durationOf(j.at(5));
  grant.RetryIn = durationOf(j.at(6));
  if (j.size() > 7)
    grant.NextReserve = j.at(7).get<Reserve>();
}

static void from_json(const Json &j, GrantRequest &request) {
  j.at(0).get_to(request.Vm);
  request.Inc = core::Incarnation(numberOf(j.at(1)));
  request.Group = static_cast<uint32_t>(countOf(j.at(2)));
  request.Sequence = numberOf(j.at(3));
  j.at(4).get_to(request.Customers);
}

static void from_json(const Json &j, GrantResponse &answer) {
  j.at(0).get_to(answer.Vm);
  answer.Inc = core::Incarnation(numberOf(j.at(1)));
  answer.Group = static_cast<uint32_t>(countOf(j.at(2)));
  answer.Epoch = core::Term(numberOf(j.at(3)));
  answer.Sequence = numberOf(j.at(4));
  answer.Result = resultOf(j.at(5));
  j.at(6).get_to(answer.Customers);
  if (j.size() > 7) {
    answer.ReserveDelay = durationOf(j.at(7));
    answer.ReserveLength = durationOf(j.at(8));
  }
}

std::string encode(const GrantRequest &request) {
  return core::encodeCbor(
      Json::array({request.Vm.Value, request.Inc.Value, static_cast<uint64_t>(request.Group),
                   request.Sequence, request.Customers}));
}

std::string encode(const GrantResponse &answer) {
  Json j = Json::array({answer.Vm.Value, answer.Inc.Value, static_cast<uint64_t>(answer.Group),
                        answer.Epoch.Value, answer.Sequence, static_cast<uint64_t>(answer.Result),
                        answer.Customers});
  if (answer.ReserveLength > Duration{0}) {
    j.push_back(static_cast<uint64_t>(answer.ReserveDelay.Ms));
    j.push_back(static_cast<uint64_t>(answer.ReserveLength.Ms));
  }
  return core::encodeCbor(j);
}

absl::StatusOr<GrantRequest> decodeGrantRequest(std::string_view bytes,
                                                const core::CodecLimits &limits) {
  return core::decodeCborAs<GrantRequest>(bytes, limits);
}

absl::StatusOr<GrantResponse> decodeGrantResponse(std::string_view bytes,
                                                  const core::CodecLimits &limits) {
  return core::decodeCborAs<GrantResponse>(bytes, limits);
}

} // namespace briarspar::quota
