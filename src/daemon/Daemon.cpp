#include "daemon/Daemon.h"

#include "absl/strings/str_cat.h"
#include "agreement/FileLogStorage.h"
#include "agreement/PosixFileSystem.h"
#include "daemon/ControlNode.h"
#include "daemon/ControlThread.h"
#include "daemon/OperatorApi.h"
#include "daemon/RequestPipeline.h"
#include "forwarding/HttpServer.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"
#include "transport/Transport.h"

#include <pcg_random.hpp>

#include <random>
#include <thread>

namespace briarspar::daemon {

namespace {

constexpr core::Duration TickInterval{5};

/// Interval at which a planned stop checks for requests in progress.
constexpr std::chrono::milliseconds StopPollInterval{10};

/// Data incarnation of the initial voters of a group. Voters that join later use the wall clock
/// time, which is larger.
constexpr uint64_t BootstrapDataIncarnation = 1;

/// Returns the wall clock time. Used as the incarnation of a process, because no other clock
/// continues across restarts.
uint64_t wallClockMs() {
  using namespace std::chrono;
  return static_cast<uint64_t>(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

class SystemRandom final : public agreement::RandomSource {
public:
  uint64_t next() override { return Rng(); }

private:
  pcg64 Rng{pcg_extras::seed_seq_from<std::random_device>()};
};

agreement::VoterId firstIdentity(const core::VmId &vm) {
  return {vm, core::Incarnation(BootstrapDataIncarnation)};
}

agreement::Configuration firstConfiguration(const Settings &settings) {
  std::set<agreement::VoterId> voters;
  for (const PeerSettings &peer : settings.Peers)
    if (peer.Voter)
      voters.insert(firstIdentity(peer.Id));
  return agreement::makeConfiguration(voters);
}

/// Initializes a new data folder. Does nothing if it is already initialized.
absl::Status initializeFolder(agreement::FileSystem &files, const Settings &settings,
                              const StartOptions &options) {
  agreement::Identity owner;
  owner.Group = agreement::GroupId(settings.Group);
  owner.Self = {settings.Vm,
                core::Incarnation(options.Bootstrap ? BootstrapDataIncarnation : wallClockMs())};
  agreement::Configuration first = firstConfiguration(settings);
  absl::Status status = agreement::FileLogStorage::initialize(files, settings.DataFolder, owner,
                                                              options.Bootstrap ? &first : nullptr);
  return absl::IsAlreadyExists(status) ? absl::OkStatus() : status;
}

VmIdentity identityOf(const Settings &settings) {
  VmIdentity identity;
  identity.Vm = settings.Vm;
  identity.Incarnation = core::Incarnation(wallClockMs());
  identity.Locality = {settings.Region, settings.Domain};
  identity.LookupTtl = settings.LookupTtl;
  for (const PeerSettings &peer : settings.Peers)
    if (peer.Voter)
      identity.Voters.push_back(peer.Id);
  return identity;
}

} // namespace

class Daemon::Impl final : public VmAgentListener {
public:
  explicit Impl(const Settings &settings)
      : Options(settings), Identity(identityOf(settings)),
        Log(settings.Vm, {MaxEvents, settings.LogFile}),
        Timeline(settings.Vm, Log, Control, [this] { return knownVms(); }), Targets(Clock, {}) {}

  absl::Status open(const StartOptions &options) {
    absl::Status status = openStorage(options);
    if (!status.ok())
      return status;
    VoterDependencies parts;
    parts.Storage = Storage.get();
    parts.Random = &Random;
    parts.Leader.MaxLinkRequests = Options.MaxLinkRequests;
    Sender sender = [this](const core::VmId &to, std::string_view kind, std::string bytes) {
      if (Peers)
        Peers->send(to, kind, std::move(bytes));
    };
    Timeline.setSender(sender);
    absl::StatusOr<std::unique_ptr<ControlNode>> node = ControlNode::create(
        Identity, Storage ? &parts : nullptr, Clock, Log, sender,
        [this](uint64_t bound) { return bound == 0 ? 0 : Random.next() % bound; }, *this);
    if (!node.ok())
      return node.status();
    Node = *std::move(node);
    return absl::OkStatus();
  }

  absl::Status start() {
    buildTraffic();
    absl::Status status = startPeers();
    if (status.ok())
      status = startHttp();
    if (!status.ok())
      return status;
    Control.start(TickInterval, [this] { onTick(); });
    Log.emit({core::EventId::ProcessStarted,
              {{"incarnation", Identity.Incarnation.Value},
               {"caller_port", Callers->port()},
               {"operator_port", Operators->port()},
               {"peer_port", Peers->port()}}});
    return absl::OkStatus();
  }

  void drainAndStop(const std::function<bool()> &abort) {
    Log.emit({core::EventId::ProcessStopping, core::Json::object()});
    Control.post([this] { Node->vm().setDraining(true); });
    Callers->closeAfterResponses();
    // Callers cache lookups for the TTL, so this VM serves until the cached ones have expired.
    waitUntil(Clock.now() + Options.LookupTtl + Options.DrainGrace, abort);
    Pipeline->refuseNewRequests();
    core::Time last = Clock.now() + MaxStopWait;
    while (!abort() && Clock.now() < last && !idle())
      std::this_thread::sleep_for(StopPollInterval);
    Callers->stop();
    Operators->stop();
    Control.call([this] {
      Peers->stop();
      return 0;
    });
    Control.stop();
    Log.emit({core::EventId::ProcessStopped, core::Json::object()});
  }

  ListenerPorts ports() const { return {Callers->port(), Operators->port(), Peers->port()}; }

  void onGrants() override { Pipeline->grants().signal(); }
  void onCrashAck(uint64_t crash) override { Pipeline->crashAcks().raiseTo(crash); }
  void onClaimAction(const idempotency::ClaimAction &action) override { Claims->onAction(action); }
  void onSlots() override {
    // The VM agent publishes its initial, empty state before the traffic objects exist.
    if (Slots)
      Slots->onCapacityChange();
  }

private:
  /// Time limit of a planned stop for requests in progress. Exceeds the longest route deadline.
  static constexpr core::Duration MaxStopWait = core::Duration::seconds(65);

  absl::Status openStorage(const StartOptions &options) {
    if (!Options.isVoter())
      return absl::OkStatus();
    absl::Status status = initializeFolder(Files, Options, options);
    if (!status.ok())
      return status;
    auto storage = agreement::FileLogStorage::open(Files, Options.DataFolder);
    if (!storage.ok())
      return storage.status();
    Storage = *std::move(storage);
    return absl::OkStatus();
  }

  void buildTraffic() {
    VmAgent &agent = Node->vm();
    Slots = std::make_unique<SlotQueue>(agent.chooser(), agent.slots(), Clock);
    Claims = std::make_unique<ClaimBridge>(
        [this](std::function<void()> f) { Control.post(std::move(f)); },
        [this](const idempotency::RequestStart &it) { Node->vm().startClaim(it, Clock.now()); },
        [this](uint64_t attempt, const idempotency::DispatchResult &it) {
          Node->vm().dispatchFinished(attempt, it, Clock.now());
        });
    Pipeline = std::make_unique<RequestPipeline>(
        agent, *Slots, *Claims, Targets, Clock, Log, Metrics,
        [this] { Control.post([this] { Node->vm().sendCrashReport(Clock.now()); }); });
  }

  absl::Status startPeers() {
    transport::TransportSettings settings;
    settings.Self = Options.Vm;
    settings.Incarnation = Identity.Incarnation;
    settings.Listen = {Options.Host, Options.PeerPort};
    settings.Secret = Options.Secret;
    settings.Kinds.assign(kind::All.begin(), kind::All.end());
    // A peer that has not acknowledged for the length of a lease has lost its lease.
    settings.PeerTimeout = lease::LeaseGrantorSettings().Length;
    Peers = transport::makeWebsocketTransport(Control.io(), Clock, Log, settings);
    for (const PeerSettings &peer : Options.Peers)
      Peers->setAddress(peer.Id, {peer.Host, peer.Port});
    return Peers->start([this](const transport::PeerMessage &message) { onMessage(message); });
  }

  absl::Status startHttp() {
    forwarding::HttpServerSettings callers;
    callers.Host = Options.Host;
    callers.Port = Options.CallerPort;
    callers.MaxConnections = Options.MaxCallerConnections;
    callers.MaxBodyBytes = Options.MaxBodyBytes;
    Callers = std::make_unique<forwarding::HttpServer>(
        callers, [this](const auto &req, auto &res) { Pipeline->handle(req, res); });
    Api = std::make_unique<OperatorApi>(Options, Control, *Node, Clock, Log, Metrics, Timeline);
    forwarding::HttpServerSettings operators;
    operators.Host = Options.Host;
    operators.Port = Options.OperatorPort;
    operators.MaxConnections = OperatorConnections;
    Operators = std::make_unique<forwarding::HttpServer>(
        operators, [this](const auto &req, auto &res) { Api->handle(req, res); });
    absl::Status status = Callers->start();
    return status.ok() ? Operators->start() : status;
  }

  void onMessage(const transport::PeerMessage &message) {
    const std::string &body = message.Body;
    if (!Timeline.receive(message.From, message.Kind, body))
      Node->receive(message.From, message.Kind, body);
  }

  void onTick() {
    Node->tick();
    core::Time now = Clock.now();
    if (now < NextSecond)
      return;
    NextSecond = now + core::Duration::seconds(1);
    Metrics.setLeaseValid(Node->vm().mayServe(now));
    Metrics.setLeader(Node->isLeader());
    Metrics.setConfigVersion(Node->vm().state()->Version.Value);
    Metrics.setInFlight(Node->vm().requestsInFlight());
    registerVm(now);
    updateAddresses();
  }

  /// Updates this VM's record in the configuration if its addresses or location differ.
  void registerVm(core::Time now) {
    std::shared_ptr<const ServingState> state = Node->vm().state();
    if (!Node->vm().mayServe(now))
      return;
    config::PutVm put;
    put.Id = Options.Vm;
    put.ControlAddress = absl::StrCat(Options.Host, ":", Peers->port());
    put.TrafficAddress = absl::StrCat(Options.Host, ":", Callers->port());
    put.Region = Options.Region;
    put.Domain = Options.Domain;
    const config::VmRecord *known = config::find(state->Records.Vms, Options.Vm);
    if (known != nullptr && known->ControlAddress == put.ControlAddress &&
        known->TrafficAddress == put.TrafficAddress && known->Region == put.Region &&
        known->Domain == put.Domain)
      return;
    config::Command command;
    command.Id = absl::StrCat("vm-", Options.Vm.Value, "-", Identity.Incarnation.Value);
    command.Operator = Options.Vm.Value;
    command.RequestedChange = put;
    Node->vm().submit(command, now + core::Duration::seconds(2), now,
                      [](const absl::StatusOr<config::Outcome> &) {});
  }

  bool idle() {
    return Node->vm().requestsInFlight() == 0 &&
           Control.call([this] { return Node->vm().openAttempts() == 0; });
  }

  void waitUntil(core::Time end, const std::function<bool()> &abort) {
    while (!abort() && Clock.now() < end)
      std::this_thread::sleep_for(StopPollInterval);
  }

  std::vector<core::VmId> knownVms() const {
    std::vector<core::VmId> vms;
    std::shared_ptr<const ServingState> state = Node->vm().state();
    for (const auto &[id, vm] : state->Records.Vms)
      vms.push_back(id);
    return vms;
  }

  /// Passes the VM addresses from the configuration to the transport. Those of the settings take
  /// precedence.
  void updateAddresses() {
    std::shared_ptr<const ServingState> state = Node->vm().state();
    for (const auto &[id, vm] : state->Records.Vms) {
      forwarding::TargetAddress address = forwarding::parseTargetAddress(vm.ControlAddress);
      Peers->setAddress(id, {address.Host, static_cast<uint16_t>(address.Port)});
    }
    for (const PeerSettings &peer : Options.Peers)
      Peers->setAddress(peer.Id, {peer.Host, peer.Port});
  }

  static constexpr size_t OperatorConnections = 32;
  static constexpr size_t MaxEvents = 8192;

  Settings Options;
  VmIdentity Identity;
  core::SteadyClock Clock;
  observability::EventLog Log;
  observability::Metrics Metrics;
  SystemRandom Random;
  agreement::PosixFileSystem Files;
  std::unique_ptr<agreement::FileLogStorage> Storage;
  std::unique_ptr<ControlNode> Node;
  ControlThread Control;
  TimelineCollector Timeline;
  std::unique_ptr<transport::Transport> Peers;
  forwarding::TargetClientPool Targets;
  std::unique_ptr<SlotQueue> Slots;
  std::unique_ptr<ClaimBridge> Claims;
  std::unique_ptr<RequestPipeline> Pipeline;
  std::unique_ptr<OperatorApi> Api;
  std::unique_ptr<forwarding::HttpServer> Callers;
  std::unique_ptr<forwarding::HttpServer> Operators;
  core::Time NextSecond;
};

Daemon::Daemon(std::unique_ptr<Impl> impl) : Implementation(std::move(impl)) {}
Daemon::~Daemon() = default;

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::create(const Settings &settings,
                                                       const StartOptions &options) {
  auto impl = std::make_unique<Impl>(settings);
  absl::Status status = impl->open(options);
  if (!status.ok())
    return status;
  return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

absl::Status Daemon::start() { return Implementation->start(); }

void Daemon::drainAndStop(const std::function<bool()> &abort) {
  Implementation->drainAndStop(abort);
}

ListenerPorts Daemon::ports() const { return Implementation->ports(); }

} // namespace briarspar::daemon
