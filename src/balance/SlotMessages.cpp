#include "balance/SlotMessages.h"

#include "absl/status/status.h"

#include <cstddef>

namespace briarspar::balance {

using core::Json;

namespace {

/// A report names each target and pool at most once; 1 MiB holds several thousand of them.
constexpr core::CodecLimits MessageLimits{size_t{1024} * 1024, 8};

/// Larger counts are rejected, so that sums over all VMs fit into 32 bits.
constexpr uint32_t MaxCount = 100'000;

template <class Id> Json countsToJson(const std::map<Id, uint32_t> &counts) {
  Json j = Json::object();
  for (const auto &[id, n] : counts)
    if (n != 0)
      j[id.Value] = n;
  return j;
}

template <class Id> std::map<Id, uint32_t> countsFrom(const Json &j) {
  std::map<Id, uint32_t> counts;
  for (const auto &[id, n] : j.items()) {
    const auto count = n.template get<uint64_t>();
    if (count > MaxCount)
      throw Json::other_error::create(501, "count out of range", nullptr);
    counts[Id(id)] = static_cast<uint32_t>(count);
  }
  return counts;
}

} // namespace

static void from_json(const Json &j, SlotReport &r) {
  j.at("vm").get_to(r.Vm);
  j.at("run").get_to(r.Run);
  j.at("leader").get_to(r.Leader);
  j.at("sequence").get_to(r.Sequence);
  j.at("uptime").get_to(r.Uptime.Ms);
  r.Held = countsFrom<core::TargetId>(j.at("held"));
  r.Usable = countsFrom<core::TargetId>(j.at("usable"));
  r.Demand = countsFrom<PoolId>(j.at("demand"));
  j.at("avoided").get_to(r.Avoided);
}

static void from_json(const Json &j, SlotResponse &a) {
  j.at("vm").get_to(a.Vm);
  j.at("run").get_to(a.Run);
  j.at("leader").get_to(a.Leader);
  j.at("answer-to").get_to(a.ResponseTo);
  a.Limits = countsFrom<core::TargetId>(j.at("limits"));
}

std::string encode(const SlotReport &report) {
  return core::encodeCbor({{"vm", report.Vm},
                           {"run", report.Run},
                           {"leader", report.Leader},
                           {"sequence", report.Sequence},
                           {"uptime", report.Uptime.Ms},
                           {"held", countsToJson(report.Held)},
                           {"usable", countsToJson(report.Usable)},
                           {"demand", countsToJson(report.Demand)},
                           {"avoided", report.Avoided}});
}

std::string encode(const SlotResponse &answer) {
  return core::encodeCbor({{"vm", answer.Vm},
                           {"run", answer.Run},
                           {"leader", answer.Leader},
                           {"answer-to", answer.ResponseTo},
                           {"limits", countsToJson(answer.Limits)}});
}

absl::StatusOr<SlotReport> decodeSlotReport(std::string_view bytes) {
  return core::decodeCborAs<SlotReport>(bytes, MessageLimits);
}

absl::StatusOr<SlotResponse> decodeSlotResponse(std::string_view bytes) {
  return core::decodeCborAs<SlotResponse>(bytes, MessageLimits);
}

} // namespace briarspar::balance
