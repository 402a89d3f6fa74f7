#include "control/ControlResponseBuilder.h"

#include <utility>

namespace briarspar::control {

namespace {

/// Refresh interval of the list of live entry VMs. With 2,000 VMs there are 5,000 reports per
/// second, too many to recompute the list for each.
constexpr core::Duration LiveInterval{100};

/// Send interval of the slowly changing parts; the demand is measured over 2 s.
constexpr core::Duration SlowInterval{800};

} // namespace

ControlResponseBuilder::ControlResponseBuilder(const catalog::Catalog &catalog,
                                               const discovery::TargetList &targets,
                                               const EntryRegistry &entries, uint64_t crashSeed)
    : Catalog(catalog), Targets(targets), Entries(entries), Crashes(crashSeed) {}

void ControlResponseBuilder::becomeLeader(core::Term term, const std::set<core::VmId> &holders,
                                          core::Time now) {
  Rates.becomeLeader(term, holders, now);
  updateRates();
  Sent.becomeLeader();
  Demand.becomeLeader(now);
  Busy.becomeLeader();
  LastSlowUpdate.clear();
}

void ControlResponseBuilder::recordSyncedVersions(const core::VmId &vm, core::Incarnation run,
                                                  const link::EntryReport &report, core::Time now) {
  Sent.report(vm, run, {report.Catalog, {report.ListEpoch, report.ListSequence}}, now);
}

void ControlResponseBuilder::addChanges(link::ControlResponse &answer, const core::VmId &vm,
                                        core::Time now) {
  const SyncedVersions base = Sent.base(vm, now);
  if (base.Catalog < Catalog.changedAt())
    answer.CatalogDelta = Deltas.catalog(Catalog, base.Catalog);
  const discovery::ListVersion &current = Targets.version();
  if (current.Sequence != 0 &&
      (base.List.Epoch != current.Epoch || base.List.Sequence < current.Sequence))
    answer.ListDelta = Deltas.list(Targets, base.List, now);
}

absl::Status ControlResponseBuilder::addReply(link::ControlResponse &answer, const core::VmId &vm,
                                              core::Incarnation run,
                                              const link::EntryReport &report, bool mayHoldShares,
                                              core::Time now) {
  refreshLive(now);
  if (mayHoldShares)
    answer.Shares = Rates.allocate(vm, run, report.LeaderTerm, report.Usage, Holders, now);
  if (!report.Services.empty())
    Demand.report(vm, report.Region, report.Services, now);
  Busy.report(report.Loads, now);
  answer.Busy = Busy.find(Targets, now);
  if (report.EntriesDigest != Live.digest()) {
    const uint64_t from = report.AppliesEntryChanges ? report.EntriesDigest : 0;
    auto [change, isNew] = LiveChanges.try_emplace(from);
    if (isNew)
      change->second = Live.since(from);
    answer.Entries = change->second;
  }
  absl::Status status;
  if (!report.Crashes.empty()) {
    absl::StatusOr<balance::CrashReport> crashes = balance::decodeCrashReport(report.Crashes);
    if (crashes.ok())
      Crashes.merge(*crashes, now);
    else
      status = crashes.status();
  }
  balance::CrashReport crashes = Crashes.report(now);
  if (!crashes.Entries.empty())
    answer.Crashes = balance::encode(crashes);
  return status;
}

bool ControlResponseBuilder::claimSlowUpdate(const core::VmId &vm, core::Incarnation run,
                                             core::Time now) {
  auto &[lastRun, at] = LastSlowUpdate[vm];
  if (lastRun == run && now - at < SlowInterval)
    return false;
  lastRun = run;
  at = now;
  return true;
}

void ControlResponseBuilder::addDemand(link::ControlResponse &answer, core::Time now) {
  answer.Demand = Demand.demand(now);
}

std::string ControlResponseBuilder::encodeFor(const core::VmId &vm,
                                              const link::ControlResponse &answer, core::Time now) {
  std::string bytes = encode(answer);
  if (!answer.CatalogDelta.empty() || !answer.ListDelta.empty())
    Sent.sent(vm, {Catalog.changedAt(), Targets.version()}, bytes.size(), now);
  return bytes;
}

void ControlResponseBuilder::refreshLive(core::Time now) {
  if (Live.digest() != 0 && now - LiveAt < LiveInterval)
    return;
  LiveAt = now;
  std::vector<link::EntryLocation> live;
  for (const core::VmId &vm : Entries.live(now)) {
    const EntryRecord &record = Entries.records().at(vm);
    live.push_back({vm, record.Region, record.Domain});
  }
  if (!Live.update(live))
    return;
  LiveChanges.clear();
  Holders = link::RateHolders(std::move(live));
}

} // namespace briarspar::control
