#include "daemon/GroupLeader.h"

#include "absl/strings/str_cat.h"
#include "core/Hash.h"
#include "daemon/ServingState.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarspar::daemon {

namespace {

/// Interval of the move controller at the leader.
constexpr core::Duration MoveInterval{200};

/// Interval of the tasks that iterate over all VMs. Running them for each message would make the
/// leader's load grow with the square of the number of VMs.
constexpr core::Duration MaintenanceInterval{50};

/// Interval at which region loads are computed from the VMs' reports.
constexpr core::Duration LoadInterval{1000};

/// Service time assumed for a region that has finished no requests.
constexpr uint64_t DefaultServiceMs = 50;

/// Interval at which the log time of committed crashes advances.
constexpr core::Duration CrashTimeInterval{30'000};

constexpr char DeltaTag = 'D';
constexpr char FullStateTag = 'F';

} // namespace

GroupLeader::GroupLeader(const LeaderSettings &settings, GroupVoter &voter, core::EventSink &events,
                         Sender sender)
    : Settings(settings), Voter(voter), Events(events), Send(std::move(sender)),
      Leases(
          {}, *this, [this](core::Time now) { return Voter.isLeader(now); }, this),
      Quota({}, [this](core::Time now) { return Voter.isLeader(now); }),
      Crashes(core::hash64("leader", voter.replica().self().DataIncarnation.Value)),
      Regions(Moves, events,
              [this](const auto &change, core::ConfigVersion expected, core::Term term,
                     core::Time now) { proposeRegion(change, expected, term, now); }) {}

bool GroupLeader::receive(const core::VmId &from, std::string_view kind, std::string_view bytes,
                          core::Time now) {
  static const std::array<std::pair<std::string_view, Handler>, 8> handlers{{
      {kind::Renewal, &GroupLeader::onRenewalMessage},
      {kind::Grant, &GroupLeader::onGrant},
      {kind::Slots, &GroupLeader::onSlots},
      {kind::Claim, &GroupLeader::onClaim},
      {kind::Crash, &GroupLeader::onCrash},
      {kind::CrashNoticeAck, &GroupLeader::onCrashNoticeAck},
      {kind::Command, &GroupLeader::onCommand},
      {kind::Join, &GroupLeader::onJoin},
  }};
  for (const auto &[name, handler] : handlers) {
    if (name != kind)
      continue;
    refresh(now);
    (this->*handler)(from, bytes, now);
    return true;
  }
  return false;
}

void GroupLeader::refresh(core::Time now) {
  adoptCrashes(now);
  bool leads = Voter.isLeader(now);
  if (leads && !Leading)
    startTerm(now);
  if (!leads && Leading)
    Slots.stepDown();
  Leading = leads;
  if (!Leading) {
    // Only the leader consumes the steps; discard them here so that they do not accumulate.
    Voter.stateMachine().takeCommittedSteps();
    return;
  }
  if (!HasAdopted || AdoptedVersion != version())
    adoptConfig(now);
}

void GroupLeader::tick(core::Time now) {
  refresh(now);
  if (!Leading)
    return;
  if (now >= NextMaintenance) {
    NextMaintenance = now + MaintenanceInterval;
    Members.tick(now);
    Slots.tick(now);
    Leases.tick(now);
    handleExpiredVms(now);
    updateExcludedVms(now);
  }
  advanceCrashTime(now);
  if (now >= NextLoads) {
    NextLoads = now + LoadInterval;
    observeLoads(now);
    Regions.tick(Voter.stateMachine().config().records(), Members, now);
  }
  if (now >= NextMoves) {
    NextMoves = now + MoveInterval;
    advanceMoves(now);
  }
}

void GroupLeader::updatePlatformList(absl::Span<const membership::PlatformEntry> list,
                                     core::Time now) {
  Members.updatePlatformList(list, now);
}

bool GroupLeader::inForceEverywhere(core::ConfigVersion version, core::Time now) const {
  return Leading && Voter.isLeader(now) && Leases.inForceEverywhere(version, now);
}

core::ConfigVersion GroupLeader::version() const { return Voter.stateMachine().config().version(); }

uint64_t GroupLeader::digest() const { return Voter.stateMachine().config().digest(); }

bool GroupLeader::hasDeltaSince(core::ConfigVersion from) const {
  return from.Value > 0 && Voter.stateMachine().config().deltaSince(from).has_value();
}

std::string GroupLeader::updateSince(core::ConfigVersion from) const {
  const config::ConfigStore &store = Voter.stateMachine().config();
  std::optional<config::Delta> delta;
  if (from.Value > 0)
    delta = store.deltaSince(from);
  if (delta)
    return DeltaTag + config::encode(*delta);
  // Cached, because many VMs that start together request the same state.
  if (FullState.empty() || FullStateVersion != store.version() ||
      FullStateDigest != store.digest()) {
    FullState = FullStateTag + store.fullState();
    FullStateVersion = store.version();
    FullStateDigest = store.digest();
  }
  return FullState;
}

void GroupLeader::onRenewalMessage(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<lease::Renewal> renewal = lease::decodeRenewal(bytes);
  if (!renewal.ok() || renewal->Vm != from)
    return;
  lease::RenewalResponse answer = Leases.renew(*renewal, now);
  core::Json body = {{"leader", Voter.leaderHint().value_or(core::VmId()).Value}};
  std::string encoded = lease::encode(answer);
  body["answer"] = core::Json::binary({encoded.begin(), encoded.end()});
  Send(from, kind::RenewalResponse, core::encodeCbor(body));
}

std::string GroupLeader::onRenewal(const lease::Renewal &renewal, core::Time now) {
  Members.heartbeat(
      {renewal.Vm, renewal.Inc, renewal.Sequence, renewal.LastAnswered, renewal.Draining}, now);
  Serving[renewal.Vm] = renewal.Inc;
  std::optional<uint64_t> known = observeReport(renewal, now);
  LeaderReport report;
  report.Term = Voter.replica().term();
  // The list is long when a region is unreachable, so it is not repeated in every renewal.
  if (known != ExcludedDigest)
    report.Excluded = Excluded;
  if (Crashes.size() > 0)
    report.Crashes = balance::encode(Crashes.report(now));
  return encode(report);
}

std::optional<uint64_t> GroupLeader::observeReport(const lease::Renewal &renewal, core::Time now) {
  if (renewal.Attachment.empty())
    return std::nullopt;
  absl::StatusOr<VmReport> report = decodeVmReport(renewal.Attachment);
  if (!report.ok())
    return std::nullopt;
  for (const moves::VersionStats &stats : report->Stats)
    Moves.observe(stats, now);
  for (const moves::InFlightReport &inFlight : report->InFlight)
    Moves.observe(inFlight, now);
  Regions.observe(*report, now);
  uint64_t known = report->ExcludedDigest;
  LoadReports[renewal.Vm] = *std::move(report);
  return known;
}

void GroupLeader::observeLoads(core::Time now) {
  const config::Records &records = Voter.stateMachine().config().records();
  std::map<core::RegionId, uint64_t> slots;
  for (const auto &[id, target] : records.Targets)
    slots[target.Region] += config::isDraining(records, target) ? 0 : target.Slots;
  for (const auto &[id, vm] : records.Vms)
    slots[vm.Region];
  std::map<core::RegionId, VmReport> sums;
  for (const auto &[vm, report] : LoadReports) {
    auto it = records.Vms.find(vm);
    if (it == records.Vms.end() || report.IntervalMs == 0)
      continue;
    VmReport &sum = sums[it->second.Region];
    sum.Finished += report.Finished * 1000 / report.IntervalMs;
    sum.BusyMs += report.BusyMs * 1000 / report.IntervalMs;
  }
  for (const auto &[region, n] : slots) {
    if (!Regions.isLoadMeasurable(region, now))
      continue;
    const VmReport &sum = sums[region];
    uint64_t serviceMs =
        sum.Finished > 0 ? std::max<uint64_t>(1, sum.BusyMs / sum.Finished) : DefaultServiceMs;
    moves::RegionLoad load;
    load.Region = region;
    load.Capacity = n * 1000 / serviceMs;
    load.Load = sum.Finished;
    load.Up = Regions.isUp(region);
    Moves.observe(load, now);
  }
}

void GroupLeader::onGrant(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<quota::GrantRequest> request = quota::decodeGrantRequest(bytes);
  if (!request.ok() || request->Vm != from)
    return;
  Send(from, kind::GrantResponse, quota::encode(Quota.request(*request, now)));
}

void GroupLeader::onSlots(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<balance::SlotReport> report = balance::decodeSlotReport(bytes);
  if (!report.ok() || report->Vm != from || !Leading)
    return;
  std::optional<balance::SlotResponse> answer = Slots.report(*report, now);
  if (answer && Voter.isLeader(now))
    Send(from, kind::SlotsResponse, balance::encode(*answer));
}

void GroupLeader::onClaim(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<idempotency::ClaimCommand> command = idempotency::decodeClaimCommand(bytes);
  if (!command.ok())
    return;
  const auto *claim = std::get_if<idempotency::Claim>(&*command);
  if (claim != nullptr && Voter.isLeader(now)) {
    std::optional<idempotency::ClaimOutcome> known = Voter.stateMachine().claims().lookup(*claim);
    if (known) {
      idempotency::ClaimResponse answer{claim->Key, claim->Attempt, *known};
      Send(from, kind::ClaimResult, idempotency::encode(idempotency::ClaimResult(answer)));
      return;
    }
  }
  Voter.propose(*std::move(command), now, [this, from](const absl::StatusOr<std::string> &result) {
    // Without a result the VM retries; claims, completions and releases are idempotent.
    if (result.ok())
      Send(from, kind::ClaimResult, *result);
  });
}

void GroupLeader::onCrash(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<balance::CrashReport> report = balance::decodeCrashReport(bytes);
  if (!report.ok() || !Leading)
    return;
  Crashes.merge(*report, now);
  bool committed = true;
  bool knownEverywhere = true;
  for (const balance::CrashReport::Entry &entry : report->Entries)
    for (const balance::CrashReport::Crash &crash : entry.Crashes) {
      auto it = KnownEverywhere.find(crash.Id);
      committed = committed && it != KnownEverywhere.end();
      knownEverywhere = knownEverywhere && it != KnownEverywhere.end() && it->second <= now;
    }
  if (knownEverywhere) {
    Send(from, kind::CrashAck, std::string(bytes));
    return;
  }
  std::string notice = balance::encode(Crashes.report(now));
  if (committed) {
    announceCrashes(from, std::move(notice), now);
    return;
  }
  // The next leader must know every acknowledged crash before it grants a lease.
  Voter.propose(*std::move(report), now,
                [this, from, notice, now](const absl::StatusOr<std::string> &result) {
                  if (result.ok() && Leading)
                    announceCrashes(from, notice, now);
                });
}

/// All other VMs must know a crash before the reporter responds to its caller, because the caller
/// may retry the request through any of them. Crashes are rare, so a broadcast is cheap.
void GroupLeader::announceCrashes(const core::VmId &reporter, std::string notice, core::Time now) {
  std::set<core::VmId> recipients;
  for (const auto &[vm, run] : Serving)
    if (vm != reporter)
      recipients.insert(vm);
  for (const core::VmId &vm : recipients)
    Send(vm, kind::CrashNotice, notice);
  sendCrashAcks(Notices.sent(reporter, std::move(notice), std::move(recipients),
                             !Leases.predecessorLeasesExpired(now)));
}

void GroupLeader::adoptCrashes(core::Time now) {
  const GroupStateMachine &machine = Voter.stateMachine();
  if (AdoptedCrashChanges == machine.crashChanges())
    return;
  AdoptedCrashChanges = machine.crashChanges();
  balance::CrashReport committed = machine.crashes();
  Crashes.merge(committed, now);
  std::map<uint64_t, core::Time> known = std::exchange(KnownEverywhere, {});
  for (const balance::CrashReport::Entry &entry : committed.Entries)
    for (const balance::CrashReport::Crash &crash : entry.Crashes) {
      auto it = known.find(crash.Id);
      KnownEverywhere[crash.Id] = it != known.end() ? it->second : now + Leases.longestLease();
    }
}

void GroupLeader::advanceCrashTime(core::Time now) {
  if (KnownEverywhere.empty() || now < NextCrashTime)
    return;
  NextCrashTime = now + CrashTimeInterval;
  Voter.propose(balance::CrashReport(), now, [](const absl::StatusOr<std::string> &) {});
}

void GroupLeader::onCrashNoticeAck(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<uint64_t> notice = decodeCrashNoticeAck(bytes);
  if (notice.ok() && Leading)
    sendCrashAcks(Notices.acknowledged(from, *notice));
}

void GroupLeader::sendCrashAcks(const std::vector<CrashNotices::Ack> &acks) {
  for (const CrashNotices::Ack &ack : acks)
    Send(ack.Reporter, kind::CrashAck, ack.Notice);
}

void GroupLeader::onCommand(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<config::Command> command = config::decodeCommand(bytes);
  if (!command.ok())
    return;
  std::string id = command->Id;
  Voter.propose(*std::move(command), now,
                [this, from, id](const absl::StatusOr<std::string> &result) {
                  if (!result.ok())
                    return;
                  core::Json body = {{"id", id}};
                  body["outcome"] = core::Json::binary({result->begin(), result->end()});
                  Send(from, kind::CommandResult, core::encodeCbor(body));
                });
}

void GroupLeader::onJoin(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<core::Json> body = core::decodeCbor(bytes);
  if (!body.ok() || !Leading || !body->contains("data") || !(*body)["data"].is_number_unsigned())
    return;
  agreement::VoterId id{from, core::Incarnation((*body)["data"].get<uint64_t>())};
  // Voters are admitted one at a time; a VM repeats its join message until it is admitted.
  (void)Voter.admit(id, now);
}

void GroupLeader::updateExcludedVms(core::Time now) {
  Excluded.clear();
  for (const core::VmId &vm : Members.vms()) {
    membership::VmState state = Members.stateOf(vm, now);
    if (state != membership::VmState::Live && state != membership::VmState::Joining)
      Excluded.push_back(vm);
  }
  ExcludedDigest = excludedDigest(Excluded);
}

void GroupLeader::handleExpiredVms(core::Time now) {
  for (auto it = Serving.begin(); it != Serving.end();) {
    const auto &[vm, incarnation] = *it;
    if (Leases.latestExpiry(vm) > now) {
      ++it;
      continue;
    }
    Slots.vmExpired(vm, incarnation, now);
    Moves.vmExpired(vm, now);
    if (const auto *record = config::find(Voter.stateMachine().config().records().Vms, vm))
      Regions.vmExpired(record->Region, now);
    Voter.propose(idempotency::ClaimCommand(idempotency::VmDead{vm, incarnation}), now,
                  [](const absl::StatusOr<std::string> &) {});
    LoadReports.erase(vm);
    Events.emit({core::EventId::VmStateChanged, {{"vm", vm.Value}, {"to", "lease-expired"}}});
    sendCrashAcks(Notices.expired(vm));
    it = Serving.erase(it);
  }
  if (Leases.predecessorLeasesExpired(now))
    sendCrashAcks(Notices.predecessorLeasesExpired());
  for (const membership::StateChange &change : Members.takeEvents())
    Events.emit({core::EventId::VmStateChanged,
                 {{"vm", change.Vm.Value},
                  {"from", membership::stateName(change.From)},
                  {"to", membership::stateName(change.To)}}});
}

void GroupLeader::advanceMoves(core::Time now) {
  for (const moves::MoveStep &step : Voter.stateMachine().takeCommittedSteps())
    Moves.committed(step, now);
  for (const moves::MoveStep &step : Moves.tick(now)) {
    if (step.Kind != moves::StepKind::Checkpoint)
      Events.emit({core::EventId::MoveStep, {{"move", step.Id.Value}, {"share", step.Share}}});
    Voter.propose(step, now, [](const absl::StatusOr<std::string> &) {});
  }
  emitMoveOutcomes();
}

void GroupLeader::proposeRegion(const config::SetRegionFailure &change,
                                core::ConfigVersion expected, core::Term term, core::Time now) {
  config::Command command;
  command.Id = absl::StrCat("region-failure-", term.Value, "-", ++LastRegionProposal);
  command.Operator = "region-watch";
  command.ExpectedVersion = expected;
  command.RequestedChange = change;
  Voter.propose(std::move(command), now, [](const absl::StatusOr<std::string> &) {});
}

void GroupLeader::emitMoveOutcomes() {
  for (const moves::MoveOutcome &outcome : Moves.takeOutcomes()) {
    bool done = outcome.End == moves::MoveOutcome::Kind::Done;
    Events.emit({done ? core::EventId::MoveDone : core::EventId::MoveTakenBack,
                 {{"move", outcome.Id.Value},
                  {"reason", moves::reasonName(outcome.Reason)},
                  {"elapsed_ms", outcome.Elapsed.Ms}}});
  }
}

} // namespace briarspar::daemon
