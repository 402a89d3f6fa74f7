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

/// Records the commands in order. A snapshot is the list of them.
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

/// Thrown when a guarantee of the group is broken.
struct InvariantViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A group of replicas over a FaultNetwork on injected time, with clocks of different rates and an
/// operator that replaces voters whose data was lost. Checks after every step that a term has one
/// leader, that the lease has one holder, that all state machines follow one sequence, and that a
/// permitted read sees every acknowledged command and never less than an earlier read.
class Cluster {
public:
  struct Node {
    VoterId Id;
    std::unique_ptr<MemoryLogStorage> Storage;
    std::unique_ptr<ListStateMachine> Machine;
    std::unique_ptr<Replica> Running; ///< Empty while the process is down.
    int64_t DriftPermille = 0;
    size_t Seen = 0; ///< Length of the sequence that was compared already.
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
      // At most 8 in a thousand between two clocks; the margin is 10.
      Nodes[n].DriftPermille = static_cast<int64_t>(Random.next() % 9) - 4;
      start(n);
    }
  }

  void crash(uint32_t n) {
    Nodes[n].Running.reset();
    Nodes[n].Storage->crash();
    Net.setDown(n, true);
  }

  void start(uint32_t n) {
    Node &node = Nodes[n];
    if (node.Running != nullptr)
      return;
    Net.setDown(n, false);
    node.Machine = std::make_unique<ListStateMachine>();
    node.Seen = 0;
    auto opened = Replica::open(Settings, *node.Storage, *node.Machine, Random, localTime(n));
    if (absl::IsResourceExhausted(opened.status())) {
      Net.setDown(n, true); // The injected full disk; the node stays down.
      return;
    }
    if (!opened.ok())
      throw InvariantViolation("restart failed: " + std::string(opened.status().message()));
    node.Running = *std::move(opened);
  }

  /// Ends the process and deletes its data. It restarts with a new identity.
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

  /// Returns whether every VM votes under its present identity by the newest committed word.
  bool isRepaired() {
    Node *node = leader();
    if (node == nullptr || !node->Running->canRead(localTime(nodeIndex(node->Id))).ok())
      return false;
    const Configuration &members = node->Running->configuration();
    bool all = std::all_of(Nodes.begin(), Nodes.end(),
                           [&](const Node &it) { return members.isVoter(it.Id); });
    return all && members.Voters.size() == Nodes.size() && configurationCommitted(*node);
  }

  /// Advances the time in steps of 5 ms.
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

  /// Proposes the next command at every replica that believes itself the leader.
  void propose() {
    for (uint32_t n = 0; n < Nodes.size(); ++n) {
      if (!isRunning(n) || !Nodes[n].Running->isLeader())
        continue;
      std::string command = "c" + std::to_string(++Proposed);
      auto index = Nodes[n].Running->propose(command, localTime(n));
      if (index.ok())
        Pending[{n, index->Value}] = command;
      executeActions(n);
    }
  }

  Node *leader() {
    Node *newest = nullptr;
    for (uint32_t n = 0; n < Nodes.size(); ++n)
      if (isRunning(n) && Nodes[n].Running->isLeader())
        if (newest == nullptr || newest->Running->term() < Nodes[n].Running->term())
          newest = &Nodes[n];
    return newest;
  }

  bool isRunning(uint32_t n) const { return Nodes[n].Running != nullptr && !Nodes[n].Paused; }

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
  std::vector<std::string> AppliedSequence; ///< The one sequence of applied commands.
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
        Nodes[n].Running->tick(localTime(n));
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
      throw InvariantViolation("own message rejected: " + std::string(envelope.status().message()));
    Nodes[to].Running->receive(*envelope, localTime(to));
    executeActions(to);
  }

  void executeActions(uint32_t n) {
    Actions actions = Nodes[n].Running->takeActions();
    checkSequence(Nodes[n]);
    for (const Envelope &envelope : actions.Messages)
      Net.send(n, nodeIndex(envelope.To), encodeEnvelope(envelope), Clock.now());
    for (const ProposalResult &result : actions.Results)
      checkResult(n, result);
    for (const RoleChange &change : actions.RoleChanges)
      if (change.NewRole == Role::Leader)
        checkOneLeader(change.InTerm, Nodes[n].Id);
  }

  void checkOneLeader(core::Term term, const VoterId &id) {
    auto [it, added] = LeaderOfTerm.emplace(term, id);
    if (!added && it->second != id)
      throw InvariantViolation("two leaders in one term");
  }

  void checkResult(uint32_t n, const ProposalResult &result) {
    auto it = Pending.find({n, result.Index.Value});
    if (it == Pending.end())
      throw InvariantViolation("result without a proposal");
    if (result.Answer.ok()) {
      size_t position = std::stoul(*result.Answer);
      if (position > AppliedSequence.size() || AppliedSequence[position - 1] != it->second)
        throw InvariantViolation("acknowledged command is not in the sequence");
      Acknowledged = std::max(Acknowledged, position);
      ++AcknowledgedCount;
    }
    Pending.erase(it);
  }

  void checkSequence(Node &node) {
    const std::vector<std::string> &mine = node.Machine->Commands;
    for (; node.Seen < mine.size(); ++node.Seen) {
      if (node.Seen == AppliedSequence.size())
        AppliedSequence.push_back(mine[node.Seen]);
      if (AppliedSequence[node.Seen] != mine[node.Seen])
        throw InvariantViolation("state machines disagree at " + std::to_string(node.Seen));
    }
  }

  void checkRead(uint32_t n) {
    if (!isRunning(n) || !Nodes[n].Running->canRead(localTime(n)).ok())
      return;
    size_t seen = Nodes[n].Machine->Commands.size();
    if (seen < Acknowledged || seen < LastRead)
      throw InvariantViolation("read of an older state");
    LastRead = seen;
    ++Reads;
  }

  void checkLease() {
    size_t holders = 0;
    for (uint32_t n = 0; n < Nodes.size(); ++n)
      if (Nodes[n].Running != nullptr && Nodes[n].Running->holdsLeaderLease(localTime(n)))
        ++holders;
    if (holders > 1)
      throw InvariantViolation("two holders of the leader lease");
  }

  bool configurationCommitted(const Node &node) const {
    return node.Running->commitIndex() == node.Running->lastIndex();
  }

  /// Does what an operator does: removes identities whose data is lost, then adds the new ones.
  void replaceLostVoters() {
    Node *node = leader();
    if (node == nullptr)
      return;
    uint32_t n = nodeIndex(node->Id);
    Configuration members = node->Running->configuration();
    for (const Node &it : Nodes) {
      for (const VoterId &id : members.Voters)
        if (id.Vm == it.Id.Vm && id != it.Id)
          (void)node->Running->removeVoter(id, localTime(n));
      for (const VoterId &id : members.Learners)
        if (id.Vm == it.Id.Vm && id != it.Id)
          (void)node->Running->removeVoter(id, localTime(n));
      if (!members.contains(it.Id))
        (void)node->Running->addVoter(it.Id, localTime(n));
    }
    executeActions(n);
  }

  std::map<core::Term, VoterId> LeaderOfTerm;
  std::map<std::pair<uint32_t, uint64_t>, std::string> Pending;
  size_t Proposed = 0;
  size_t LastRead = 0;
};

} // namespace briarspar::agreement::testing
