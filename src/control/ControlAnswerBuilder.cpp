#include "control/ControlAnswerBuilder.h"

#include <utility>

namespace briarspar::control {

namespace {

/// The list of live entry VMs is made anew this often, not for each report: at 2,000 VMs there are
/// 5,000 reports a second.
constexpr core::Duration LiveInterval{100};

/// What changes slowly goes to each VM this often: the demand is measured over 2 s.
constexpr core::Duration SlowInterval{800};

} // namespace

ControlAnswerBuilder::ControlAnswerBuilder(const catalog::Catalog &catalog,
                                           const discovery::TargetList &targets,
                                           const EntryRegistry &entries, uint64_t crashSeed)
    : Catalog(catalog), Targets(targets), Entries(entries), Crashes(crashSeed) {}

void ControlAnswerBuilder::becomeLeader(core::Term term, const std::set<core::VmId> &holders,
                                        core::Time now) {
  Rates.becomeLeader(term, holders, now);
  updateRates();
  Sent.becomeLeader();
  Demand.becomeLeader(now);
  Busy.becomeLeader();
  LastSlowUpdate.clear();
}

void ControlAnswerBuilder::recordSyncedVersions(const core::VmId &vm, core::Incarnation run,
                                                const link::EntryReport &report, core::Time now) {
  Sent.report(vm, run, {report.Catalog, {report.ListEpoch, report.ListSequence}}, now);
}

void ControlAnswerBuilder::addChanges(link::ControlAnswer &answer, const core::VmId &vm,
                                      core::Time now) {
  const SyncedVersions base = Sent.base(vm, now);
  if (base.Catalog < Catalog.changedAt())
    answer.CatalogDelta = Deltas.catalog(Catalog, base.Catalog);
  const discovery::ListVersion &mine = Targets.version();
  if (mine.Sequence != 0 && (base.List.Epoch != mine.Epoch || base.List.Sequence < mine.Sequence))
    answer.ListDelta = Deltas.list(Targets, base.List, now);
}

absl::Status ControlAnswerBuilder::addReply(link::ControlAnswer &answer, const core::VmId &vm,
                                            core::Incarnation run, const link::EntryReport &report,
                                            bool mayHoldShares, core::Time now) {
  refreshLive(now);
  if (mayHoldShares)
    answer.Shares = Rates.allocate(vm, run, report.LeaderTerm, report.Usage, Holders, now);
  if (!report.Services.empty())
    Demand.report(vm, report.Region, report.Services, now);
  Busy.report(report.Loads, now);
  answer.Busy = Busy.find(Targets, now);
  if (report.EntriesDigest != LiveDigest)
    answer.Entries = Live;
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

bool ControlAnswerBuilder::claimSlowUpdate(const core::VmId &vm, core::Incarnation run,
                                           core::Time now) {
  auto &[lastRun, at] = LastSlowUpdate[vm];
  if (lastRun == run && now - at < SlowInterval)
    return false;
  lastRun = run;
  at = now;
  return true;
}

void ControlAnswerBuilder::addDemand(link::ControlAnswer &answer, core::Time now) {
  answer.Demand = Demand.demand(now);
}

std::string ControlAnswerBuilder::encodeFor(const core::VmId &vm, const link::ControlAnswer &answer,
                                            core::Time now) {
  std::string bytes = encode(answer);
  if (!answer.CatalogDelta.empty() || !answer.ListDelta.empty())
    Sent.sent(vm, {Catalog.changedAt(), Targets.version()}, bytes.size(), now);
  return bytes;
}

void ControlAnswerBuilder::refreshLive(core::Time now) {
  if (LiveDigest != 0 && now - LiveAt < LiveInterval)
    return;
  LiveAt = now;
  std::vector<link::EntryLocation> live;
  for (const core::VmId &vm : Entries.live(now)) {
    const EntryRecord &record = Entries.records().at(vm);
    live.push_back({vm, record.Region, record.Domain});
  }
  uint64_t digest = link::digestOf(live);
  if (digest == LiveDigest)
    return;
  LiveDigest = digest;
  Live = live;
  Holders = link::RateHolders(std::move(live));
}

} // namespace briarspar::control
