#include "control/EntryRegistry.h"

#include <algorithm>

namespace briarspar::control {

EntryRegistry::EntryRegistry(const EntryRegistrySettings &settings) : Settings(settings) {}

bool EntryRegistry::report(const core::VmId &vm, core::Incarnation run,
                           const link::EntryReport &report, core::Time now) {
  EntryRecord &record = Records[vm];
  if (run < record.Run)
    return false;
  bool stopping = report.Stopping || (record.Run == run && record.Stopping);
  record = {run,
            report.Region,
            report.Domain,
            report.Address,
            report.Serving,
            stopping,
            now,
            /*IsBrief=*/report.Sequence == 0,
            /*Unreachable=*/false};
  bool &wasLive = WasLive[vm];
  return !std::exchange(wasLive, isLive(record, now)) && wasLive;
}

void EntryRegistry::markUnreachable(const link::EntryUnreachable &gone) {
  auto it = Records.find(gone.Vm);
  if (it != Records.end() && it->second.Run == gone.Run)
    it->second.Unreachable = true;
}

std::vector<LostEntry> EntryRegistry::takeLost(core::Time now) {
  std::vector<LostEntry> lost;
  for (auto it = Records.begin(); it != Records.end();) {
    bool &wasLive = WasLive[it->first];
    if (wasLive && !isLive(it->second, now)) {
      wasLive = false;
      lost.push_back({it->first, it->second.Run, now - it->second.LastReportAt});
    }
    if (now - it->second.LastReportAt > Settings.RetentionPeriod) {
      WasLive.erase(it->first);
      it = Records.erase(it);
    } else {
      ++it;
    }
  }
  return lost;
}

std::vector<std::string> EntryRegistry::lookup(const core::RegionId &region,
                                               const core::DomainId &domain, core::Time now) const {
  std::vector<std::string> near;
  std::vector<std::string> inRegion;
  std::vector<std::string> all;
  for (const auto &[vm, record] : Records) {
    if (!isLive(record, now) || !record.Serving)
      continue;
    all.push_back(record.Address);
    if (record.Region == region)
      inRegion.push_back(record.Address);
    if (record.Domain == domain)
      near.push_back(record.Address);
  }
  std::vector<std::string> &chosen = near.size() >= Settings.MinDomainResults ? near
                                     : !inRegion.empty()                      ? inRegion
                                                                              : all;
  if (chosen.size() > Settings.MaxLookupResults)
    chosen.resize(Settings.MaxLookupResults);
  return chosen;
}

std::vector<core::VmId> EntryRegistry::live(core::Time now) const {
  std::vector<core::VmId> out;
  for (const auto &[vm, record] : Records)
    if (isLive(record, now))
      out.push_back(vm);
  return out;
}

bool EntryRegistry::isLive(const EntryRecord &record, core::Time now) const {
  core::Duration silence = record.IsBrief ? Settings.BriefReportTimeout : Settings.ReportTimeout;
  return !record.Stopping && !record.Unreachable && now - record.LastReportAt <= silence;
}

} // namespace briarspar::control
