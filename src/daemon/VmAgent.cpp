#include "daemon/VmAgent.h"

#include "core/Hash.h"
#include "daemon/CrashNotices.h"

#include <array>
#include <set>

namespace briarspar::daemon {

namespace {

constexpr char DeltaTag = 'D';

/// Number of unanswered renewals after which the next voter is asked.
constexpr uint32_t MaxUnansweredRenewals = 2;

/// Renewals and slot reports that are due within this time are sent along with a grant request.
/// Active customers need a grant request every 100 ms, so most messages share a frame.
constexpr core::Duration BatchLookahead{100};

/// Returns a value that distinguishes crash records by VM and incarnation.
uint64_t originOf(const core::VmId &vm, core::Incarnation incarnation) {
  return core::hash64(vm.Value, incarnation.Value);
}

std::string bytesOf(const core::Json &j) {
  const auto &bytes = j.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

} // namespace

VmAgent::VmAgent(const VmIdentity &identity, const core::Clock &clock, core::EventSink &events,
                 Sender sender, lease::LeaseHolder::Random random, VmAgentListener &listener)
    : Identity(identity), Clock(clock), Events(events), Send(std::move(sender)), Listener(listener),
      Blocks(identity.Locality.Region),
      Lease({}, identity.Vm, identity.Incarnation, *this, std::move(random), this),
      Permission(*this), Quota({}, identity.Vm, identity.Incarnation),
      Slots(identity.Vm, identity.Incarnation, clock, Permission),
      Chooser(identity.Locality, Slots, {}, &events),
      Crashes(originOf(identity.Vm, identity.Incarnation)),
      Claims(identity.Vm, identity.Incarnation, Permission) {
  Context.OwnRegion = identity.Locality.Region;
  Context.LookupTtl = identity.LookupTtl;
  publish(clock.now());
}

bool VmAgent::receive(const core::VmId &from, std::string_view kind, std::string_view bytes,
                      core::Time now) {
  static const std::array<std::pair<std::string_view, Handler>, 7> handlers{{
      {kind::RenewalResponse, &VmAgent::onRenewalResponse},
      {kind::GrantResponse, &VmAgent::onGrantResponse},
      {kind::SlotsResponse, &VmAgent::onSlotsResponse},
      {kind::ClaimResult, &VmAgent::onClaimResult},
      {kind::CrashAck, &VmAgent::onCrashAck},
      {kind::CrashNotice, &VmAgent::onCrashNotice},
      {kind::CommandResult, &VmAgent::onCommandResult},
  }};
  for (const auto &[name, handler] : handlers) {
    if (name != kind)
      continue;
    (this->*handler)(from, bytes, now);
    return true;
  }
  return false;
}

void VmAgent::tick(core::Time now) {
  std::vector<quota::GrantRequest> grants = Quota.tick(now);
  core::Duration ahead = grants.empty() ? core::Duration{0} : BatchLookahead;
  if (std::optional<lease::Renewal> renewal = Lease.tick(now, ahead)) {
    if (Lease.unanswered() > MaxUnansweredRenewals)
      selectVoterToAsk();
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

void VmAgent::sendToLeader(std::string_view kind, std::string bytes) {
  if (!Leader)
    selectVoterToAsk();
  Send(*Leader, kind, std::move(bytes));
}

void VmAgent::selectVoterToAsk() {
  Leader = Identity.Voters[NextVoter];
  NextVoter = (NextVoter + 1) % Identity.Voters.size();
}

void VmAgent::onRenewalResponse(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<core::Json> body = core::decodeCbor(bytes);
  if (!body.ok() || !body->is_object() || !body->contains("answer") ||
      !(*body)["answer"].is_binary())
    return;
  absl::StatusOr<lease::RenewalResponse> answer =
      lease::decodeRenewalResponse(bytesOf((*body)["answer"]));
  if (!answer.ok())
    return;
  if (answer->Result == lease::RenewalResult::NotLeader) {
    auto leader = body->find("leader");
    core::VmId hint(leader != body->end() && leader->is_string() ? leader->get<std::string>()
                                                                 : std::string());
    if (!hint.empty() && hint != from)
      Leader = hint;
    else if (Leader == from)
      selectVoterToAsk();
  }
  if (Lease.receive(*answer, now).ok())
    Leader = from;
}

absl::Status VmAgent::apply(core::ConfigVersion to, uint64_t digest, std::string_view update) {
  if (update.empty())
    return absl::InvalidArgumentError("the update is empty");
  std::string_view bytes = update.substr(1);
  if (update.front() == DeltaTag) {
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
    return absl::DataLossError("the configuration differs from the leader's after the update");
  publish(Clock.now());
  Events.emit({core::EventId::ConfigApplied, {{"version", to.Value}}});
  return absl::OkStatus();
}

void VmAgent::publish(core::Time now) {
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

std::vector<config::BlockRecord> VmAgent::blocks(size_t limit) const {
  std::vector<config::BlockRecord> out;
  for (const auto &[id, record] : Config.records().Blocks) {
    if (out.size() == limit)
      break;
    out.push_back(record);
  }
  return out;
}

std::string VmAgent::renewalAttachment(core::Time now) {
  std::shared_ptr<const ServingState> state = this->state();
  std::vector<std::pair<core::RouteId, core::VersionId>> pairs;
  for (const RouteView &route : state->Routes) {
    if (route.CandidateVersion.empty())
      continue;
    for (const auto &[version, share] : route.Shares)
      pairs.emplace_back(route.Record.Id, version);
  }
  VmReport report;
  Stats.take(Identity.Vm, Identity.Incarnation, pairs, now, report);
  report.InFlight = collectInFlightReports();
  report.Regions = outcomesByRegion(Chooser.takeOutcomes(), *state);
  report.ExcludedDigest = excludedDigest(Context.Excluded);
  return encode(report);
}

std::vector<moves::InFlightReport> VmAgent::collectInFlightReports() {
  std::shared_ptr<const ServingState> state = this->state();
  std::vector<moves::InFlightReport> reports;
  ++ReportSequence;
  for (const auto &[id, drain] : state->Records.Drains) {
    if (drain.State != config::DrainState::Running)
      continue;
    moves::InFlightReport report;
    report.Source = Identity.Vm;
    report.SourceIncarnation = Identity.Incarnation;
    report.Sequence = ReportSequence;
    report.Move = core::MoveId(id.Value);
    report.AppliedDrain = true;
    report.InFlight = inFlightOnDrained(drain, *state);
    reports.push_back(report);
  }
  return reports;
}

uint64_t VmAgent::inFlightOnDrained(const config::DrainRecord &drain,
                                    const ServingState &state) const {
  using config::DrainKind;
  bool covers = (drain.Kind == DrainKind::Vm && drain.Name == Identity.Vm.Value) ||
                (drain.Kind == DrainKind::Domain && drain.Name == Identity.Locality.Domain.Value) ||
                (drain.Kind == DrainKind::Region && drain.Name == Identity.Locality.Region.Value);
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

void VmAgent::onResponse(std::string_view attachment, core::Time now) {
  absl::StatusOr<LeaderReport> report = decodeLeaderReport(attachment);
  if (!report.ok())
    return;
  LeaderTerm = report->Term;
  if (!report->Crashes.empty())
    mergeCrashes(report->Crashes, now);
  if (!report->Excluded)
    return;
  std::set<core::VmId> excluded(report->Excluded->begin(), report->Excluded->end());
  if (excluded != Context.Excluded) {
    Context.Excluded = std::move(excluded);
    publish(now);
  }
}

void VmAgent::onLeaseGained(core::Time now) {
  Events.emit({core::EventId::LeaseGained, {{"version", Config.version().Value}}});
  Listener.onSlots();
}

void VmAgent::onLeaseLost(core::Time now) {
  Events.emit({core::EventId::LeaseLost, {{"version", Config.version().Value}}});
  Listener.onSlots();
}

void VmAgent::onGrantResponse(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<quota::GrantResponse> answer = quota::decodeGrantResponse(bytes);
  if (!answer.ok())
    return;
  Quota.receive(*answer, now);
  Listener.onGrants();
}

void VmAgent::onSlotsResponse(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<balance::SlotResponse> answer = balance::decodeSlotResponse(bytes);
  if (!answer.ok())
    return;
  Slots.receive(*answer, now);
  Listener.onSlots();
}

void VmAgent::onClaimResult(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<idempotency::ClaimResult> result = idempotency::decodeClaimResult(bytes);
  if (!result.ok())
    return;
  Claims.receive(*result, now);
  flushClaims();
}

void VmAgent::onCrashNotice(const core::VmId &from, std::string_view bytes, core::Time now) {
  mergeCrashes(bytes, now);
  Send(from, kind::CrashNoticeAck, encodeCrashNoticeAck(bytes));
}

void VmAgent::mergeCrashes(std::string_view bytes, core::Time now) {
  absl::StatusOr<balance::CrashReport> report = balance::decodeCrashReport(bytes);
  if (report.ok())
    Crashes.merge(*report, now);
}

void VmAgent::onCrashAck(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<balance::CrashReport> report = balance::decodeCrashReport(bytes);
  if (!report.ok())
    return;
  Crashes.merge(*report, now);
  Listener.onCrashAck(Crashes.lastOwnCrash(*report));
}

void VmAgent::onCommandResult(const core::VmId &from, std::string_view bytes, core::Time now) {
  absl::StatusOr<core::Json> body = core::decodeCbor(bytes);
  if (!body.ok() || !body->is_object() || !body->contains("id") || !body->contains("outcome") ||
      !(*body)["id"].is_string() || !(*body)["outcome"].is_binary())
    return;
  absl::StatusOr<config::Outcome> outcome = config::decodeOutcome(bytesOf((*body)["outcome"]));
  if (outcome.ok())
    Commands.finish((*body)["id"].get<std::string>(), *outcome);
}

void VmAgent::startClaim(const idempotency::RequestStart &request, core::Time now) {
  Claims.start(request, now);
  flushClaims();
}

void VmAgent::dispatchFinished(uint64_t attempt, const idempotency::DispatchResult &result,
                               core::Time now) {
  Claims.dispatchFinished(attempt, result, now);
  flushClaims();
}

void VmAgent::flushClaims() {
  for (idempotency::ClaimAction &action : Claims.takeActions()) {
    if (auto *send = std::get_if<idempotency::SendCommand>(&action))
      sendToLeader(kind::Claim, idempotency::encode(send->Command));
    else
      Listener.onClaimAction(action);
  }
}

void VmAgent::sendCrashReport(core::Time now) {
  // After a leader change the VM may not know the new leader yet. Other voters ignore the report.
  std::set<core::VmId> voters(Identity.Voters.begin(), Identity.Voters.end());
  if (Leader)
    voters.insert(*Leader);
  const std::string report = balance::encode(Crashes.report(now));
  for (const core::VmId &voter : voters)
    Send(voter, kind::Crash, report);
}

void VmAgent::submit(const config::Command &command, core::Time deadline, core::Time now,
                     CommandRelay::Done done) {
  Commands.start(command, deadline, now, std::move(done));
}

} // namespace briarspar::daemon
