#pragma once

#include "agreement/MemoryLogStorage.h"
#include "core/testing/FaultNetwork.h"
#include "daemon/ControlNode.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarspar::daemon::testing {

struct InMemoryFleetSettings {
  uint32_t Nodes = 6;
  uint32_t Voters = 3; ///< The first nodes are the voters.
  uint32_t Regions = 3;
  uint32_t DomainsPerRegion = 2;
  core::Duration Tick{5};
  uint64_t Seed = 1;
  LeaderSettings Leader;
  core::testing::FaultSettings Faults;
};

/// Observes the messages and the processing of the nodes, for measurements.
class FleetObserver {
public:
  virtual ~FleetObserver() = default;
  virtual void onSend(uint32_t node, std::string_view kind, size_t bytes) {}
  virtual void onReceive(uint32_t node, std::string_view kind, size_t bytes) {}
  virtual void beforeWork(uint32_t node) {}
  virtual void afterWork(uint32_t node) {}
};

/// Simulates a fleet of control nodes with a virtual clock and an in-memory network. Uses the
/// production classes and message encodings, without threads or sockets. Deterministic for the same
/// settings and calls.
class InMemoryFleet {
public:
  explicit InMemoryFleet(const InMemoryFleetSettings &settings, FleetObserver *observer = nullptr)
      : Settings(settings), Observer(observer), Network(settings.Seed, settings.Faults),
        Nodes(settings.Nodes) {
    for (uint32_t n = 0; n < settings.Nodes; ++n)
      IndexById[idOf(n).Value] = n;
    for (uint32_t n = 0; n < settings.Nodes; ++n)
      start(n);
  }

  static core::VmId idOf(uint32_t n) { return core::VmId("vm-" + std::to_string(n)); }

  balance::Locality localityOf(uint32_t n) const {
    std::string region = "r" + std::to_string(n % Settings.Regions + 1);
    uint32_t domain = n / Settings.Regions % Settings.DomainsPerRegion + 1;
    return {core::RegionId(region), core::DomainId(region + "-d" + std::to_string(domain))};
  }

  core::ManualClock &clock() { return Clock; }
  core::testing::FaultNetwork<std::pair<std::string, std::string>> &network() { return Network; }
  uint32_t size() const { return Settings.Nodes; }
  ControlNode &node(uint32_t n) { return *Nodes[n].Control; }

  /// Returns the number of the node's last crash that the leader has acknowledged.
  uint64_t acknowledgedCrash(uint32_t n) const { return Nodes[n].Listener.AcknowledgedCrash; }
  bool isUp(uint32_t n) const { return Nodes[n].Control != nullptr; }

  /// Crashes a node: its memory and its unsynced writes are lost.
  void crash(uint32_t n) {
    Nodes[n].Control.reset();
    if (Nodes[n].Storage)
      Nodes[n].Storage->crash();
    Network.setDown(n, true);
  }

  /// Restarts a node from its durable state, as a new incarnation.
  void restart(uint32_t n) {
    Network.setDown(n, false);
    start(n);
  }

  /// Advances time and runs all nodes that are up and not paused.
  void advance(core::Duration span) {
    core::Time end = Clock.now() + span;
    while (Clock.now() < end) {
      Clock.advance(Settings.Tick);
      while (auto delivery = Network.receive(Clock.now()))
        receive(delivery->From, delivery->To, delivery->Body);
      for (uint32_t n = 0; n < size(); ++n)
        if (isUp(n) && !Network.isPaused(n))
          process(n, [&] { Nodes[n].Control->tick(); });
    }
  }

  /// Advances until the condition holds. Returns false if it does not hold within `limit`.
  bool advanceUntil(const std::function<bool()> &condition, core::Duration limit) {
    core::Time end = Clock.now() + limit;
    while (!condition() && Clock.now() < end)
      advance(Settings.Tick);
    return condition();
  }

  /// Returns the node that acts as the leader, or nothing.
  std::optional<uint32_t> leader() {
    for (uint32_t n = 0; n < Settings.Voters; ++n)
      if (isUp(n) && Nodes[n].Control->isLeader())
        return n;
    return std::nullopt;
  }

  /// Proposes a change at the leader, if there is one. `done` receives the result.
  void propose(
      config::Change change, GroupVoter::Done done = [](const auto &) {}) {
    std::optional<uint32_t> n = leader();
    if (!n)
      return;
    config::Command command;
    command.Id = "command-" + std::to_string(++Commands);
    command.Operator = "test";
    command.RequestedChange = std::move(change);
    Nodes[*n].Control->voter()->propose(command, Clock.now(), std::move(done));
    Nodes[*n].Control->voter()->flush();
  }

  size_t servingNodes() {
    size_t count = 0;
    for (uint32_t n = 0; n < size(); ++n)
      count += isUp(n) && Nodes[n].Control->vm().mayServe(Clock.now()) ? 1 : 0;
    return count;
  }

private:
  class NullSink final : public core::EventSink {
  public:
    void emit(core::Event /*event*/) override {}
  };

  class PcgSource final : public agreement::RandomSource {
  public:
    explicit PcgSource(uint64_t seed) : Rng(seed) {}
    uint64_t next() override { return Rng(); }

  private:
    pcg64 Rng;
  };

  class CrashAckRecorder final : public VmAgentListener {
  public:
    void onCrashAck(uint64_t crash) override { AcknowledgedCrash = crash; }
    uint64_t AcknowledgedCrash = 0;
  };

  struct Node {
    std::unique_ptr<agreement::MemoryLogStorage> Storage;
    std::unique_ptr<PcgSource> Random;
    CrashAckRecorder Listener;
    std::unique_ptr<ControlNode> Control;
    uint64_t Incarnations = 0;
  };

  void start(uint32_t n) {
    Node &node = Nodes[n];
    if (!node.Random)
      node.Random = std::make_unique<PcgSource>(Settings.Seed * 1'000'003 + n);
    VmIdentity identity;
    identity.Vm = idOf(n);
    identity.Incarnation = core::Incarnation(++node.Incarnations);
    identity.Locality = localityOf(n);
    for (uint32_t v = 0; v < Settings.Voters; ++v)
      identity.Voters.push_back(idOf(v));
    VoterDependencies parts;
    parts.Random = node.Random.get();
    parts.Leader = Settings.Leader;
    if (n < Settings.Voters && !node.Storage)
      node.Storage = newStorage({idOf(n), core::Incarnation(1)});
    parts.Storage = node.Storage.get();
    auto sender = [this, n](const core::VmId &to, std::string_view kind, std::string bytes) {
      send(n, to, kind, std::move(bytes));
    };
    auto random = [&node](uint64_t bound) { return bound == 0 ? 0 : node.Random->next() % bound; };
    auto control = ControlNode::create(identity, node.Storage ? &parts : nullptr, Clock, Sink,
                                       sender, random, node.Listener);
    assert(control.ok() && "the durable state of a node must open");
    node.Control = *std::move(control);
  }

  std::unique_ptr<agreement::MemoryLogStorage> newStorage(const agreement::VoterId &self) {
    std::set<agreement::VoterId> voters;
    for (uint32_t v = 0; v < Settings.Voters; ++v)
      voters.insert({idOf(v), core::Incarnation(1)});
    agreement::Configuration first = agreement::makeConfiguration(voters);
    return std::make_unique<agreement::MemoryLogStorage>(
        agreement::Identity{agreement::GroupId("main"), self}, &first);
  }

  void send(uint32_t from, const core::VmId &to, std::string_view kind, std::string bytes) {
    if (Observer)
      Observer->onSend(from, kind, bytes.size());
    Network.send(from, IndexById.at(to.Value), {std::string(kind), std::move(bytes)}, Clock.now());
  }

  void receive(uint32_t from, uint32_t to, const std::pair<std::string, std::string> &message) {
    if (!isUp(to))
      return;
    if (Observer)
      Observer->onReceive(to, message.first, message.second.size());
    process(to, [&] { Nodes[to].Control->receive(idOf(from), message.first, message.second); });
  }

  template <class F> void process(uint32_t n, F &&f) {
    if (Observer)
      Observer->beforeWork(n);
    f();
    if (Observer)
      Observer->afterWork(n);
  }

  InMemoryFleetSettings Settings;
  FleetObserver *Observer;
  core::ManualClock Clock;
  NullSink Sink;
  core::testing::FaultNetwork<std::pair<std::string, std::string>> Network;
  std::vector<Node> Nodes;
  std::unordered_map<std::string, uint32_t> IndexById;
  uint64_t Commands = 0;
};

} // namespace briarspar::daemon::testing
