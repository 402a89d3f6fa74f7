#include "control/BusyTargets.h"
#include "core/Hash.h"
#include "core/testing/Property.h"

#include "entry/TargetTable.h"
#include "entry/testing/OneService.h"

#include <pcg_random.hpp>

#include <deque>
#include <random>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::entry;

namespace {

constexpr size_t VmCount = 60;
constexpr size_t TargetCount = 24;
constexpr uint32_t SlotCount = 6;
constexpr size_t RememberedObjects = 30;
constexpr Duration Step{10};
constexpr Duration ReportInterval{400};
constexpr Duration Span{20'000};

/// Start of the measurement; by then most objects have been requested.
constexpr Time FirstSeconds{5000};

/// Simulates a fleet of entry VMs and the targets of one service. Each VM knows only its own
/// requests and the load in responses to them. Targets cache the objects that they served last.
class Fleet {
public:
  explicit Fleet(Duration work) : Work(work) {
    Route.Name = "route";
    Route.Idempotent = true;
    Route.Sticky = true;
    Route.Timeout = Duration{8000};
    Route.LatencyGoal = Duration{1000};
    Route.Services = {{"s", 1}};
    for (const auto &[id, target] : List.targets())
      Queues[id];
    for (size_t i = 0; i < VmCount; ++i) {
      Vms.push_back(std::make_unique<TargetTable>(VmLocation{VmId("vm" + std::to_string(i)),
                                                             RegionId("z"),
                                                             DomainId("z"),
                                                             {{DomainId("z"), RegionId("z")}}}));
      Vms.back()->setCatalog(entry::testing::oneService(), Time{0});
      Vms.back()->setTargets(List, Time{0});
    }
  }

  TargetTable &vm(size_t i) { return *Vms[i]; }
  const catalog::Route &route() const { return Route; }

  PickRequest request(uint64_t object) const {
    PickRequest request;
    request.Route = &Route;
    request.Service = "s";
    request.Object = hash64(std::to_string(object), 1);
    request.Priority = 2;
    request.Left = Route.Timeout;
    return request;
  }

  /// Returns the fraction of the requests after the warm-up that were answered within the latency
  /// goal.
  double simulate(double requestsPerS, bool shareBusy) {
    pcg32 random(7);
    control::BusyTargets busy;
    double due = 0;
    for (Time now{0}; now < Time{0} + Span; now = now + Step) {
      due += requestsPerS * static_cast<double>(Step.Ms) / 1000;
      for (; due >= 1; due -= 1)
        send(random, now);
      serve(now);
      if (shareBusy && now.Ms % ReportInterval.Ms == 0)
        for (const auto &vm : Vms) {
          busy.report(vm->takeLoads(), now);
          vm->setBusyTargets(busy.find(List, now), now);
        }
    }
    return static_cast<double>(InGoal) / static_cast<double>(Requested);
  }

private:
  struct Job {
    size_t Vm;
    Pick What;
    uint64_t Object;
    Time At;
  };

  struct Queue {
    std::deque<Job> Waiting;
    std::vector<std::pair<Time, Job>> Running; ///< With the time at which each ends.
    std::deque<uint64_t> Cached;               ///< Cached objects, most recently used last.

    bool hasCached(uint64_t object) const {
      return std::find(Cached.begin(), Cached.end(), object) != Cached.end();
    }

    void cache(uint64_t object) {
      Cached.erase(std::remove(Cached.begin(), Cached.end(), object), Cached.end());
      Cached.push_back(object);
      if (Cached.size() > RememberedObjects)
        Cached.pop_front();
    }
  };

  void send(pcg32 &random, Time now) {
    // Of 400 objects, those with low numbers are requested most often.
    double part = std::uniform_real_distribution<double>()(random);
    uint64_t object = static_cast<uint64_t>(400 * part * part);
    size_t vm = random(VmCount);
    PickRequest request = this->request(object);
    Requested += now > FirstSeconds ? 1 : 0;
    if (std::optional<Pick> pick = Vms[vm]->pick(request, now))
      Queues[pick->Id].Waiting.push_back({vm, *pick, *request.Object, now});
  }

  void serve(Time now) {
    for (auto &[id, queue] : Queues) {
      for (auto it = queue.Running.begin(); it != queue.Running.end();) {
        if (now < it->first) {
          ++it;
          continue;
        }
        Job job = it->second;
        queue.cache(job.Object);
        it = queue.Running.erase(it);
        Duration latency = now - job.At;
        InGoal += job.At > FirstSeconds && latency <= Route.LatencyGoal ? 1 : 0;
        uint32_t waiting = static_cast<uint32_t>(queue.Waiting.size());
        Vms[job.Vm]->recordLoad(id, {static_cast<uint32_t>(queue.Running.size()), waiting, 0}, now);
        Vms[job.Vm]->record(job.What, Route, TargetOutcome::Success, latency, 0, now);
      }
      while (queue.Running.size() < SlotCount && !queue.Waiting.empty()) {
        Job job = queue.Waiting.front();
        queue.Waiting.pop_front();
        queue.Running.push_back({now + Work * (queue.hasCached(job.Object) ? 1 : 4), job});
      }
    }
  }

  const Duration Work;
  catalog::Route Route;
  const discovery::TargetList List =
      entry::testing::targetsIn(std::vector<std::string>(TargetCount, "z"), SlotCount);
  std::vector<std::unique_ptr<TargetTable>> Vms;
  std::map<TargetId, Queue> Queues;
  size_t Requested = 0;
  size_t InGoal = 0;
};

} // namespace

/// Guards against primary targets that stay overloaded because no VM sees the requests of the
/// others. Objects have unequal popularity, and a cache miss takes four times as long as a hit, so
/// that the first requests for objects alone occupy many slots. `Utilization` is the fraction of
/// the slots in use if every request were a hit.
Test(BusyTargets, sharedLoadRelievesFullPrimaryTargets) {
  struct Case {
    int64_t WorkMs;
    double Utilization;
    double Gain; ///< Minimum gain in the fraction of requests within the latency goal.
  };
  for (const Case &it : {Case{300, 0.3, -0.03}, Case{200, 0.5, 0}, Case{300, 0.5, 0.05},
                         Case{300, 0.8, 0.1}, Case{400, 0.8, 0.1}}) {
    double rate =
        it.Utilization * TargetCount * SlotCount * 1000.0 / static_cast<double>(it.WorkMs);
    double isolated = Fleet(Duration{it.WorkMs}).simulate(rate, /*shareBusy=*/false);
    double shared = Fleet(Duration{it.WorkMs}).simulate(rate, /*shareBusy=*/true);
    cr_expect_geq(shared, isolated + it.Gain,
                  "work of %d ms, utilization %.1f: %.3f with shared loads, %.3f without",
                  static_cast<int>(it.WorkMs), it.Utilization, shared, isolated);
  }
}

/// Guards against a forwarded load that overrides what the target has just reported to this VM
/// itself.
Test(BusyTargets, ownReportOverridesForwardedLoad) {
  Fleet fleet(Duration{100});
  TargetTable &table = fleet.vm(0);
  PickRequest request = fleet.request(1);
  Pick primary = *table.pick(request, Time{0});
  table.record(primary, fleet.route(), TargetOutcome::Success, Duration{100}, 0, Time{100});
  table.recordLoad(primary.Id, {0, 0, SlotCount}, Time{100});
  link::TargetLoad busy{link::targetKey(primary.Id), 4 * SlotCount};
  table.setBusyTargets({&busy, 1}, Time{200});
  Pick second = *table.pick(request, Time{200});
  cr_assert_eq(second.Id.Value, primary.Id.Value);
  table.record(second, fleet.route(), TargetOutcome::Success, Duration{100}, 0, Time{300});
  table.setBusyTargets({&busy, 1}, Time{1000});
  cr_assert_neq(table.pick(request, Time{1000})->Id.Value, primary.Id.Value);
}

/// Guards against a leader that names targets by outdated loads, or targets that are not busy.
Test(BusyTargets, reportsBusiestTargetsOfRecentReports) {
  discovery::TargetList list;
  list.startEpoch(1);
  std::vector<discovery::Target> targets(4);
  std::vector<uint32_t> keys;
  for (size_t i = 0; i < targets.size(); ++i) {
    targets[i].Id = TargetId("t" + std::to_string(i));
    targets[i].Slots = 10;
    keys.push_back(link::targetKey(targets[i].Id));
  }
  list.update(targets, Time{0});
  control::BusyTargetsSettings settings;
  settings.MaxReported = 2;
  control::BusyTargets busy(settings);
  busy.report(std::vector<link::TargetLoad>{{keys[0], 30}}, Time{0});
  busy.report(std::vector<link::TargetLoad>{{keys[1], 9}, {keys[2], 12}, {keys[3], 2}}, Time{1600});
  std::vector<link::TargetLoad> found = busy.find(list, Time{1600});
  cr_assert_eq(found.size(), 2);
  cr_assert_eq(found[0].Target, keys[2]);
  cr_assert_eq(found[1].Target, keys[1]);
}
