#pragma once

#include "catalog/Catalog.h"
#include "control/ProcessNoticeRelay.h"
#include "discovery/TargetList.h"
#include "entry/TargetTable.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace briarspar::entry::testing {

using core::Duration;
using core::Time;

/// What may happen to a target in a RestartFleet.
struct RestartPlan {
  Duration Fall{300};       ///< Time from the end of a process to the start of the next one.
  size_t Falls = 1;         ///< Number of ends, each two seconds after the start before it.
  double RequestsPerS = 60; ///< Over all VMs and targets.
  Duration ListLag{800};    ///< Age of what the platform's list shows.
  size_t Vms = 24;
  size_t Targets = 4;
  Duration KeepAlive{7000};  ///< Idle time after which a VM closes a connection.
  uint64_t LossPermille = 0; ///< Notices of the leader that do not arrive.
  Duration LeaderGone{0};    ///< Time from the first fall during which there is no leader.
  bool Restarts = true;      ///< Otherwise connections end and the process goes on.
  uint64_t Seed = 1;
};

/// Entry VMs of one region that send requests to the same targets over kept connections, a platform
/// list that lags, a leader that passes on their notices, and a target whose process ends and
/// starts again under its id. Time is simulated; the network takes a millisecond each way to a
/// target and forty to the leader.
class RestartFleet {
public:
  static constexpr double ColdRatePerS = 3.4;
  static constexpr Duration ColdSpan{3000};
  static constexpr double AllowedRatePerS = ColdRatePerS * 1.5 + 8;

  explicit RestartFleet(const RestartPlan &plan) : Plan(plan), Random(plan.Seed) {
    TargetTableSettings settings;
    settings.Cold.ExtraRatePerS = AllowedRatePerS - ColdRatePerS * 1.5;
    std::vector<link::EntryLocation> entries;
    for (size_t i = 0; i < Plan.Vms; ++i) {
      VmLocation place{vmId(i),
                       core::RegionId("r"),
                       core::DomainId("z"),
                       {{core::DomainId("z"), core::RegionId("r")}}};
      Vms.push_back(std::make_unique<Vm>(place, settings));
      entries.push_back({place.Vm, place.Region, place.Domain});
    }
    catalog::Catalog catalog;
    catalog::Change change;
    catalog::Service service;
    service.Name = "s";
    service.ColdDuration = ColdSpan;
    service.ColdRatePerS = ColdRatePerS;
    change.Services.push_back({catalog::ItemVersion(1), service, "s"});
    (void)catalog.apply(change, core::LogIndex(1));
    for (std::unique_ptr<Vm> &vm : Vms) {
      vm->Table.setCatalog(catalog, Now);
      vm->Table.setEntries(entries);
    }
    Targets.resize(Plan.Targets);
    List.startEpoch(1);
    readList();
    Route.Name = "route";
    Route.Idempotent = true;
    Route.Timeout = Duration{2000};
    Route.LatencyGoal = Duration{1000};
    Route.Services = {{"s", 1}};
    request();
    sweep(0);
    relay();
  }

  /// Plays until `span` has passed.
  void run(Duration span) {
    const Time end = Now + span;
    while (!Events.empty() && Events.begin()->first <= end) {
      Now = Events.begin()->first;
      auto step = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      step();
    }
    Now = end;
  }

  /// Warms up, lets the busiest target fall as planned, and plays until it is warm again.
  void play() {
    run(Duration{6000});
    Fallen = busiest();
    FirstFall = Now;
    if (Plan.LeaderGone.Ms > 0)
      loseLeader();
    for (size_t i = 0; i < Plan.Falls; ++i) {
      fall();
      run(Plan.Fall + Duration{2000});
    }
    run(ColdSpan + Duration{2000});
  }

  /// Returns the most requests that were sent to a cold process, and arrived, within a second.
  size_t worstSecond() const {
    size_t worst = 0;
    for (const auto &[process, times] : ColdArrivals)
      for (size_t i = 0; i < times.size(); ++i)
        worst =
            std::max<size_t>(worst, static_cast<size_t>(std::upper_bound(times.begin(), times.end(),
                                                                         times[i] + Duration{999}) -
                                                        times.begin()) -
                                        i);
    return worst;
  }

  /// Returns the longest time without an arrival at the target that lost its connections, while its
  /// process was running and warm.
  Duration longestIdle() const {
    const Target &it = Targets[Fallen];
    if (!Ended || it.Process == 0)
      return LongestIdle;
    return std::max(LongestIdle, Now - std::max(it.LastArrival, it.ColdUntil));
  }

private:
  struct Connection {
    uint64_t Process = 0;
    Time OpenedAt;
    Time LastHeard;
    Time IdleSince;
    bool Busy = false;
  };

  struct Vm {
    Vm(const VmLocation &place, const TargetTableSettings &settings) : Table(place, settings) {}
    TargetTable Table;
    std::map<size_t, std::vector<std::shared_ptr<Connection>>> Connections; ///< By target.
  };

  struct Target {
    uint64_t Process = 1; ///< Number of the process; 0 while none runs.
    uint64_t LastProcess = 1;
    Time ColdUntil;
    size_t Arrivals = 0;
    Time LastArrival;
  };

  static core::VmId vmId(size_t i) { return core::VmId("vm" + std::to_string(i)); }
  static core::TargetId targetId(size_t i) { return core::TargetId("t" + std::to_string(i)); }

  void after(Duration span, std::function<void()> step) {
    Events.emplace(Now + span, std::move(step));
  }

  uint64_t random(uint64_t bound) { return Random(static_cast<uint32_t>(bound)); }

  size_t busiest() const {
    return static_cast<size_t>(
        std::max_element(Targets.begin(), Targets.end(),
                         [](const Target &a, const Target &b) { return a.Arrivals < b.Arrivals; }) -
        Targets.begin());
  }

  /// Takes a snapshot of the targets, which reaches the VMs after the lag of the list.
  void readList() {
    std::vector<discovery::Target> snapshot(Plan.Targets);
    for (size_t i = 0; i < Plan.Targets; ++i) {
      discovery::Target &it = snapshot[i];
      it.Id = targetId(i);
      it.Service = "s";
      it.Host = "10.0.0." + std::to_string(i);
      it.Port = 1;
      it.Domain = core::DomainId("z");
      it.Version = core::VersionId("v1");
      it.Slots = 6;
      it.ColdUntil = Targets[i].ColdUntil;
      it.Process = core::Incarnation(Targets[i].LastProcess);
    }
    const Duration lag = Now.Ms == 0 ? Duration{0} : Plan.ListLag + Duration{50};
    after(lag, [this, snapshot] {
      if (!List.update(snapshot, Now) && Now.Ms != 0)
        return;
      for (std::unique_ptr<Vm> &vm : Vms)
        vm->Table.setTargets(List, Now);
    });
    after(Duration{700}, [this] { readList(); });
  }

  void sweep(size_t i) {
    for (std::unique_ptr<Vm> &vm : Vms) {
      (void)vm->Table.takeEjections();
      check(*vm);
    }
    after(Duration{40}, [this, i] { sweep(i); });
  }

  /// Sends the notices and probes of a VM that are due.
  void check(Vm &vm) {
    const auto notices = vm.Table.takeProcessNotices(
        [&vm](const std::string &host, uint16_t, Time openedBy) {
          const auto &open = vm.Connections[targetAt(host)];
          return std::any_of(open.begin(), open.end(), [openedBy](const auto &c) {
            return c->Process != 0 && c->OpenedAt <= openedBy;
          });
        },
        Now);
    if (!notices.empty())
      after(LeaderDelay, [this, notices] {
        if (hasLeader())
          Relay.receive(notices, Now);
      });
    while (std::optional<Pick> pick = vm.Table.nextProbe(Now))
      probe(vm, indexOf(pick->Id));
  }

  /// The leader passes on the notices that have arrived.
  void relay() {
    const auto notices = Relay.take(Now);
    if (!notices.empty())
      for (std::unique_ptr<Vm> &vm : Vms)
        after(LeaderDelay, [this, &vm = *vm, notices] {
          if (random(1000) >= Plan.LossPermille)
            vm.Table.applyProcessNotices(notices, Now);
        });
    after(Duration{15}, [this] { relay(); });
  }

  static size_t targetAt(const std::string &host) { return std::stoul(host.substr(7)); }

  static size_t indexOf(const core::TargetId &id) { return std::stoul(id.Value.substr(1)); }

  void probe(Vm &vm, size_t target) {
    after(Duration{1}, [this, &vm, target] {
      const Target &it = Targets[target];
      const bool isUp = it.Process != 0;
      const Duration cold{std::max<int64_t>(0, (it.ColdUntil - Now).Ms)};
      after(Duration{1}, [this, &vm, target, isUp, cold] {
        vm.Table.recordProbe(targetId(target), isUp ? ProbeResult::Passed : ProbeResult::Failed,
                             isUp ? cold : Duration{0}, Now);
      });
    });
  }

  void request() {
    send(*Vms[random(Plan.Vms)]);
    const auto gap =
        static_cast<int64_t>(1 + random(static_cast<uint64_t>(2000 / Plan.RequestsPerS)));
    after(Duration{gap}, [this] { request(); });
  }

  void send(Vm &vm) {
    PickRequest request;
    request.Route = &Route;
    request.Service = "s";
    request.Priority = 2;
    request.Left = Duration{2000};
    request.MayReuse = [this, &vm](const std::string &host, uint16_t, Time openedBy) {
      return idleConnection(vm, targetAt(host), openedBy) != nullptr;
    };
    std::optional<Pick> pick = vm.Table.pick(request, Now);
    if (!pick)
      return;
    const size_t target = indexOf(pick->Id);
    std::shared_ptr<Connection> connection =
        idleConnection(vm, target, pick->OpenedBy.value_or(Now));
    if (!connection) {
      connection = std::make_shared<Connection>();
      vm.Connections[target].push_back(connection);
    }
    connection->Busy = true;
    after(Duration{1}, [this, &vm, target, connection, pick = *pick, sent = Now] {
      arrive(vm, target, connection, pick, sent);
    });
  }

  void arrive(Vm &vm, size_t target, const std::shared_ptr<Connection> &connection,
              const Pick &pick, Time sent) {
    Target &it = Targets[target];
    const bool isNew = connection->Process == 0;
    if (isNew && it.Process != 0) {
      connection->OpenedAt = connection->LastHeard = Now;
      if (!vm.Table.confirmSend(pick, Now)) {
        remove(vm, target, connection);
        vm.Table.record(pick, Route, TargetOutcome::Cancelled, Duration{1}, 0, Now);
        send(vm);
        return;
      }
    }
    if (it.Process == 0 || (!isNew && connection->Process != it.Process)) {
      after(Duration{1}, [this, &vm, target, connection, pick, isNew] {
        lose(vm, target, connection, pick, isNew);
      });
      return;
    }
    connection->Process = it.Process;
    ++it.Arrivals;
    if (Now < it.ColdUntil)
      ColdArrivals[it.Process].push_back(sent);
    else if (Ended && target == Fallen)
      LongestIdle = std::max(LongestIdle, Now - std::max(it.LastArrival, it.ColdUntil));
    it.LastArrival = Now;
    const Duration work{60 + static_cast<int64_t>(random(80))};
    after(work, [this, &vm, target, connection, pick, sent] {
      if (Targets[target].Process != connection->Process || !connection->Busy)
        return;
      connection->Busy = false;
      connection->IdleSince = connection->LastHeard = Now;
      vm.Table.record(pick, Route, TargetOutcome::Success, Now - sent, 500, Now);
    });
  }

  void lose(Vm &vm, size_t target, const std::shared_ptr<Connection> &connection, const Pick &pick,
            bool isNew) {
    remove(vm, target, connection);
    if (!isNew)
      vm.Table.recordConnectionEnded(targetId(target), connection->LastHeard, true, Now);
    vm.Table.record(pick, Route,
                    isNew ? TargetOutcome::ConnectFailed : TargetOutcome::ConnectionLost,
                    Duration{2}, 0, Now);
    send(vm); // The retry.
  }

  std::shared_ptr<Connection> idleConnection(Vm &vm, size_t target, Time openedBy) {
    std::vector<std::shared_ptr<Connection>> &open = vm.Connections[target];
    open.erase(std::remove_if(open.begin(), open.end(),
                              [this](const auto &c) {
                                return !c->Busy && Now - c->IdleSince > Plan.KeepAlive;
                              }),
               open.end());
    auto idle = std::find_if(open.begin(), open.end(), [openedBy](const auto &c) {
      return !c->Busy && c->OpenedAt <= openedBy;
    });
    return idle == open.end() ? nullptr : *idle;
  }

  static void remove(Vm &vm, size_t target, const std::shared_ptr<Connection> &connection) {
    std::vector<std::shared_ptr<Connection>> &open = vm.Connections[target];
    open.erase(std::remove(open.begin(), open.end(), connection), open.end());
  }

  bool hasLeader() const {
    return Plan.LeaderGone.Ms == 0 || FirstFall.Ms == 0 || Now - FirstFall >= Plan.LeaderGone;
  }

  /// The VMs notice that the leader is silent, and that the next one is not.
  void loseLeader() {
    Relay.clear();
    if (Plan.LeaderGone > ControlTimeout)
      after(ControlTimeout, [this] {
        for (std::unique_ptr<Vm> &vm : Vms)
          vm->Table.setControlLost(FirstFall);
      });
    after(Plan.LeaderGone, [this] {
      for (std::unique_ptr<Vm> &vm : Vms) {
        vm->Table.setControlLost(std::nullopt);
        vm->Table.repeatProcessNotices(Now);
      }
    });
  }

  /// Ends the process of the target, or only its connections, and starts the next process later.
  void fall() {
    Target &it = Targets[Fallen];
    Ended = true;
    it.LastArrival = Now;
    if (Plan.Restarts)
      it.Process = 0;
    for (std::unique_ptr<Vm> &vm : Vms)
      for (const std::shared_ptr<Connection> &connection :
           std::exchange(vm->Connections[Fallen], {})) {
        if (!connection->Busy && Now - connection->IdleSince > Plan.KeepAlive)
          continue; // The VM has closed it.
        after(Duration{1}, [this, &vm = *vm, heard = connection->LastHeard] {
          vm.Table.recordConnectionEnded(targetId(Fallen), heard, true, Now);
        });
        if (connection->Busy && connection->Process != 0) {
          connection->Busy = false;
          Pick pick;
          pick.Id = targetId(Fallen);
          pick.Service = "s";
          after(Duration{1}, [this, &vm = *vm, pick] {
            vm.Table.record(pick, Route, TargetOutcome::ConnectionLost, Duration{2}, 0, Now);
            send(vm);
          });
        }
      }
    if (Plan.Restarts)
      after(Plan.Fall, [this] {
        Target &it = Targets[Fallen];
        it.Process = ++it.LastProcess;
        it.ColdUntil = Now + ColdSpan;
      });
  }

  static constexpr Duration LeaderDelay{40};
  static constexpr Duration ControlTimeout{1000};

  const RestartPlan Plan;
  pcg32 Random;
  Time Now;
  std::multimap<Time, std::function<void()>> Events;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::vector<Target> Targets;
  discovery::TargetList List;
  control::ProcessNoticeRelay Relay;
  catalog::Route Route;
  size_t Fallen = 0;
  Time FirstFall;
  bool Ended = false;
  std::map<uint64_t, std::vector<Time>> ColdArrivals; ///< Send times by process.
  Duration LongestIdle{0};
};

} // namespace briarspar::entry::testing
