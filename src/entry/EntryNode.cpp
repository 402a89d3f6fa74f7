#include "entry/EntryNode.h"

#include "absl/strings/str_cat.h"
#include "core/Hash.h"
#include "core/Text.h"

#include <chrono>

namespace briarspar::entry {

namespace {

std::chrono::milliseconds chronoMs(core::Duration d) { return std::chrono::milliseconds(d.Ms); }

/// Maximum number of reports tracked while waiting for a reply.
constexpr size_t MaxOpenReports = 16;

/// Interval between samples of the demand for services.
constexpr core::Duration SampleInterval{1000};

/// Interval between samples of object hashes, which take 330 bytes per service. The number of
/// objects changes more slowly than the demand.
constexpr core::Duration ObjectSampleInterval{3000};

/// Maximum number of probes started in one sweep.
constexpr int ProbesPerSweep = 4;

/// Limits on the response to a health probe.
constexpr core::Duration ProbeTimeout{3000};
constexpr size_t MaxProbeBodyBytes = 64UL * 1024;

} // namespace

/// Health probe of an ejected target over a separate connection.
class EntryNode::Probe final : public http::ResponseListener,
                               public std::enable_shared_from_this<Probe> {
public:
  Probe(EntryNode &node, Pick target) : Node(node), Target(std::move(target)), Timeout(node.Io) {}

  void start() {
    Connection = std::make_shared<http::ClientConnection>(
        Node.Io, Node.Clock, Target.Host, Target.Port, http::ClientConnectionSettings{});
    http::Head head;
    head.Method = "GET";
    head.Target = Node.Context.Targets.healthPath(Target.Service);
    if (head.Target.empty())
      head.Target = "/";
    head.add("Host", absl::StrCat(Target.Host, ":", Target.Port));
    Timeout.expires_after(chronoMs(ProbeTimeout));
    Timeout.async_wait([self = weak_from_this()](const asio::error_code &ec) {
      // A target with a full queue lets probes wait.
      if (std::shared_ptr<Probe> probe = self.lock(); probe && !ec)
        probe->end(ProbeResult::Rejected, std::nullopt);
    });
    Connection->start(head, "", *this);
    Connection->finishRequest();
  }

  void onResponseHead(http::Head head) override {
    std::optional<std::string_view> id = head.find(Node.Context.Names.TargetId);
    if (id == std::optional<std::string_view>(Target.Id.Value))
      recordNotices(Node.Context, Target.Id, head, /*isDue=*/true, Node.Clock.now());
    Response = std::move(head);
  }

  void onResponseBody(std::string_view bytes) override {
    BodyBytes += bytes.size();
    if (BodyBytes > MaxProbeBodyBytes)
      end(ProbeResult::Failed, std::nullopt);
  }

  void onResponseEnd() override {
    std::optional<std::string_view> id = Response.find(Node.Context.Names.TargetId);
    std::optional<std::string_view> value = Response.find(Node.Context.Names.ColdRemaining);
    std::optional<core::Duration> cold;
    if (std::optional<double> ms = core::parseNumber<double>(value.value_or("")))
      cold = core::Duration{static_cast<int64_t>(*ms)};
    else if (!value && Response.Status == 200)
      cold = core::Duration{0}; // A healthy target without this header is not cold.
    end(id && *id != Target.Id.Value ? ProbeResult::Failed
        : Response.Status == 200     ? ProbeResult::Passed
                                     : ProbeResult::Rejected,
        cold);
  }

  void onConnectionLost(http::ConnectionLoss) override { end(ProbeResult::Failed, std::nullopt); }

private:
  void end(ProbeResult result, std::optional<core::Duration> cold) {
    auto self = shared_from_this();
    if (std::exchange(Ended, true))
      return;
    Timeout.cancel();
    Connection->close();
    Node.Context.Targets.recordProbe(Target.Id, result, cold, Node.Clock.now());
    Node.checkDoubts();
    if (result == ProbeResult::Passed)
      Node.Events.emit({core::EventId::TargetReturned,
                        {{"target", Target.Id},
                         {"cold_ms", cold.value_or(core::Duration{0})},
                         {"service", Target.Service}}});
    Node.Probes.erase(self);
  }

  EntryNode &Node;
  const Pick Target;
  std::shared_ptr<http::ClientConnection> Connection;
  asio::steady_timer Timeout;
  http::Head Response;
  size_t BodyBytes = 0;
  bool Ended = false;
};

EntryNode::EntryNode(asio::io_context &io, const core::Clock &clock, core::EventSink &events,
                     transport::Transport &transport, const EntryNodeSettings &settings)
    : Io(io), Clock(clock), Events(events), Peers(transport), Settings(settings),
      Context{
          settings.Names,
          {},
          nullptr,
          {},
          RateLimiter({settings.Location.Vm, settings.Location.Region, settings.Location.Domain},
                      [this](const core::VmId &to, const link::RateRequest &ask) {
                        sendRateRequest(to, ask);
                      }),
          RetryAfterPolicy(clock.now()),
          RetryBudget(),
          TargetTable(settings.Location, settings.Selection),
          balance::CrashGuard(
              core::hash64(settings.Location.Vm.Value, static_cast<uint64_t>(clock.now().Ms))),
          &events,
          0,
          0},
      Pool(
          io, clock, settings.Names.RequestId, &events,
          [this](const core::TargetId &target, const http::Head &head, bool isDue) {
            recordNotices(Context, target, head, isDue, Clock.now());
          },
          [this](const core::TargetId &target, core::Time lastHeard, bool isSilent) {
            Context.Targets.recordConnectionEnded(target, lastHeard, isSilent, Clock.now());
            startDoubtTimer();
          }),
      ReadyServer(
          io, events,
          [this](const http::BufferedRequest &, const http::BufferedServer::Responder &respond) {
            http::BufferedResponse answer;
            answer.Status = isServing() && !Stopping ? 200 : 503;
            respond(answer);
          }),
      CallerConnections(io, events,
                        [this](asio::ip::tcp::socket socket) { acceptCaller(std::move(socket)); }),
      Reports(settings.Location.Vm, settings.Reports), ReportTimer(io), SweepTimer(io),
      DoubtTimer(io), RateTimer(io), Seeds(settings.Seeds) {
  ControlVms.insert(Seeds.begin(), Seeds.end());
}

EntryNode::~EntryNode() = default;

absl::Status EntryNode::start() {
  if (absl::Status status = CallerConnections.start(Settings.Callers.Host, Settings.Callers.Port);
      !status.ok())
    return status;
  if (absl::Status status = ReadyServer.start(Settings.Ready.Host, Settings.Ready.Port);
      !status.ok())
    return status;
  report();
  sweep();
  return absl::OkStatus();
}

void EntryNode::setSeeds(const std::vector<core::VmId> &seeds) {
  Seeds = seeds;
  ControlVms.insert(seeds.begin(), seeds.end());
}

void EntryNode::acceptCaller(asio::ip::tcp::socket socket) {
  auto session = std::make_shared<CallerSession>(
      Io, std::move(socket), Clock, Context, Pool,
      [this](const std::shared_ptr<CallerSession> &it) { Sessions.erase(it); });
  Sessions.insert(session);
  session->start();
  if (Stopping)
    session->startStopping(/*closeIdle=*/false);
}

void EntryNode::report() {
  // Started first, so that an unexpected exception does not end the reports.
  ReportTimer.expires_after(chronoMs(Reports.next(isServing())));
  ReportTimer.async_wait([this](const asio::error_code &ec) {
    if (!ec)
      report();
  });
  link::EntryReport brief = makeReport(/*full=*/false);
  link::EntryReport full = makeReport(/*full=*/true);
  std::string briefBytes = encode(brief);
  std::string fullBytes = encode(full);
  bool knowsLeader = !Leader.empty() && !LeaderLost;
  std::pair<bool, bool> state{isServing(), Stopping};
  bool isBriefDue = std::exchange(BriefReportState, state) != state;
  if (++ReportsSinceBriefReport >= Settings.BriefReportEvery)
    isBriefDue = true;
  if (isBriefDue)
    ReportsSinceBriefReport = 0;
  for (const core::VmId &vm : ControlVms) {
    Peers.setAddress(vm, {vm.Value, Settings.PeerPort});
    if (!knowsLeader || vm == Leader)
      Peers.send(vm, link::kind::Report, fullBytes);
    else if (isBriefDue)
      Peers.send(vm, link::kind::Report, briefBytes);
  }
}

void EntryNode::reportSoon() {
  ReportTimer.expires_after(chronoMs(Settings.SoonInterval));
  ReportTimer.async_wait([this](const asio::error_code &ec) {
    if (!ec)
      report();
  });
}

link::EntryReport EntryNode::makeReport(bool full) {
  core::Time now = Clock.now();
  link::EntryReport report;
  if (full) {
    ++Sequence;
    SentAt[Sequence] = now;
    while (SentAt.size() > MaxOpenReports)
      SentAt.erase(SentAt.begin());
  }
  report.Sequence = full ? Sequence : 0;
  report.Region = Settings.Location.Region;
  report.Domain = Settings.Location.Domain;
  report.Address = absl::StrCat(Settings.Callers.Host, ":", Settings.Callers.Port);
  report.Serving = isServing();
  report.Stopping = Stopping;
  report.LeaderTerm = LeaderTerm;
  report.Catalog = Catalog.changedAt();
  report.ListEpoch = List.version().Epoch;
  report.ListSequence = List.version().Sequence;
  report.EntriesDigest = Entries.digest();
  if (full) {
    report.Usage = Context.Rates.uses(now);
    report.Versions = Context.Targets.versionCounts();
    report.Loads = Context.Targets.takeLoads();
    if (now - SampledAt >= SampleInterval) {
      SampledAt = now;
      bool withObjects = now - ObjectsSampledAt >= ObjectSampleInterval;
      if (withObjects)
        ObjectsSampledAt = now;
      report.Services = Context.Targets.serviceSamples(now, withObjects);
    }
    balance::CrashReport crashes = Context.Crashes.report(now);
    if (!crashes.Entries.empty())
      report.Crashes = balance::encode(crashes);
  }
  return report;
}

void EntryNode::sweep() {
  SweepTimer.expires_after(chronoMs(Settings.SweepInterval));
  SweepTimer.async_wait([this](const asio::error_code &ec) {
    if (!ec)
      sweep();
  });
  core::Time now = Clock.now();
  auto sessions = Sessions;
  for (const std::shared_ptr<CallerSession> &it : sessions)
    it->sweep(now);
  Pool.sweep();
  for (const TargetTable::Ejection &it : Context.Targets.takeEjections())
    Events.emit({core::EventId::TargetUnhealthy,
                 {{"target", it.Target},
                  {"service", it.Service},
                  {"for_ms", it.Span},
                  {"load", it.Load},
                  {"failure_share", it.FailureShare},
                  {"list", Context.ListVersion}}});
  for (const TargetTable::ColdStart &it : Context.Targets.takeColdStarts())
    Events.emit({core::EventId::TargetCold,
                 {{"target", it.Target},
                  {"for_ms", it.Remaining},
                  {"by", nameOf(it.Evidence)},
                  {"list", Context.ListVersion}}});
  for (const core::VmId &vm : Context.Rates.takeUnresponsive())
    Events.emit({core::EventId::RateHolderSilent, {{"vm", vm}, {"entries", Entries.digest()}}});
  checkDoubts();
  if (!LeaderLost && now - LeaderHeard > Settings.ControlTimeout) {
    LeaderLost = true;
    Context.RetryAfter.setLeaderKnown(false);
    Context.Targets.setControlLost(LeaderHeard);
    Events.emit(
        {core::EventId::ControlLost, {{"leader", Leader}, {"silent_ms", now - LeaderHeard}}});
  }
  if (Stopping)
    continueStop();
}

void EntryNode::probe() {
  for (int i = 0; i < ProbesPerSweep; ++i) {
    std::optional<Pick> target = Context.Targets.nextProbe(Clock.now());
    if (!target)
      return;
    auto it = std::make_shared<Probe>(*this, *std::move(target));
    Probes.insert(it);
    it->start();
  }
}

/// Tells the leader of processes that may have ended, and asks those that are due.
void EntryNode::checkDoubts() {
  const core::Time now = Clock.now();
  std::vector<link::ProcessNotice> notices = Context.Targets.takeProcessNotices(
      [this](const std::string &host, uint16_t port, core::Time openedBy) {
        return Pool.isOpen(host, port, openedBy);
      },
      now);
  if (!notices.empty() && !Leader.empty())
    Peers.send(Leader, link::kind::ProcessNotices, encode(link::ProcessNotices{notices}));
  probe();
  startDoubtTimer();
}

void EntryNode::startDoubtTimer() {
  if (!Context.Targets.hasOpenDoubts(Clock.now()) || std::exchange(DoubtTimerRuns, true))
    return;
  DoubtTimer.expires_after(chronoMs(Settings.DoubtInterval));
  DoubtTimer.async_wait([this](const asio::error_code &ec) {
    DoubtTimerRuns = false;
    if (!ec)
      checkDoubts();
  });
}

void EntryNode::onProcessNotices(const transport::PeerMessage &message) {
  absl::StatusOr<link::ProcessNotices> notices = link::decodeProcessNotices(message.Body);
  if (!notices.ok()) {
    rejectMessage(message.From, notices.status());
    return;
  }
  Context.Targets.applyProcessNotices(notices->Notices, Clock.now());
  Events.emit({core::EventId::ProcessNoticesReceived,
               {{"notices", notices->Notices.size()}, {"leader", message.From}}});
}

void EntryNode::onMessage(const transport::PeerMessage &message) {
  if (message.Kind == link::kind::RateRequest)
    onRateRequest(message);
  if (message.Kind == link::kind::RatePermit)
    onRatePermit(message);
  if (message.Kind == link::kind::ProcessNotices)
    onProcessNotices(message);
  if (message.Kind != link::kind::Response)
    return;
  absl::StatusOr<link::ControlResponse> answer = link::decodeControlResponse(message.Body);
  if (!answer.ok()) {
    rejectMessage(message.From, answer.status());
    return;
  }
  ControlVms.insert(answer->Members.begin(), answer->Members.end());
  // A reply of a deposed leader may arrive late.
  if (!answer->IsLeader || answer->LeaderTerm < LeaderTerm)
    return;
  LeaderTerm = answer->LeaderTerm;
  onLeaderHeard(message.From);
  onResponse(*answer);
}

void EntryNode::rejectMessage(const core::VmId &peer, const absl::Status &status) {
  Events.emit({core::EventId::PeerMessageRejected,
               {{"peer", peer}, {"reason", std::string(status.message())}}});
}

void EntryNode::sendRateRequest(const core::VmId &to, const link::RateRequest &ask) {
  Peers.setAddress(to, {to.Value, Settings.PeerPort});
  Peers.send(to, link::kind::RateRequest, encode(ask));
  startRateTimer();
}

void EntryNode::startRateTimer() {
  std::optional<core::Time> wakeAt = Context.Rates.wakeAt();
  if (!wakeAt || std::exchange(RateTimerRuns, true))
    return;
  RateTimer.expires_after(chronoMs(*wakeAt - Clock.now()));
  RateTimer.async_wait([this](const asio::error_code &ec) {
    RateTimerRuns = false;
    if (ec)
      return;
    Context.Rates.onTimer(Clock.now());
    startRateTimer();
  });
}

void EntryNode::onRateRequest(const transport::PeerMessage &message) {
  absl::StatusOr<link::RateRequest> ask = link::decodeRateRequest(message.Body);
  if (!ask.ok()) {
    rejectMessage(message.From, ask.status());
    return;
  }
  link::RatePermit permit = Context.Rates.answer(*ask, Clock.now());
  if (permit.Sequence != 0)
    Peers.send(message.From, link::kind::RatePermit, encode(permit));
}

void EntryNode::onRatePermit(const transport::PeerMessage &message) {
  absl::StatusOr<link::RatePermit> permit = link::decodeRatePermit(message.Body);
  if (permit.ok())
    Context.Rates.onPermit(message.From, *permit, Clock.now());
  else
    rejectMessage(message.From, permit.status());
}

void EntryNode::onLeaderHeard(const core::VmId &leader) {
  LeaderHeard = Clock.now();
  if (Leader == leader && !LeaderLost)
    return;
  Leader = leader;
  LeaderLost = false;
  Context.RetryAfter.setLeaderKnown(true);
  Context.Targets.setControlLost(std::nullopt);
  // The leader before may not have passed them on.
  Context.Targets.repeatProcessNotices(Clock.now());
  startDoubtTimer();
  Events.emit({core::EventId::LeaderChanged, {{"leader", leader}}});
}

void EntryNode::onResponse(const link::ControlResponse &answer) {
  core::Time now = Clock.now();
  if (!answer.Members.empty()) {
    ControlVms.clear();
    ControlVms.insert(Seeds.begin(), Seeds.end());
    ControlVms.insert(answer.Members.begin(), answer.Members.end());
  }
  if (!answer.CatalogDelta.empty())
    applyCatalog(answer.CatalogDelta);
  if (!answer.ListDelta.empty())
    applyList(answer.ListDelta);
  // A change that starts from another list is ignored; the next report names the list held.
  if (!answer.Entries.empty() && Entries.apply(answer.Entries)) {
    Context.Targets.setEntries(Entries.entries());
    Context.Retries.setEntries(Entries.entries().size());
    if (Context.Rates.setEntries(Entries.entries(), now))
      reportSoon();
  }
  // A new leader does not know the demand at first; until then the last known demand is used.
  if (!answer.Demand.empty())
    Context.Targets.setDemand(answer.Demand);
  Context.Targets.setBusyTargets(answer.Busy, now);
  auto sent = SentAt.find(answer.Sequence);
  if (sent != SentAt.end()) {
    Context.Rates.setShares(answer.Shares, sent->second, now);
    Context.RetryAfter.onShares(answer.Shares, now);
    SentAt.erase(SentAt.begin(), std::next(sent));
  }
  if (!answer.Crashes.empty()) {
    absl::StatusOr<balance::CrashReport> crashes = balance::decodeCrashReport(answer.Crashes);
    if (crashes.ok())
      Context.Crashes.merge(*crashes, now);
    else
      rejectMessage(Leader, crashes.status());
  }
  if (isServing() && !WasServing) {
    WasServing = true;
    Events.emit({core::EventId::EntryServing,
                 {{"catalog", Catalog.changedAt()}, {"targets", List.targets().size()}}});
  }
}

void EntryNode::applyCatalog(std::string_view bytes) {
  core::LogIndex before = Catalog.changedAt();
  absl::StatusOr<core::Json> delta = core::decodeCbor(bytes);
  absl::Status status = delta.ok() ? Catalog.applyDelta(*delta) : delta.status();
  if (!status.ok()) {
    rejectMessage(Leader, status);
    return;
  }
  if (Catalog.changedAt() == before)
    return;
  core::Time now = Clock.now();
  Context.Routes = std::make_shared<const RouteTable>(Catalog);
  for (const auto &[name, held] : Catalog.limits())
    if (held.Value)
      Context.Limits = *held.Value;
  Context.Rates.setLimits(Catalog.customers(), now);
  Context.Targets.setCatalog(Catalog, now);
  Context.CatalogVersion = Catalog.changedAt().Value;
  Events.emit({core::EventId::ConfigApplied, {{"from", before}, {"to", Catalog.changedAt()}}});
}

void EntryNode::applyList(std::string_view bytes) {
  uint64_t before = List.version().Sequence;
  absl::StatusOr<core::Json> delta = core::decodeCbor(bytes);
  absl::Status status = delta.ok() ? List.applyDelta(*delta, Clock.now()) : delta.status();
  if (!status.ok()) {
    rejectMessage(Leader, status);
    return;
  }
  Context.Targets.setTargets(List, Clock.now());
  Context.ListVersion = List.version().Sequence;
  Events.emit({core::EventId::TargetListApplied,
               {{"epoch", List.version().Epoch},
                {"from", before},
                {"to", List.version().Sequence},
                {"targets", List.targets().size()}}});
}

bool EntryNode::isServing() const {
  return Context.Routes != nullptr && Context.Targets.hasTargets();
}

void EntryNode::stop(std::function<void()> done) {
  if (Stopping)
    return;
  Stopping = true;
  StopStart = Clock.now();
  Stopped = std::move(done);
  report();
  auto sessions = Sessions;
  for (const std::shared_ptr<CallerSession> &it : sessions)
    it->startStopping(/*closeIdle=*/false);
}

void EntryNode::continueStop() {
  core::Duration since = Clock.now() - StopStart;
  if (Accepting && since > Settings.StopAcceptTime) {
    Accepting = false;
    CallerConnections.stopAfterPending();
    auto sessions = Sessions;
    for (const std::shared_ptr<CallerSession> &it : sessions)
      it->startStopping(/*closeIdle=*/true);
  }
  bool done = !Accepting && Sessions.empty();
  if ((done || since > Settings.StopTimeout) && Stopped)
    std::exchange(Stopped, nullptr)();
}

} // namespace briarspar::entry
