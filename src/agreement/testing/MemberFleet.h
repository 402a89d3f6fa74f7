#pragma once

#include "agreement/GroupMember.h"
#include "agreement/testing/Cluster.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace briarspar::agreement::testing {

/// Control VMs over a FaultNetwork in simulated time. VMs are killed, frozen, cut off, replaced by
/// VMs with another id, and lose their disks; disks fill and stall. Checks after every step that a
/// term has at most one leader, that all state machines apply the same sequence, that every
/// acknowledged command is in it, and that a leader changes one voter at a time.
class MemberFleet {
public:
  struct Vm {
    core::VmId Id;
    std::unique_ptr<MemoryLogStorage> Storage;
    std::unique_ptr<ListStateMachine> Machine;
    std::unique_ptr<GroupMember> Process; ///< Null while the process is down.
    size_t CheckedLength = 0; ///< Number of commands already compared with AppliedSequence.
    bool Paused = false;
    bool Gone = false; ///< Replaced by another VM.
  };

  /// Starts `count` VMs at the same moment, of which the first three are the seeds.
  MemberFleet(uint32_t count, uint64_t seed) : Random(seed), Net(seed, {}) {
    std::set<VoterId> initial;
    for (uint32_t n = 0; n < SeedCount; ++n)
      initial.insert({idOf(n), InitialData});
    Configuration first = makeConfiguration(initial);
    for (uint32_t n = 0; n < count; ++n) {
      bool isSeed = n < SeedCount;
      Vm &vm = Vms.emplace_back();
      vm.Id = idOf(n);
      VoterId self{vm.Id, isSeed ? InitialData : core::Incarnation(wallClockMs())};
      vm.Storage =
          std::make_unique<MemoryLogStorage>(Identity{Group, self}, isSeed ? &first : nullptr);
    }
    for (uint32_t n = 0; n < count; ++n)
      start(n);
  }

  void kill(uint32_t n) {
    Vms[n].Process.reset();
    Vms[n].Storage->crash();
    Net.setDown(n, true);
  }

  void start(uint32_t n) {
    Vm &vm = Vms[n];
    if (vm.Process != nullptr || vm.Gone)
      return;
    Net.setDown(n, false);
    vm.Machine = std::make_unique<ListStateMachine>();
    vm.CheckedLength = 0;
    GroupMemberSettings settings = Settings;
    settings.Vm = vm.Id;
    vm.Process = std::make_unique<GroupMember>(settings, *vm.Storage, *vm.Machine, Random);
    vm.Process->setSeeds(seeds());
    if (absl::Status status = vm.Process->open(Clock.now()); !status.ok())
      throw InvariantViolation("open failed: " + std::string(status.message()));
  }

  /// Kills the process and deletes its data.
  void wipe(uint32_t n) {
    kill(n);
    initialize(n);
  }

  /// Adds a VM with an empty disk and returns its number.
  uint32_t add() {
    auto n = static_cast<uint32_t>(Vms.size());
    Vms.emplace_back().Id = idOf(n);
    initialize(n);
    start(n);
    return n;
  }

  void remove(uint32_t n) {
    kill(n);
    Vms[n].Gone = true;
  }

  void setPaused(uint32_t n, bool paused) {
    Vms[n].Paused = paused;
    Net.setPaused(n, paused);
  }

  void isolate(uint32_t n) {
    // Includes VMs that are added later.
    Net.isolate(n, MaxVms);
  }

  void reconnect(uint32_t n) {
    for (uint32_t other = 0; other < MaxVms; ++other) {
      Net.heal(n, other);
      Net.heal(other, n);
    }
  }

  void setDiskFull(uint32_t n, bool full) {
    Vms[n].Storage->setFailure(full ? absl::ResourceExhaustedError("disk full") : absl::OkStatus());
  }

  /// Proposes the next command at every member that has the leader role.
  void propose() {
    for (uint32_t n = 0; n < Vms.size(); ++n) {
      if (!isRunning(n) || !Vms[n].Process->replica().isLeader())
        continue;
      std::string command = "c" + std::to_string(++Proposed);
      auto index = Vms[n].Process->replica().propose(command, Clock.now());
      if (index.ok())
        Pending[{n, index->Value}] = command;
      executeActions(n);
    }
  }

  /// Advances the simulated time in steps of 5 ms.
  void run(core::Duration d) {
    for (int64_t end = Clock.now().Ms + d.Ms; Clock.now().Ms < end;)
      step();
  }

  /// Proposes a command every 100 ms until `condition` holds. Returns false after `limit`.
  template <class Condition> bool runUntil(core::Duration limit, const Condition &condition) {
    for (int64_t end = Clock.now().Ms + limit.Ms; Clock.now().Ms < end;) {
      if (condition())
        return true;
      propose();
      run({100});
    }
    return condition();
  }

  /// Proposes commands and returns whether one of them is acknowledged within `limit`.
  bool acknowledgesWithin(core::Duration limit) {
    size_t before = Acknowledged.size();
    return runUntil(limit, [&] { return Acknowledged.size() > before; });
  }

  /// Returns the number of the VM that leads and may answer reads.
  std::optional<uint32_t> leader() {
    for (uint32_t n = 0; n < Vms.size(); ++n)
      if (isRunning(n) && Vms[n].Process->isLeading(Clock.now()))
        return n;
    return std::nullopt;
  }

  bool isRunning(uint32_t n) const { return Vms[n].Process != nullptr && !Vms[n].Paused; }

  /// Returns whether the leader counts the identity with which a VM runs as a voter.
  bool isVoter(uint32_t n) {
    std::optional<uint32_t> at = leader();
    return at && Vms[n].Process != nullptr &&
           Vms[*at].Process->replica().committedConfiguration().isVoter(
               Vms[n].Process->replica().self());
  }

  /// Returns whether the leader counts an identity as a voter.
  bool isVoterId(const VoterId &id) {
    std::optional<uint32_t> at = leader();
    return at && Vms[*at].Process->replica().committedConfiguration().isVoter(id);
  }

  /// Returns whether the voters are exactly the running processes.
  bool votersAreTheRunning() {
    std::optional<uint32_t> at = leader();
    if (!at)
      return false;
    std::set<VoterId> running;
    for (const Vm &vm : Vms)
      if (vm.Process != nullptr)
        running.insert(vm.Process->replica().self());
    return Vms[*at].Process->replica().committedConfiguration().Voters == running;
  }

  /// Returns whether the leader's state holds every acknowledged command.
  bool readsBackAll() {
    std::optional<uint32_t> at = leader();
    if (!at)
      return false;
    const std::vector<std::string> &commands = Vms[*at].Machine->Commands;
    std::set<std::string> held(commands.begin(), commands.end());
    return std::all_of(Acknowledged.begin(), Acknowledged.end(),
                       [&](const std::string &it) { return held.count(it) != 0; });
  }

  static constexpr uint32_t SeedCount = 3;
  static constexpr uint32_t MaxVms = 64;
  const GroupId Group{"g"};
  GroupMemberSettings Settings;
  SeededRandomSource Random;
  core::ManualClock Clock;
  core::testing::FaultNetwork<std::variant<std::string, MembershipMessage>> Net;
  std::deque<Vm> Vms;
  core::Duration WallClockStep;             ///< By how much the wall clocks have been set forward.
  std::vector<std::string> AppliedSequence; ///< Commands in order of application.
  std::vector<std::string> Acknowledged;

private:
  static constexpr core::Incarnation InitialData{1};

  static core::VmId idOf(uint32_t n) { return core::VmId("m" + std::to_string(n)); }
  static uint32_t indexOf(const core::VmId &vm) {
    return static_cast<uint32_t>(std::stoul(vm.Value.substr(1)));
  }

  void initialize(uint32_t n) {
    VoterId self{Vms[n].Id, core::Incarnation(wallClockMs())};
    Vms[n].Storage = std::make_unique<MemoryLogStorage>(Identity{Group, self}, nullptr);
  }

  /// The wall clock starts long before the simulation.
  uint64_t wallClockMs() const {
    return static_cast<uint64_t>(1'000'000 + Clock.now().Ms + WallClockStep.Ms);
  }

  /// The platform names three VMs that exist.
  std::vector<core::VmId> seeds() const {
    std::vector<core::VmId> out;
    for (const Vm &it : Vms)
      if (!it.Gone && out.size() < SeedCount)
        out.push_back(it.Id);
    return out;
  }

  void step() {
    Clock.advance({5});
    while (auto delivery = Net.receive(Clock.now()))
      deliver(delivery->From, delivery->To, delivery->Body);
    for (uint32_t n = 0; n < Vms.size(); ++n)
      if (isRunning(n) && Clock.now().Ms % 25 == 0) {
        Vms[n].Process->tick(Clock.now());
        executeActions(n);
      }
  }

  void deliver(uint32_t from, uint32_t to,
               const std::variant<std::string, MembershipMessage> &body) {
    if (to >= Vms.size() || Vms[to].Process == nullptr)
      return;
    GroupMember &member = *Vms[to].Process;
    if (const auto *bytes = std::get_if<std::string>(&body))
      member.receive(*decodeEnvelope(*bytes), Clock.now());
    else if (const auto &it = std::get<MembershipMessage>(body);
             it.What == MembershipMessage::Kind::Join)
      member.onJoin(Vms[from].Id, it.Subject, Clock.now());
    else
      member.onRetired(Vms[from].Id, it.Subject, it.Newest, core::Incarnation(wallClockMs()),
                       Clock.now());
    executeActions(to);
  }

  void executeActions(uint32_t n) {
    MemberActions actions = Vms[n].Process->takeActions();
    checkSequence(Vms[n]);
    for (const Envelope &it : actions.Log.Messages)
      Net.send(n, indexOf(it.To.Vm), encodeEnvelope(it), Clock.now());
    for (const MembershipMessage &it : actions.Membership)
      Net.send(n, indexOf(it.To), it, Clock.now());
    for (const ProposalResult &it : actions.Log.Results)
      recordResult(n, it);
    for (const RoleChange &it : actions.Log.RoleChanges)
      if (it.NewRole == Role::Leader)
        checkSingleLeader(it.InTerm, n);
    checkVoterChange(n);
  }

  void checkSingleLeader(core::Term term, uint32_t n) {
    auto [it, added] = LeaderOfTerm.emplace(term, n);
    if (!added && it->second != n)
      throw InvariantViolation("two leaders in one term");
  }

  void checkVoterChange(uint32_t n) {
    if (!Vms[n].Process->isLeading(Clock.now()))
      return;
    const Replica &replica = Vms[n].Process->replica();
    const std::set<VoterId> &voters = replica.committedConfiguration().Voters;
    auto [it, added] = VotersOfTerm.emplace(replica.term(), voters);
    std::vector<VoterId> changed;
    std::set_symmetric_difference(it->second.begin(), it->second.end(), voters.begin(),
                                  voters.end(), std::back_inserter(changed));
    if (changed.size() > 1)
      throw InvariantViolation("a leader changed two voters at once");
    it->second = voters;
  }

  void recordResult(uint32_t n, const ProposalResult &result) {
    auto it = Pending.find({n, result.Index.Value});
    if (it == Pending.end())
      throw InvariantViolation("result without a pending proposal");
    if (result.Answer.ok())
      Acknowledged.push_back(it->second);
    Pending.erase(it);
  }

  void checkSequence(Vm &vm) {
    const std::vector<std::string> &commands = vm.Machine->Commands;
    vm.CheckedLength = std::min(vm.CheckedLength, commands.size());
    for (; vm.CheckedLength < commands.size(); ++vm.CheckedLength) {
      if (vm.CheckedLength == AppliedSequence.size())
        AppliedSequence.push_back(commands[vm.CheckedLength]);
      if (AppliedSequence[vm.CheckedLength] != commands[vm.CheckedLength])
        throw InvariantViolation("state machines diverge at command " +
                                 std::to_string(vm.CheckedLength));
    }
  }

  std::map<core::Term, uint32_t> LeaderOfTerm;
  std::map<core::Term, std::set<VoterId>> VotersOfTerm;
  std::map<std::pair<uint32_t, uint64_t>, std::string> Pending;
  size_t Proposed = 0;
};

} // namespace briarspar::agreement::testing
