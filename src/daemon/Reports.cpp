#include "daemon/Reports.h"

namespace briarspar::daemon {

using core::Json;

void to_json(Json &j, const RegionOutcomes &outcomes) {
  j = {{"region", outcomes.Region}, {"good", outcomes.Good}, {"failed", outcomes.Failed}};
}

void from_json(const Json &j, RegionOutcomes &outcomes) {
  j.at("region").get_to(outcomes.Region);
  j.at("good").get_to(outcomes.Good);
  j.at("failed").get_to(outcomes.Failed);
}

void from_json(const Json &j, VmReport &report) {
  j.at("stats").get_to(report.Stats);
  j.at("in_flight").get_to(report.InFlight);
  // VMs of older releases do not send this member.
  if (j.contains("regions"))
    j["regions"].get_to(report.Regions);
  j.at("finished").get_to(report.Finished);
  j.at("busy_ms").get_to(report.BusyMs);
  j.at("interval_ms").get_to(report.IntervalMs);
  j.at("excluded_digest").get_to(report.ExcludedDigest);
}

void from_json(const Json &j, LeaderReport &report) {
  j.at("term").get_to(report.Term);
  if (j.contains("excluded"))
    report.Excluded = j.at("excluded").get<std::vector<core::VmId>>();
  const auto &bytes = j.at("crashes").get_binary();
  report.Crashes.assign(bytes.begin(), bytes.end());
}

std::string encode(const VmReport &report) {
  return core::encodeCbor({{"stats", report.Stats},
                           {"in_flight", report.InFlight},
                           {"regions", report.Regions},
                           {"finished", report.Finished},
                           {"busy_ms", report.BusyMs},
                           {"interval_ms", report.IntervalMs},
                           {"excluded_digest", report.ExcludedDigest}});
}

std::string encode(const LeaderReport &report) {
  Json j = {{"term", report.Term}};
  if (report.Excluded)
    j["excluded"] = *report.Excluded;
  j["crashes"] = Json::binary(std::vector<uint8_t>(report.Crashes.begin(), report.Crashes.end()));
  return core::encodeCbor(j);
}

absl::StatusOr<VmReport> decodeVmReport(std::string_view bytes) {
  return core::decodeCborAs<VmReport>(bytes);
}

absl::StatusOr<LeaderReport> decodeLeaderReport(std::string_view bytes) {
  return core::decodeCborAs<LeaderReport>(bytes);
}

} // namespace briarspar::daemon
