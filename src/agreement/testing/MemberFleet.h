#pragma once

#include "agreement/FileLogStorage.h"
#include "agreement/GroupMember.h"
#include "agreement/testing/Cluster.h"
#include "agreement/testing/FaultFileSystem.h"

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

/// Control VMs with files on simulated disks, over a FaultNetwork in simulated time. VMs are
/// killed, frozen, cut off, replaced by VMs with another id, and lose power or their disks; disks
/// fill and stall. Checks after every step that a term has at most one leader, that all state
/// machines apply the same sequence, that a member which may answer reads holds every acknowledged
/// command, and that a leader changes one voter at a time.
class MemberFleet {
public:
  struct Vm {
    core::VmId Id;
    std::unique_ptr<FaultFileSystem> Disk;
    bool Founds = false; ///< Has not lost its disk since the group was created by it and others.
    std::unique_ptr<FileLogStorage> Storage; ///< Null while the process is down.
    std::unique_ptr<ListStateMachine> Machine;
    std::unique_ptr<GroupMember> Process; ///< Null while the process is down.
    size_t CheckedLength = 0; ///< Number of commands already compared with AppliedSequence.
    bool Paused = false;
    bool Gone = false; ///< Replaced by another VM.
  };

  /// Starts `count` VMs at the same moment, of which the first three are the seeds.
  MemberFleet(uint32_t count, uint64_t seed, const GroupMemberSettings &settings = {})
      : Settings(settings), Random(seed), Net(seed, {}) {
    std::set<VoterId> initial;
    for (uint32_t n = 0; n < SeedCount; ++n)
      initial.insert({idOf(n), InitialData});
    First = makeConfiguration(initial);
    for (uint32_t n = 0; n < count; ++n) {
      Vm &vm = Vms.emplace_back();
      vm.Id = idOf(n);
      vm.Founds = n < SeedCount;
      vm.Disk = std::make_unique<FaultFileSystem>(Random.next());
    }
    for (uint32_t n = 0; n < count; ++n)
      start(n);
  }

  /// Kills the process. Its files stay as they are.
  void kill(uint32_t n) {
    Vms[n].Process.reset();
    Vms[n].Storage.reset();
    Vms[n].Disk->setFull(false);
    Net.setDown(n, true);
  }

  /// Ends the process by a loss of power. What was not synced may be missing afterwards.
  void losePower(uint32_t n) {
    kill(n);
    Vms[n].Disk->losePower();
  }

  void start(uint32_t n) {
    Vm &vm = Vms[n];
    if (vm.Process != nullptr || vm.Gone)
      return;
    Net.setDown(n, false);
    vm.Machine = std::make_unique<ListStateMachine>();
    vm.CheckedLength = 0;
    absl::Status status = openStorage(vm);
    if (status.ok())
      status = openMember(vm);
    if (status.ok())
      return;
    vm.Process.reset();
    vm.Storage.reset();
    if (!vm.Disk->isPowerCut())
      throw InvariantViolation("start failed: " + std::string(status.message()));
  }

  /// Kills the process and deletes its data.
  void wipe(uint32_t n) {
    kill(n);
    Vms[n].Disk = std::make_unique<FaultFileSystem>(Random.next());
    Vms[n].Founds = false;
  }

  /// Adds a VM with an empty disk and returns its number.
  uint32_t add() {
    auto n = static_cast<uint32_t>(Vms.size());
    Vm &vm = Vms.emplace_back();
    vm.Id = idOf(n);
    vm.Disk = std::make_unique<FaultFileSystem>(Random.next());
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

  void setDiskFull(uint32_t n, bool full) { Vms[n].Disk->setFull(full); }

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
  static constexpr const char *Folder = "data";
  const GroupId Group{"g"};
  GroupMemberSettings Settings;
  SeededRandomSource Random;
  core::ManualClock Clock;
  core::testing::FaultNetwork<std::variant<std::string, MembershipMessage>> Net;
  std::deque<Vm> Vms;
  core::Duration WallClockStep;             ///< By how much the wall clocks have been set forward.
  std::vector<uint32_t> Seeds;              ///< VMs that the settings name, if not empty.
  std::vector<std::string> AppliedSequence; ///< Commands in order of application.
  std::vector<std::string> Acknowledged;

private:
  static constexpr core::Incarnation InitialData{1};

  static core::VmId idOf(uint32_t n) { return core::VmId("m" + std::to_string(n)); }
  static uint32_t indexOf(const core::VmId &vm) {
    return static_cast<uint32_t>(std::stoul(vm.Value.substr(1)));
  }

  /// Opens the files of a VM, or creates them on an empty disk.
  absl::Status openStorage(Vm &vm) {
    auto storage = FileLogStorage::open(*vm.Disk, Folder);
    if (absl::IsNotFound(storage.status())) {
      VoterId self{vm.Id, vm.Founds ? InitialData : core::Incarnation(wallClockMs())};
      absl::Status status =
          FileLogStorage::initialize(*vm.Disk, Folder, {Group, self}, vm.Founds ? &First : nullptr);
      if (!status.ok())
        return status;
      storage = FileLogStorage::open(*vm.Disk, Folder);
    }
    if (!storage.ok())
      return storage.status();
    vm.Storage = *std::move(storage);
    return absl::OkStatus();
  }

  absl::Status openMember(Vm &vm) {
    GroupMemberSettings settings = Settings;
    settings.Vm = vm.Id;
    vm.Process = std::make_unique<GroupMember>(settings, *vm.Storage, *vm.Machine, Random);
    vm.Process->setSeeds(seeds());
    return vm.Process->open(Clock.now());
  }

  /// The wall clock starts long before the simulation.
  uint64_t wallClockMs() const {
    return static_cast<uint64_t>(1'000'000 + Clock.now().Ms + WallClockStep.Ms);
  }

  /// Unless set, the platform names three VMs that exist.
  std::vector<core::VmId> seeds() const {
    std::vector<core::VmId> out;
    for (uint32_t n : Seeds)
      out.push_back(idOf(n));
    if (!out.empty())
      return out;
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
    checkReads(Vms[n]);
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
    if (result.Answer.ok()) {
      Acknowledged.push_back(it->second);
      AcknowledgedLength = std::max<size_t>(AcknowledgedLength, std::stoul(*result.Answer));
    }
    Pending.erase(it);
  }

  void checkReads(const Vm &vm) {
    if (vm.Process->isLeading(Clock.now()) && vm.Machine->Commands.size() < AcknowledgedLength)
      throw InvariantViolation("a leader lacks acknowledged commands");
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
  size_t AcknowledgedLength = 0; ///< Length of the sequence up to the last acknowledged command.
  Configuration First;
};

} // namespace briarspar::agreement::testing
