#pragma once

#include "agreement/MemoryLogStorage.h"
#include "agreement/Replica.h"
#include "core/testing/FaultNetwork.h"

#include <rapidcheck.h>

#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace briarspar::agreement::testing {

/// A StateMachine that records the applied commands in order. A snapshot is the list of commands.
class ListStateMachine final : public StateMachine {
public:
  std::string apply(core::LogIndex index, std::string_view command) override {
    Commands.emplace_back(command);
    LastIndex = index;
    return std::to_string(Commands.size());
  }
  std::string snapshot() const override {
    std::string out = std::to_string(LastIndex.Value) + "\n";
    for (const std::string &command : Commands)
      out += command + "\n";
    return out;
  }
  absl::Status restore(std::string_view snapshot) override {
    std::istringstream in{std::string(snapshot)};
    Commands.clear();
    std::string line;
    if (!std::getline(in, line))
      return absl::DataLossError("snapshot is empty");
    LastIndex = core::LogIndex(std::stoull(line));
    while (std::getline(in, line))
      Commands.push_back(line);
    return absl::OkStatus();
  }

  std::vector<std::string> Commands;
  core::LogIndex LastIndex;
};

class SeededRandomSource final : public RandomSource {
public:
  explicit SeededRandomSource(uint64_t seed) : Rng(seed) {}
  uint64_t next() override { return Rng(); }

private:
  pcg32 Rng;
};

/// Thrown when a safety property of the group is violated.
struct InvariantViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A group of replicas over a FaultNetwork in simulated time, with clocks of different rates and a
/// simulated operator that replaces voters whose data was lost. Checks after every step that each
/// term has at most one leader, that at most one replica holds the leader lease, that all state
/// machines apply the same sequence, and that a permitted read sees every acknowledged command and
/// no older state than an earlier read.
class Cluster {
public:
  struct Node {
    VoterId Id;
    std::unique_ptr<MemoryLogStorage> Storage;
    std::unique_ptr<ListStateMachine> Machine;
    std::unique_ptr<Replica> Instance; ///< Null while the process is down.
    int64_t DriftPermille = 0;
    size_t CheckedLength = 0; ///< Number of commands already compared with AppliedSequence.
    bool Paused = false;
  };

  Cluster(uint32_t voters, uint64_t seed, const ReplicaSettings &settings)
      : Settings(settings), Random(seed), Net(seed, {}) {
    std::set<VoterId> ids;
    for (uint32_t n = 0; n < voters; ++n)
      ids.insert(idOf(n, 1));
    Configuration first = makeConfiguration(ids);
    Nodes.resize(voters);
    for (uint32_t n = 0; n < voters; ++n) {
      Nodes[n].Id = idOf(n, 1);
      Nodes[n].Storage = std::make_unique<MemoryLogStorage>(Identity{Group, idOf(n, 1)}, &first);
      // Two clocks differ by at most 8 per mille; the lease allows for 10.
      Nodes[n].DriftPermille = static_cast<int64_t>(Random.next() % 9) - 4;
      start(n);
    }
  }

  void crash(uint32_t n) {
    Nodes[n].Instance.reset();
    Nodes[n].Storage->crash();
    Net.setDown(n, true);
  }

  void start(uint32_t n) {
    Node &node = Nodes[n];
    if (node.Instance != nullptr)
      return;
    Net.setDown(n, false);
    node.Machine = std::make_unique<ListStateMachine>();
    node.CheckedLength = 0;
    auto opened = Replica::open(Settings, *node.Storage, *node.Machine, Random, localTime(n));
    if (absl::IsResourceExhausted(opened.status())) {
      Net.setDown(n, true); // Injected disk-full error: the node stays down.
      return;
    }
    if (!opened.ok())
      throw InvariantViolation("restart failed: " + std::string(opened.status().message()));
    node.Instance = *std::move(opened);
  }

  /// Crashes the process and deletes its data. It restarts with a new identity.
  void loseData(uint32_t n) {
    crash(n);
    Node &node = Nodes[n];
    node.Id = idOf(n, node.Id.DataIncarnation.Value + 1);
    node.Storage = std::make_unique<MemoryLogStorage>(Identity{Group, node.Id}, nullptr);
    start(n);
  }

  void setPaused(uint32_t n, bool paused) {
    Nodes[n].Paused = paused;
    Net.setPaused(n, paused);
  }

  /// Returns whether the committed configuration has every VM as a voter with its current identity.
  bool allVotersCurrent() {
    Node *node = leader();
    if (node == nullptr || !node->Instance->canRead(localTime(nodeIndex(node->Id))).ok())
      return false;
    const Configuration &members = node->Instance->configuration();
    bool all = std::all_of(Nodes.begin(), Nodes.end(),
                           [&](const Node &it) { return members.isVoter(it.Id); });
    return all && members.Voters.size() == Nodes.size() && configurationCommitted(*node);
  }

  /// Advances the simulated time in steps of 5 ms.
  void run(core::Duration d) {
    for (int64_t end = Clock.now().Ms + d.Ms; Clock.now().Ms < end;)
      step();
  }

  template <class Condition> bool runUntil(core::Duration limit, const Condition &condition) {
    for (int64_t end = Clock.now().Ms + limit.Ms; Clock.now().Ms < end; step())
      if (condition())
        return true;
    return condition();
  }

  /// Proposes the next command at every replica that has the leader role.
  void propose() {
    for (uint32_t n = 0; n < Nodes.size(); ++n) {
      if (!isRunning(n) || !Nodes[n].Instance->isLeader())
        continue;
      std::string command = "c" + std::to_string(++Proposed);
      auto index = Nodes[n].Instance->propose(command, localTime(n));
      if (index.ok())
        Pending[{n, index->Value}] = command;
      executeActions(n);
    }
  }

  Node *leader() {
    Node *newest = nullptr;
    for (uint32_t n = 0; n < Nodes.size(); ++n)
      if (isRunning(n) && Nodes[n].Instance->isLeader())
        if (newest == nullptr || newest->Instance->term() < Nodes[n].Instance->term())
          newest = &Nodes[n];
    return newest;
  }

  bool isRunning(uint32_t n) const { return Nodes[n].Instance != nullptr && !Nodes[n].Paused; }

  core::Time localTime(uint32_t n) const {
    return core::Time{Clock.now().Ms * (1000 + Nodes[n].DriftPermille) / 1000};
  }

  uint32_t nodeIndex(const VoterId &id) const {
    return static_cast<uint32_t>(std::stoul(id.Vm.Value.substr(1)));
  }

  static VoterId idOf(uint32_t n, uint64_t data) {
    return {core::VmId("v" + std::to_string(n)), core::Incarnation(data)};
  }

  const GroupId Group{"g"};
  ReplicaSettings Settings;
  SeededRandomSource Random;
  core::ManualClock Clock;
  core::testing::FaultNetwork<std::string> Net;
  std::vector<Node> Nodes;
  std::vector<std::string> AppliedSequence; ///< Commands in order of application.
  size_t Acknowledged = 0; ///< Length of `AppliedSequence` up to the newest acknowledged command.
  size_t AcknowledgedCount = 0;
  size_t Reads = 0;

private:
  void step() {
    Clock.advance({5});
    while (auto delivery = Net.receive(Clock.now()))
      deliver(delivery->To, delivery->Body);
    for (uint32_t n = 0; n < Nodes.size(); ++n) {
      checkRead(n);
      if (isRunning(n) && Clock.now().Ms % 20 == 0) {
        Nodes[n].Instance->tick(localTime(n));
        executeActions(n);
      }
    }
    checkLease();
    if (Clock.now().Ms % 100 == 0)
      replaceLostVoters();
  }

  void deliver(uint32_t to, const std::string &bytes) {
    absl::StatusOr<Envelope> envelope = decodeEnvelope(bytes);
    if (!envelope.ok())
      throw InvariantViolation("replica rejected a message of the group: " +
                               std::string(envelope.status().message()));
    Nodes[to].Instance->receive(*envelope, localTime(to));
    executeActions(to);
  }

  void executeActions(uint32_t n) {
    Actions actions = Nodes[n].Instance->takeActions();
    checkSequence(Nodes[n]);
    for (const Envelope &envelope : actions.Messages)
      Net.send(n, nodeIndex(envelope.To), encodeEnvelope(envelope), Clock.now());
    for (const ProposalResult &result : actions.Results)
      checkResult(n, result);
    for (const RoleChange &change : actions.RoleChanges)
      if (change.NewRole == Role::Leader)
        checkSingleLeader(change.InTerm, Nodes[n].Id);
  }

  void checkSingleLeader(core::Term term, const VoterId &id) {
    auto [it, added] = LeaderOfTerm.emplace(term, id);
    if (!added && it->second != id)
      throw InvariantViolation("two leaders in one term");
  }

  void checkResult(uint32_t n, const ProposalResult &result) {
    auto it = Pending.find({n, result.Index.Value});
    if (it == Pending.end())
      throw InvariantViolation("result without a pending proposal");
    if (result.Answer.ok()) {
      size_t position = std::stoul(*result.Answer);
      if (position > AppliedSequence.size() || AppliedSequence[position - 1] != it->second)
        throw InvariantViolation("acknowledged command is not in the applied sequence");
      Acknowledged = std::max(Acknowledged, position);
      ++AcknowledgedCount;
    }
    Pending.erase(it);
  }

  void checkSequence(Node &node) {
    const std::vector<std::string> &commands = node.Machine->Commands;
    for (; node.CheckedLength < commands.size(); ++node.CheckedLength) {
      if (node.CheckedLength == AppliedSequence.size())
        AppliedSequence.push_back(commands[node.CheckedLength]);
      if (AppliedSequence[node.CheckedLength] != commands[node.CheckedLength])
        throw InvariantViolation("state machines diverge at command " +
                                 std::to_string(node.CheckedLength));
    }
  }

  void checkRead(uint32_t n) {
    if (!isRunning(n) || !Nodes[n].Instance->canRead(localTime(n)).ok())
      return;
    size_t seen = Nodes[n].Machine->Commands.size();
    if (seen < Acknowledged || seen < LastRead)
      throw InvariantViolation("stale read");
    LastRead = seen;
    ++Reads;
  }

  void checkLease() {
    size_t holders = 0;
    for (uint32_t n = 0; n < Nodes.size(); ++n)
      if (Nodes[n].Instance != nullptr && Nodes[n].Instance->holdsLeaderLease(localTime(n)))
        ++holders;
    if (holders > 1)
      throw InvariantViolation("two replicas hold the leader lease");
  }

  bool configurationCommitted(const Node &node) const {
    return node.Instance->commitIndex() == node.Instance->lastIndex();
  }

  /// Acts as the operator: removes identities whose data was lost, then adds the new ones.
  void replaceLostVoters() {
    Node *node = leader();
    if (node == nullptr)
      return;
    uint32_t n = nodeIndex(node->Id);
    Configuration members = node->Instance->configuration();
    for (const Node &it : Nodes) {
      for (const VoterId &id : members.Voters)
        if (id.Vm == it.Id.Vm && id != it.Id)
          (void)node->Instance->removeVoter(id, localTime(n));
      for (const VoterId &id : members.Learners)
        if (id.Vm == it.Id.Vm && id != it.Id)
          (void)node->Instance->removeVoter(id, localTime(n));
      if (!members.contains(it.Id))
        (void)node->Instance->addVoter(it.Id, localTime(n));
    }
    executeActions(n);
  }

  std::map<core::Term, VoterId> LeaderOfTerm;
  std::map<std::pair<uint32_t, uint64_t>, std::string> Pending;
  size_t Proposed = 0;
  size_t LastRead = 0;
};

} // namespace briarspar::agreement::testing
