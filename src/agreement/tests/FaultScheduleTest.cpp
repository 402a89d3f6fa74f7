#include "agreement/testing/Cluster.h"
#include "core/testing/Property.h"

#include <algorithm>

using namespace briarspar::core;
using namespace briarspar::agreement;
using briarspar::agreement::testing::Cluster;
using briarspar::agreement::testing::InvariantViolation;
using briarspar::core::testing::checkProperty;

namespace {

struct Fault {
  enum Kind { Crash, LoseData, Pause, Isolate, CutOneWay, CutLink, FailDisk, KindCount };
  Kind What = Crash;
  uint32_t Node = 0; ///< From the number of nodes on, the leader at the start of the fault.
  uint32_t Other = 0;
  int64_t Start = 0; ///< Ms after the start of the schedule.
  int64_t Length = 0;
};

std::ostream &operator<<(std::ostream &os, const Fault &f) {
  const char *names[] = {"crash",     "loseData", "pause",   "isolate",
                         "cutOneWay", "cutLink",  "failDisk"};
  return os << names[f.What] << '(' << f.Node << ',' << f.Other << ")@" << f.Start << '+'
            << f.Length;
}

// Starts and lengths are round numbers, so that faults often begin when others begin or end: a
// voter that lags behind becomes reachable just as the leader dies and another voter loses its
// data.
rc::Gen<Fault> genFault(uint32_t nodes) {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange<int>(0, Fault::KindCount),
                                     rc::gen::inRange(0u, nodes + 1), rc::gen::inRange(0u, nodes),
                                     rc::gen::inRange<int64_t>(0, 10),
                                     rc::gen::element<int64_t>(100, 250, 500, 1000, 1500, 2500)),
                      [](const auto &t) {
                        return Fault{static_cast<Fault::Kind>(std::get<0>(t)), std::get<1>(t),
                                     std::get<2>(t), std::get<3>(t) * 500, std::get<4>(t)};
                      });
}

ReplicaSettings smallSnapshots() {
  ReplicaSettings settings;
  settings.SnapshotInterval = 40;
  settings.RetainedEntries = 20;
  settings.SnapshotChunkBytes = 64;
  settings.MaxAppendBytes = 200;
  settings.MaxInflightEntries = 30;
  return settings;
}

class Schedule {
public:
  Schedule(Cluster &cluster, std::vector<Fault> faults)
      : Group(cluster), Faults(std::move(faults)) {
    // A loss of data needs a repaired group, which a fault at the same moment would end.
    std::stable_sort(Faults.begin(), Faults.end(), [](const Fault &a, const Fault &b) {
      return (a.What == Fault::LoseData) > (b.What == Fault::LoseData);
    });
  }

  /// Runs all faults, then undoes them.
  void run() {
    constexpr int64_t Ms = 8000;
    for (int64_t at = 0; at < Ms; at += 50) {
      for (const Fault &fault : Faults)
        if (fault.Start + fault.Length == at)
          end(fault);
      for (Fault &fault : Faults)
        if (fault.Start == at)
          begin(fault);
      Group.propose();
      Group.run({50});
    }
    for (const Fault &fault : Faults)
      end(fault);
  }

private:
  void begin(Fault &fault) {
    const Cluster::Node *leader = Group.leader();
    if (fault.Node >= Group.Nodes.size())
      fault.Node = leader == nullptr ? 0 : Group.nodeIndex(leader->Id);
    switch (fault.What) {
    case Fault::Crash:
      Group.crash(fault.Node);
      break;
    case Fault::LoseData:
      // Each loss comes right after the repair of the one before; two at once exceed what a group
      // of three promises to survive.
      if (Group.isRepaired())
        Group.loseData(fault.Node);
      break;
    case Fault::Pause:
      Group.setPaused(fault.Node, true);
      break;
    case Fault::Isolate:
      Group.Net.isolate(fault.Node, static_cast<uint32_t>(Group.Nodes.size()));
      break;
    case Fault::CutOneWay:
      Group.Net.cut(fault.Node, fault.Other);
      break;
    case Fault::CutLink:
      Group.Net.cut(fault.Node, fault.Other);
      Group.Net.cut(fault.Other, fault.Node);
      break;
    case Fault::FailDisk:
      Group.Nodes[fault.Node].Storage->setFailure(absl::ResourceExhaustedError("disk full"));
      break;
    case Fault::KindCount:
      break;
    }
  }

  void end(const Fault &fault) {
    if (fault.Node >= Group.Nodes.size())
      return; // Never begun.
    switch (fault.What) {
    case Fault::Crash:
    case Fault::LoseData:
      Group.start(fault.Node);
      break;
    case Fault::Pause:
      Group.setPaused(fault.Node, false);
      break;
    case Fault::Isolate:
    case Fault::CutOneWay:
    case Fault::CutLink:
      Group.Net.healAll();
      break;
    case Fault::FailDisk:
      Group.crash(fault.Node);
      Group.start(fault.Node);
      break;
    case Fault::KindCount:
      break;
    }
  }

  Cluster &Group;
  std::vector<Fault> Faults;
};

/// Runs a schedule and checks that the group recovers: a new command is acknowledged, every VM is a
/// voter again, and all of them hold the same sequence.
void surviveAndRecover(uint32_t nodes) {
  auto seed = *rc::gen::arbitrary<uint64_t>().as("seed");
  auto faults =
      *rc::gen::resize(10, rc::gen::container<std::vector<Fault>>(genFault(nodes))).as("faults");
  faults.push_back(*genFault(nodes).as("first of two at once"));
  faults.push_back(*genFault(nodes).as("second of two at once"));
  faults.back().Start = faults[faults.size() - 2].Start;
  Cluster cluster(nodes, seed, smallSnapshots());
  cluster.Net.settings().LossPermille = *rc::gen::inRange(0u, 100u).as("loss");
  cluster.Net.settings().DuplicatePermille = *rc::gen::inRange(0u, 100u).as("duplicates");
  try {
    Schedule(cluster, faults).run();
    cluster.Net.settings().LossPermille = 0;
    RC_ASSERT(cluster.runUntil({20'000}, [&] { return cluster.isRepaired(); }));
    size_t before = cluster.AcknowledgedCount;
    cluster.propose();
    cluster.run({1000});
    RC_ASSERT(cluster.AcknowledgedCount > before);
    for (const Cluster::Node &node : cluster.Nodes)
      RC_ASSERT(node.Machine->Commands == cluster.AppliedSequence);
  } catch (const InvariantViolation &violation) {
    RC_FAIL(violation.what());
  }
}

} // namespace

/// Guards against every loss or reversal of acknowledged commands, two leaders, stale reads and a
/// group that stays down, under overlapping crashes, data loss, pauses, partitions and disk faults.
Test(FaultSchedule, threeVotersSurvive) {
  checkProperty("three voters", [] { surviveAndRecover(3); });
}

/// As above, with the larger group size.
Test(FaultSchedule, fiveVotersSurvive) {
  checkProperty("five voters", [] { surviveAndRecover(5); });
}
