#include "daemon/VmSide.h"

#include "core/Hash.h"

#include <array>

namespace briarspar::daemon {

namespace {

constexpr char DeltaMark = 'D';

/// Renewals without an answer after which another voter is asked.
constexpr uint32_t UnansweredBeforeNextVoter = 2;

/// Renewals and slot reports that are due this soon go with a grant request. Active customers need
/// one every 100 ms, so most of them share a frame.
constexpr core::Duration JoinAhead{100};

/// Distinguishes the crash records of runs and of VMs.
uint64_t originOf(const core::VmId &vm, core::Incarnation run) {
  return core::hash64(vm.Value, run.Value);
}

std::string bytesOf(const core::Json &j) {
  const auto &bytes = j.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

} // namespace

VmSide::VmSide(const VmIdentity &identity, const core::Clock &clock, core::EventSink &events,
               Sender sender, lease::LeaseHolder::Random random, VmSideListener &listener)
    : Identity(identity), Clock(clock), Events(events), Send(std::move(sender)), Listener(listener),
      Blocks(identity.Where.Region),
      Lease({}, identity.Vm, identity.Run, *this, std::move(random), this), Permission(*this),
      Quota({}, identity.Vm, identity.Run), Slots(identity.Vm, identity.Run, clock, Permission),
      Chooser(identity.Where, Slots, {}, &events), Crashes(originOf(identity.Vm, identity.Run)),
      Claims(identity.Vm, identity.Run, Permission) {
  Context.OwnRegion = identity.Where.Region;
  Context.LookupTtl = identity.LookupTtl;
  publish(clock.now());
}

bool VmSide::receive(const core::VmId &from, std::string_view kind, std::string_view bytes,
                     core::Time now) {
  static const std::array<std::pair<std::string_view, Handler>, 7> handlers{{
      {kind::RenewalAnswer, &VmSide::onRenewalAnswer},
      {kind::GrantAnswer, &VmSide::onGrantAnswer},
      {kind::SlotsAnswer, &VmSide::onSlotsAnswer},
      {kind::ClaimResult, &VmSide::onClaimResult},
      {kind::CrashAck, &VmSide::onCrashAck},
      {kind::CrashNotice, &VmSide::onCrashNotice},
      {kind::CommandResult, &VmSide::onCommandResult},
  }};
  for (const auto &[name, handler] : handlers) {
    if (name != kind)
      continue;
    (this->*handler)(from, bytes, now);
    return true;
  }
  return false;
}

void VmSide::tick(core::Time now) {
  std::vector<quota::GrantRequest> grants = Quota.tick(now);
  core::Duration ahead = grants.empty() ? core::Duration{0} : JoinAhead;
  if (std::optional<lease::Renewal> renewal = Lease.tick(now, ahead)) {
    if (Lease.unanswered() > UnansweredBeforeNextVoter)
      chooseLeaderToAsk();
    sendToLeader(kind::Renewal, lease::encode(*renewal));
  }
  for (const quota::GrantRequest &request : grants)
    sendToLeader(kind::Grant, quota::encode(request));
  if (std::optional<balance::SlotReport> report = Slots.tick(LeaderTerm, now, ahead)) {
    for (const auto &[target, n] : report->Held)
      if (Chooser.isEjected(target))
        report->Avoided.insert(target);
    sendToLeader(kind::Slots, balance::encode(*report));
  }
  Claims.tick(now);
  flushClaims();
  for (std::string &command : Commands.due(now))
    sendToLeader(kind::Command, std::move(command));
}

void VmSide::sendToLeader(std::string_view kind, std::string bytes) {
  if (!Leader)
    chooseLeaderToAsk();
  Send(*Leader, kind, std::move(bytes));
}

void VmSide::chooseLeaderToAsk() {
  Leader = Identity.Voters[NextVoter];
  NextVoter = (NextVoter + 1) % Identity.Voters.size();
}

void VmSide::onRenewalAnswer(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<core::Json> body = core::decodeCbor(bytes);
  if (!body.ok() || !body->is_object() || !body->contains("answer") ||
      !(*body)["answer"].is_binary())
    return;
  absl::StatusOr<lease::RenewalAnswer> answer =
      lease::decodeRenewalAnswer(bytesOf((*body)["answer"]));
  if (!answer.ok())
    return;
  if (answer->Result == lease::RenewalResult::NotLeader) {
    core::VmId hint(body->value("leader", std::string()));
    if (!hint.empty() && hint != from)
      Leader = hint;
    else if (Leader == from)
      chooseLeaderToAsk();
  }
  if (Lease.receive(*answer, now).ok())
    Leader = from;
}

absl::Status VmSide::apply(core::ConfigVersion to, uint64_t digest, std::string_view update) {
  if (update.empty())
    return absl::InvalidArgumentError("the update is empty");
  std::string_view bytes = update.substr(1);
  if (update.front() == DeltaMark) {
    absl::StatusOr<config::Delta> delta = config::decodeDelta(bytes);
    if (!delta.ok())
      return delta.status();
    if (Config.receive(*delta) == config::ConfigReplica::DeltaResult::Applied)
      Blocks.apply(*delta, Config.records());
  } else {
    absl::Status status = Config.receiveFullState(bytes);
    if (!status.ok())
      return status;
    Blocks.rebuild(Config.records(), Config.version());
  }
  if (Config.version() != to || Config.digest() != digest || Config.needsFullState())
    return absl::DataLossError("the update does not lead to the leader's configuration");
  publish(Clock.now());
  Events.emit({core::EventId::ConfigApplied, {{"version", to.Value}}});
  return absl::OkStatus();
}

void VmSide::publish(core::Time now) {
  Context.Blocks = Blocks.table();
  std::shared_ptr<const ServingState> state = buildServingState(Config, Context);
  Chooser.setTargets(state->Targets, now);
  Slots.setTargets(state->Targets,
                   static_cast<uint32_t>(std::max<size_t>(1, state->Records.Vms.size())));
  for (const RouteView &route : state->Routes)
    Chooser.setVersionShares(balance::PoolId(route.Record.Id.Value), route.Shares);
  std::atomic_store(&State, state);
  Listener.onSlots();
}

std::vector<config::BlockRecord> VmSide::blocks(size_t limit) const {
  std::vector<config::BlockRecord> out;
  for (const auto &[id, record] : Config.records().Blocks) {
    if (out.size() == limit)
      break;
    out.push_back(record);
  }
  return out;
}

std::string VmSide::renewalAttachment(core::Time now) {
  std::shared_ptr<const ServingState> state = this->state();
  std::vector<std::pair<core::RouteId, core::VersionId>> pairs;
  for (const RouteView &route : state->Routes) {
    if (route.MovingTo.empty())
      continue;
    for (const auto &[version, share] : route.Shares)
      pairs.emplace_back(route.Record.Id, version);
  }
  VmReport report;
  Stats.take(Identity.Vm, Identity.Run, pairs, now, report);
  report.InFlight = inFlightReports();
  report.Regions = outcomesByRegion(Chooser.takeOutcomes(), *state);
  report.ExcludedDigest = excludedDigest(Context.Excluded);
  return encode(report);
}

std::vector<moves::InFlightReport> VmSide::inFlightReports() {
  std::shared_ptr<const ServingState> state = this->state();
  std::vector<moves::InFlightReport> reports;
  ++ReportSequence;
  for (const auto &[id, drain] : state->Records.Drains) {
    if (drain.State != config::DrainState::Running)
      continue;
    moves::InFlightReport report;
    report.Source = Identity.Vm;
    report.SourceIncarnation = Identity.Run;
    report.Sequence = ReportSequence;
    report.Move = core::MoveId(id.Value);
    report.AppliedDrain = true;
    report.InFlight = inFlightOn(drain, *state);
    reports.push_back(report);
  }
  return reports;
}

uint64_t VmSide::inFlightOn(const config::DrainRecord &drain, const ServingState &state) const {
  using config::DrainKind;
  bool covers = (drain.Kind == DrainKind::Vm && drain.Name == Identity.Vm.Value) ||
                (drain.Kind == DrainKind::Domain && drain.Name == Identity.Where.Domain.Value) ||
                (drain.Kind == DrainKind::Region && drain.Name == Identity.Where.Region.Value);
  uint64_t n = covers ? InFlight.load() : 0;
  for (const balance::TargetInfo &target : state.Targets) {
    bool covered = (drain.Kind == DrainKind::Target && drain.Name == target.Id.Value) ||
                   (drain.Kind == DrainKind::Domain && drain.Name == target.Where.Domain.Value) ||
                   (drain.Kind == DrainKind::Region && drain.Name == target.Where.Region.Value);
    if (covered)
      n += Slots.inUse(target.Id);
  }
  return n;
}

void VmSide::onAnswer(std::string_view attachment, core::Time now) {
  absl::StatusOr<LeaderReport> report = decodeLeaderReport(attachment);
  if (!report.ok())
    return;
  LeaderTerm = report->Term;
  if (!report->Crashes.empty())
    onCrashNotice(core::VmId(), report->Crashes, now);
  if (!report->Excluded)
    return;
  std::set<core::VmId> excluded(report->Excluded->begin(), report->Excluded->end());
  if (excluded != Context.Excluded) {
    Context.Excluded = std::move(excluded);
    publish(now);
  }
}

void VmSide::onLeaseGained(core::Time now) {
  Events.emit({core::EventId::LeaseGained, {{"version", Config.version().Value}}});
  Listener.onSlots();
}

void VmSide::onLeaseLost(core::Time now) {
  Events.emit({core::EventId::LeaseLost, {{"version", Config.version().Value}}});
  Listener.onSlots();
}

void VmSide::onGrantAnswer(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<quota::GrantAnswer> answer = quota::decodeGrantAnswer(bytes);
  if (!answer.ok())
    return;
  Quota.receive(*answer, now);
  Listener.onGrants();
}

void VmSide::onSlotsAnswer(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<balance::SlotAnswer> answer = balance::decodeSlotAnswer(bytes);
  if (!answer.ok())
    return;
  Slots.receive(*answer, now);
  Listener.onSlots();
}

void VmSide::onClaimResult(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<idempotency::ClaimResult> result = idempotency::decodeClaimResult(bytes);
  if (!result.ok())
    return;
  Claims.receive(*result, now);
  flushClaims();
}

void VmSide::onCrashNotice(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<balance::CrashReport> report = balance::decodeCrashReport(bytes);
  if (report.ok())
    Crashes.merge(*report, now);
}

void VmSide::onCrashAck(const core::VmId &from, std::string_view bytes, core::Time now) {
  onCrashNotice(from, bytes, now);
  Listener.onCrashAck();
}

void VmSide::onCommandResult(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<core::Json> body = core::decodeCbor(bytes);
  if (!body.ok() || !body->is_object() || !body->contains("id") || !body->contains("outcome"))
    return;
  absl::StatusOr<config::Outcome> outcome = config::decodeOutcome(bytesOf((*body)["outcome"]));
  if (outcome.ok())
    Commands.finish((*body)["id"].get<std::string>(), *outcome);
}

void VmSide::startOnce(const idempotency::RequestStart &request, core::Time now) {
  Claims.start(request, now);
  flushClaims();
}

void VmSide::dispatchFinished(uint64_t attempt, const idempotency::DispatchResult &result,
                              core::Time now) {
  Claims.dispatchFinished(attempt, result, now);
  flushClaims();
}

void VmSide::flushClaims() {
  for (idempotency::ClaimAction &action : Claims.takeActions()) {
    if (auto *send = std::get_if<idempotency::SendCommand>(&action))
      sendToLeader(kind::Claim, idempotency::encode(send->Command));
    else
      Listener.onClaimAction(action);
  }
}

void VmSide::sendCrashReport(core::Time now) {
  sendToLeader(kind::Crash, balance::encode(Crashes.report(now)));
}

void VmSide::submit(const config::Command &command, core::Time deadline, core::Time now,
                    CommandRelay::Done done) {
  Commands.start(command, deadline, now, std::move(done));
}

} // namespace briarspar::daemon
