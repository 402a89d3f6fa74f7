#include "control/ControlNode.h"

#include "absl/strings/str_cat.h"
#include "agreement/Messages.h"
#include "core/Hash.h"
#include "link/Messages.h"

#include <asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <random>

namespace briarspar::control {

namespace {

/// Data incarnation of the initial voters, which they all know without exchanging messages.
constexpr core::Incarnation InitialData{1};

uint64_t wallClockMs() {
  using namespace std::chrono;
  return static_cast<uint64_t>(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

int httpStatus(const absl::Status &status) {
  switch (status.code()) {
  case absl::StatusCode::kOk:
    return 200;
  case absl::StatusCode::kInvalidArgument:
    return 400;
  case absl::StatusCode::kAlreadyExists:
    return 409;
  default:
    return 503;
  }
}

} // namespace

class ControlNode::Random final : public agreement::RandomSource {
public:
  uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine{std::random_device{}()};
};

ControlNode::ControlNode(asio::io_context &io, const core::Clock &clock, core::EventSink &events,
                         transport::Transport &transport, const OperatorFormat &format,
                         const discovery::ListFormat &listFormat,
                         const ControlNodeSettings &settings)
    : Io(io), Clock(clock), Events(events), Peers(transport), Format(format), Settings(settings),
      Randomness(std::make_unique<Random>()),
      OperatorServer(io, events,
                     [this](const http::BufferedRequest &request, const Responder &respond) {
                       onHttp(request, respond);
                     }),
      LookupServer(io, events,
                   [this](const http::BufferedRequest &request, const Responder &respond) {
                     onHttp(request, respond);
                   }),
      TickTimer(io), NoticeTimer(io), Targets(listFormat, settings.Targets),
      Responses(Machine.catalog(), Targets.targets(), Entries,
                core::hash64(settings.Vm.Value, wallClockMs())),
      Fetch(
          io, clock, settings.ListHost, settings.ListPort,
          [this](int status, const std::string &body) { onListPage(status, body); },
          [this] {
            Events.emit(
                {core::EventId::ListFailed, {{"reason", "connection to the target list lost"}}});
            Targets.onFailure(Clock.now());
          }) {}

ControlNode::~ControlNode() = default;

absl::Status ControlNode::start() {
  if (absl::Status status = OperatorServer.start(Settings.Host, Settings.OperatorPort);
      !status.ok())
    return status;
  if (Settings.LookupPort != Settings.OperatorPort)
    if (absl::Status status = LookupServer.start(Settings.Host, Settings.LookupPort); !status.ok())
      return status;
  absl::Status status = openMember();
  if (absl::IsDataLoss(status))
    return status;
  if (!status.ok())
    Events.emit({core::EventId::StorageFailed, {{"reason", std::string(status.message())}}});
  tick();
  return absl::OkStatus();
}

absl::Status ControlNode::openMember() {
  LastOpen = Clock.now();
  if (Storage == nullptr)
    if (absl::Status status = openStorage(); !status.ok())
      return status;
  agreement::GroupMemberSettings settings;
  settings.Vm = Settings.Vm;
  settings.Replica = Settings.Replica;
  settings.ReopenInterval = Settings.ReopenInterval;
  settings.Removal.BorneLosses = Settings.BorneLosses;
  auto member = std::make_unique<agreement::GroupMember>(settings, *Storage, Machine, *Randomness);
  member->setSeeds(Settings.Seeds);
  if (absl::Status status = member->open(Clock.now()); !status.ok())
    return status;
  Member = std::move(member);
  return absl::OkStatus();
}

absl::Status ControlNode::openStorage() {
  auto storage = agreement::FileLogStorage::open(Files, Settings.DataFolder);
  if (absl::IsNotFound(storage.status())) {
    bool isSeed = std::find(Settings.Seeds.begin(), Settings.Seeds.end(), Settings.Vm) !=
                  Settings.Seeds.end();
    bool isInitialVoter = Settings.Bootstrap && isSeed;
    agreement::VoterId self{Settings.Vm,
                            isInitialVoter ? InitialData : core::Incarnation(wallClockMs())};
    std::set<agreement::VoterId> voters;
    for (const core::VmId &it : Settings.Seeds)
      voters.insert({it, InitialData});
    agreement::Configuration initial = agreement::makeConfiguration(voters);
    absl::Status status = agreement::FileLogStorage::initialize(
        Files, Settings.DataFolder, {Settings.Group, self}, isInitialVoter ? &initial : nullptr);
    if (!status.ok())
      return status;
    storage = agreement::FileLogStorage::open(Files, Settings.DataFolder);
  }
  if (!storage.ok())
    return storage.status();
  Storage = *std::move(storage);
  return absl::OkStatus();
}

void ControlNode::setSeeds(const std::vector<core::VmId> &seeds) {
  Settings.Seeds = seeds;
  if (Member != nullptr)
    Member->setSeeds(seeds);
}

void ControlNode::stop() {
  OperatorServer.stop();
  LookupServer.stop();
  TickTimer.cancel();
  Fetch.close();
}

void ControlNode::tick() {
  // Started first, so that an unexpected exception does not end the ticks.
  TickTimer.expires_after(std::chrono::milliseconds(Settings.Tick.Ms));
  TickTimer.async_wait([this](const asio::error_code &ec) {
    if (!ec)
      tick();
  });
  core::Time now = Clock.now();
  if (Member == nullptr) {
    if (now - LastOpen < Settings.ReopenInterval || !openMember().ok())
      return;
    Events.emit({core::EventId::StorageReopened, {{"last", Member->replica().lastIndex()}}});
  }
  Member->tick(now);
  flush();
  for (const LostEntry &it : Entries.takeLost(now)) {
    Events.emit({core::EventId::EntryLost, {{"vm", it.Vm}, {"silent_ms", it.Silent}}});
    if (isLeading(now))
      notifyUnreachable(it);
  }
  if (isLeading(now))
    lead(now);
  else
    Leading = false;
  readList(now);
}

void ControlNode::notifyUnreachable(const LostEntry &lost) {
  std::string bytes = encode(link::EntryUnreachable{lost.Vm, lost.Run});
  for (const core::VmId &vm : Member->members())
    if (vm != Settings.Vm)
      Peers.send(vm, link::kind::EntryUnreachable, bytes);
}

bool ControlNode::isLeading(core::Time now) const {
  return Member != nullptr && Member->isLeading(now);
}

/// Between winning an election and the next tick, a leader has not yet taken over.
bool ControlNode::hasTakenOver(core::Time now) const { return Leading && isLeading(now); }

void ControlNode::lead(core::Time now) {
  if (!Leading) {
    Leading = true;
    ProcessNotices.clear();
    Responses.becomeLeader(Member->replica().term(), Machine.entries(), now);
    Evaluator.becomeLeader();
    RolloutPending.clear();
    Targets.becomeLeader(Member->replica().term(), now);
  }
  removeStaleEntries(now);
  evaluateRollouts(now);
}

void ControlNode::flush() {
  agreement::MemberActions actions = Member->takeActions();
  for (const agreement::Envelope &it : actions.Log.Messages)
    sendToMember(it.To.Vm, link::kind::Raft, agreement::encodeEnvelope(it));
  for (const agreement::MembershipMessage &it : actions.Membership)
    sendMembership(it);
  for (const core::Event &event : actions.Log.Events)
    Events.emit(event);
  Proposals.complete(actions.Log.Results);
  if (Leading && LastPushed < Machine.catalog().changedAt()) {
    Responses.updateRates();
    pushToEntries();
  }
}

void ControlNode::sendMembership(const agreement::MembershipMessage &message) {
  const auto &[vm, data] = message.Subject;
  if (message.What == agreement::MembershipMessage::Kind::Join)
    sendToMember(message.To, link::kind::Join, encode(link::JoinRequest{vm, data}));
  else
    sendToMember(message.To, link::kind::Retired,
                 encode(link::RetiredNotice{vm, data, message.Newest}));
}

void ControlNode::sendToMember(const core::VmId &vm, std::string_view kind,
                               const std::string &bytes) {
  Peers.setAddress(vm, {vm.Value, Settings.PeerPort});
  Peers.send(vm, kind, bytes);
}

void ControlNode::onMessage(const transport::PeerMessage &message) {
  core::Time now = Clock.now();
  if (message.Kind == link::kind::Report) {
    if (Member == nullptr)
      return;
    Reports.push(message);
    processReports();
    return;
  }
  if (message.Kind == link::kind::ProcessNotices) {
    onProcessNotices(message);
    return;
  }
  LastContact[message.From] = now;
  if (Member == nullptr)
    return;
  if (message.Kind == link::kind::Raft) {
    absl::StatusOr<agreement::Envelope> envelope = agreement::decodeEnvelope(message.Body);
    if (!envelope.ok()) {
      rejectMessage(message.From, envelope.status());
      return;
    }
    Member->receive(*envelope, now);
    flush();
  } else if (message.Kind == link::kind::EntryUnreachable) {
    absl::StatusOr<link::EntryUnreachable> notice = link::decodeEntryUnreachable(message.Body);
    if (notice.ok())
      Entries.markUnreachable(*notice);
    else
      rejectMessage(message.From, notice.status());
  } else if (message.Kind == link::kind::Retired) {
    absl::StatusOr<link::RetiredNotice> notice = link::decodeRetiredNotice(message.Body);
    if (!notice.ok()) {
      rejectMessage(message.From, notice.status());
      return;
    }
    Member->onRetired(message.From, {notice->Vm, notice->Data}, notice->Newest,
                      core::Incarnation(wallClockMs()), now);
    flush();
  } else if (message.Kind == link::kind::Join) {
    absl::StatusOr<link::JoinRequest> request = link::decodeJoinRequest(message.Body);
    if (!request.ok()) {
      rejectMessage(message.From, request.status());
      return;
    }
    Member->onJoin(message.From, {request->Vm, request->Data}, now);
    flush();
  }
}

void ControlNode::rejectMessage(const core::VmId &peer, const absl::Status &status) {
  Events.emit({core::EventId::PeerMessageRejected,
               {{"peer", peer}, {"reason", std::string(status.message())}}});
}

void ControlNode::onProcessNotices(const transport::PeerMessage &message) {
  absl::StatusOr<link::ProcessNotices> notices = link::decodeProcessNotices(message.Body);
  if (!notices.ok()) {
    rejectMessage(message.From, notices.status());
    return;
  }
  if (Member == nullptr || !isLeading(Clock.now()))
    return;
  const bool isWaiting = ProcessNotices.hasPending();
  ProcessNotices.receive(notices->Notices, Clock.now());
  if (isWaiting || !ProcessNotices.hasPending())
    return;
  NoticeTimer.expires_after(std::chrono::milliseconds(Settings.NoticeDelay.Ms));
  NoticeTimer.async_wait([this](const asio::error_code &ec) {
    if (!ec)
      passOnProcessNotices();
  });
}

void ControlNode::passOnProcessNotices() {
  const core::Time now = Clock.now();
  const link::ProcessNotices notices{ProcessNotices.take(now)};
  if (notices.Notices.empty() || !isLeading(now))
    return;
  const std::string bytes = encode(notices);
  for (const core::VmId &vm : Entries.live(now))
    Peers.send(vm, link::kind::ProcessNotices, bytes);
}

void ControlNode::processReports() {
  if (ReportsScheduled || Reports.size() == 0)
    return;
  ReportsScheduled = true;
  // One report at a time: messages of the agreement group that arrive meanwhile come first.
  asio::post(Io, [this] {
    ReportsScheduled = false;
    std::optional<transport::PeerMessage> report = Reports.pop();
    processReports();
    if (report)
      onReport(*report);
  });
}

void ControlNode::onReport(const transport::PeerMessage &message) {
  core::Time now = Clock.now();
  absl::StatusOr<link::EntryReport> report = link::decodeEntryReport(message.Body);
  if (!report.ok()) {
    rejectMessage(message.From, report.status());
    return;
  }
  const bool isNewEntry = Entries.report(message.From, message.FromIncarnation, *report, now);
  if (isNewEntry)
    Events.emit(
        {core::EventId::EntryJoined,
         {{"vm", message.From}, {"address", report->Address}, {"run", message.FromIncarnation}}});
  Responses.recordSyncedVersions(message.From, message.FromIncarnation, *report, now);
  link::ControlResponse answer = makeResponse(message.From, now);
  answer.Sequence = report->Sequence;
  if (answer.IsLeader && report->Sequence != 0) {
    bool isListed = Machine.entries().count(message.From) != 0;
    if (!isListed)
      proposeEntry(message.From, true);
    Evaluator.report(message.From, message.FromIncarnation, report->Versions);
    absl::Status status = Responses.addReply(answer, message.From, message.FromIncarnation, *report,
                                             /*mayHoldShares=*/isListed, now);
    if (Responses.claimSlowUpdate(message.From, message.FromIncarnation, now)) {
      Responses.addDemand(answer, now);
      std::set<core::VmId> vms = Member->members();
      answer.Members.assign(vms.begin(), vms.end());
    }
    if (!status.ok())
      rejectMessage(message.From, status);
  }
  // A follower responds only to VMs that do not know the leader.
  if (answer.IsLeader || report->Sequence != 0)
    Peers.send(message.From, link::kind::Response, Responses.encodeFor(message.From, answer, now));
  // After the target list, without which the VM can't tell what the notices are about.
  if (isNewEntry && answer.IsLeader)
    if (link::ProcessNotices notices{ProcessNotices.current(now)}; !notices.Notices.empty())
      Peers.send(message.From, link::kind::ProcessNotices, encode(notices));
}

link::ControlResponse ControlNode::makeResponse(const core::VmId &vm, core::Time now) {
  link::ControlResponse answer;
  answer.IsLeader = isLeading(now);
  answer.LeaderTerm = Member->replica().term();
  if (answer.IsLeader) {
    Responses.addChanges(answer, vm, now);
  } else {
    std::set<core::VmId> vms = Member->members();
    answer.Members.assign(vms.begin(), vms.end());
  }
  return answer;
}

void ControlNode::proposeEntry(const core::VmId &vm, bool present) {
  if (!PendingEntries.insert(vm).second)
    return;
  absl::StatusOr<core::LogIndex> index =
      Member->replica().propose(encode(Command(SetEntry{vm, present})), Clock.now());
  if (!index.ok()) {
    PendingEntries.erase(vm);
    return;
  }
  Proposals.add(*index,
                [this, vm](const absl::StatusOr<std::string> &) { PendingEntries.erase(vm); });
  flush();
}

void ControlNode::removeStaleEntries(core::Time now) {
  if (!Responses.isSettled(now))
    return;
  for (const core::VmId &vm : Machine.entries())
    if (Entries.records().count(vm) == 0) {
      proposeEntry(vm, false);
      return; // The set may have changed; iterators are invalid.
    }
}

void ControlNode::pushToEntries() {
  core::Time now = Clock.now();
  if (!isLeading(now))
    return;
  LastPushed = Machine.catalog().changedAt();
  for (const core::VmId &vm : Entries.live(now)) {
    link::ControlResponse answer = makeResponse(vm, now);
    if (answer.CatalogDelta.empty() && answer.ListDelta.empty())
      continue;
    // No retransmission here: a later report names the versions that arrived, and its response
    // contains the missing changes.
    Peers.send(vm, link::kind::Response, Responses.encodeFor(vm, answer, now));
  }
}

void ControlNode::readList(core::Time now) {
  if (std::optional<std::string> target = Targets.next(hasTakenOver(now), now))
    Fetch.request(*target);
}

void ControlNode::onListPage(int status, const std::string &body) {
  core::Time now = Clock.now();
  absl::StatusOr<std::optional<ListChange>> change =
      Targets.onPage(status, body, hasTakenOver(now), now);
  if (!change.ok()) {
    Events.emit({core::EventId::ListFailed, {{"reason", std::string(change.status().message())}}});
    return;
  }
  if (!*change)
    return;
  Events.emit({core::EventId::ListRead,
               {{"sequence", Targets.targets().version().Sequence},
                {"targets", Targets.targets().targets().size()},
                {"before", (*change)->Before},
                {"left_out", (*change)->Skipped},
                {"draining_only", (*change)->DrainingOnly}}});
  pushToEntries();
}

void ControlNode::evaluateRollouts(core::Time now) {
  for (const auto &[service, rollout] : Machine.catalog().rollouts()) {
    if (RolloutPending[service])
      continue;
    bool hasTargets = false;
    for (const auto &[id, target] : Targets.targets().targets())
      hasTargets = hasTargets || (target.Service == service &&
                                  target.Version.Value == rollout.Target && !target.Draining);
    std::optional<RolloutEvaluator::Step> step = Evaluator.next(rollout, hasTargets, now);
    if (!step)
      continue;
    Events.emit({core::EventId::RolloutJudged,
                 {{"service", service},
                  {"target", rollout.Target},
                  {"share", step->SharePermille},
                  {"state", static_cast<int>(step->State)},
                  {"reason", step->Reason},
                  {"requests", step->NewRequests},
                  {"failures", step->NewFailures},
                  {"elapsed_ms", step->Elapsed}}});
    absl::StatusOr<core::LogIndex> index = Member->replica().propose(
        encode(Command(StepRollout{service, rollout.OrderedAt, step->State, step->SharePermille,
                                   step->Elapsed})),
        now);
    if (!index.ok())
      continue;
    RolloutPending[service] = true;
    Proposals.add(*index, [this, service = service](const absl::StatusOr<std::string> &) {
      RolloutPending[service] = false;
    });
    flush();
    return; // The catalog may have changed; iterators are invalid.
  }
}

std::string ControlNode::baselineVersion(const std::string &service,
                                         const std::string &except) const {
  std::map<std::string, size_t> counts;
  for (const auto &[id, target] : Targets.targets().targets())
    if (target.Service == service && target.Version.Value != except)
      ++counts[target.Version.Value];
  auto most = std::max_element(counts.begin(), counts.end(),
                               [](const auto &a, const auto &b) { return a.second < b.second; });
  return most == counts.end() ? "" : most->first;
}

void ControlNode::onHttp(const http::BufferedRequest &request, const Responder &respond) {
  core::Time now = Clock.now();
  OperatorCall call = Format.read(request.Head.Method, request.Head.Target, request.Body);
  if (const auto *it = std::get_if<LookupCall>(&call)) {
    answerLookup(*it, respond);
    return;
  }
  if (std::holds_alternative<UnknownCall>(call)) {
    respond({404, Format.writeError("unknown path or method"), "application/json", "", {0}});
    return;
  }
  if (!isLeading(now)) {
    redirect(request, respond);
    return;
  }
  const catalog::Catalog &catalog = Machine.catalog();
  if (const auto *it = std::get_if<InvalidCall>(&call)) {
    Events.emit({core::EventId::OrderRefused, {{"reason", it->Reason}}});
    respond({400, Format.writeError(it->Reason), "application/json", "", {0}});
  } else if (std::holds_alternative<ReadItemsCall>(call)) {
    respond({200, Format.writeItems(catalog), "application/json", "", {0}});
  } else if (const auto *it = std::get_if<ReadRolloutCall>(&call)) {
    auto rollout = catalog.rollouts().find(it->Service);
    if (rollout == catalog.rollouts().end())
      respond({404, Format.writeError("no rollout of this service"), "application/json", "", {0}});
    else
      respond({200, Format.writeRollout(rollout->second), "application/json", "", {0}});
  } else if (auto *it = std::get_if<ChangeItemsCall>(&call)) {
    propose(ChangeItems{std::move(it->Change)}, "items", respond);
  } else if (const auto *it = std::get_if<StartRolloutCall>(&call)) {
    propose(StartRollout{it->Service, baselineVersion(it->Service, it->Version), it->Version,
                         it->Period},
            absl::StrCat("rollout of ", it->Service, " to ", it->Version), respond);
  } else if (const auto *it = std::get_if<EvacuationCall>(&call)) {
    propose(
        SetEvacuation{it->Domain, it->Active},
        absl::StrCat(it->Active ? "evacuation of " : "end of the evacuation of ", it->Domain.Value),
        respond);
  }
}

void ControlNode::answerLookup(const LookupCall &call, const Responder &respond) {
  std::vector<std::string> addresses = Entries.lookup(call.Region, call.Domain, Clock.now());
  if (addresses.empty())
    respond({503, Format.writeError("no entry VM is serving"), "application/json", "",
             Settings.RetryAfterNoLeader});
  else
    respond({200, Format.writeLookup(addresses, Settings.LookupTtl), "application/json", "", {0}});
}

void ControlNode::propose(const Command &order, const std::string &what, const Responder &respond) {
  absl::StatusOr<core::LogIndex> index = Member->replica().propose(encode(order), Clock.now());
  if (!index.ok()) {
    Events.emit({core::EventId::OrderRefused,
                 {{"order", what}, {"reason", std::string(index.status().message())}}});
    respond({503, Format.writeError(std::string(index.status().message())), "application/json", "",
             Settings.RetryAfterNoLeader});
    return;
  }
  Proposals.add(
      *index, [this, what, respond, at = *index](const absl::StatusOr<std::string> &result) {
        absl::Status status = result.ok() ? decodeOutcome(*result) : result.status();
        Events.emit({status.ok() ? core::EventId::ItemsChanged : core::EventId::OrderRefused,
                     {{"order", what}, {"index", at}, {"reason", std::string(status.message())}}});
        http::BufferedResponse answer;
        answer.Status = httpStatus(status);
        answer.Body = status.ok() ? "{}" : Format.writeError(std::string(status.message()));
        respond(answer);
      });
  flush();
}

void ControlNode::redirect(const http::BufferedRequest &request, const Responder &respond) {
  std::optional<core::VmId> to = redirectTarget();
  if (!to) {
    std::string reason = takesPart() ? "no leader" : "the storage of this VM has failed";
    respond({503, Format.writeError(reason), "application/json", "", Settings.RetryAfterNoLeader});
    return;
  }
  respond({307,
           "",
           "application/json",
           absl::StrCat("http://", to->Value, ":", Settings.OperatorPort, request.Head.Target),
           {0}});
}

/// Returns the VM that can answer in place of this one: the leader, or, while this VM takes no part
/// in the group, the control VM that was heard last.
std::optional<core::VmId> ControlNode::redirectTarget() const {
  if (takesPart()) {
    std::optional<agreement::VoterId> leader = Member->replica().leaderHint();
    if (leader && leader->Vm != Settings.Vm)
      return leader->Vm;
    return std::nullopt;
  }
  auto latest = std::max_element(LastContact.begin(), LastContact.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; });
  bool isRecent =
      latest != LastContact.end() && Clock.now() - latest->second < Settings.ContactTimeout;
  return isRecent ? std::optional(latest->first) : std::nullopt;
}

} // namespace briarspar::control
