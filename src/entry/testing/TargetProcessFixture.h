#pragma once

#include "entry/TargetTable.h"
#include "entry/testing/OneService.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarspar::entry::testing {

/// A service with two targets. All requests but those that say otherwise go to `t1`, whose process
/// may change.
struct TargetProcessFixture {
  TargetProcessFixture()
      : Table({core::VmId("vm"),
               core::RegionId("z"),
               core::DomainId("z"),
               {{core::DomainId("z"), core::RegionId("z")}}},
              settings()) {
    Table.setCatalog(oneService(), core::Time{0});
    list(100);
    Route.Name = "route";
    Route.Idempotent = true;
    Route.Sticky = true;
    Route.Timeout = core::Duration{60'000};
    Route.LatencyGoal = core::Duration{400};
    Route.Services = {{"s", 1}};
  }

  /// Returns settings with which a cold target, too, is expected to answer within the latency goal.
  static TargetTableSettings settings() {
    TargetTableSettings it;
    it.Processing.UncachedToGoal = 0.25;
    return it;
  }

  /// Applies a list with another process of `t1`.
  void list(uint64_t process, core::Time coldUntil = {}, bool isListed = true) {
    std::vector<discovery::Target> targets;
    const discovery::TargetList plain = targetsIn({"z", "z"}, 4);
    for (const auto &[id, it] : plain.targets()) {
      targets.push_back(it);
      targets.back().Host = id.Value;
      targets.back().Port = 80;
      targets.back().Process = core::Incarnation(100);
    }
    targets[1].Process = core::Incarnation(process);
    targets[1].ColdUntil = coldUntil;
    if (!isListed)
      targets.pop_back();
    discovery::TargetList list;
    list.startEpoch(1);
    list.update(targets, Now);
    Table.setTargets(list, Now);
  }

  std::optional<Pick> pick(std::optional<uint64_t> object = std::nullopt) {
    PickRequest request;
    request.Route = &Route;
    request.Service = "s";
    request.Object = object;
    request.Priority = 2;
    request.Left = core::Duration{60'000};
    request.Tried = Tried;
    if (OpenedAt)
      request.MayReuse = [this](const std::string &, uint16_t, core::Time openedBy) {
        return *OpenedAt <= openedBy;
      };
    return Table.pick(request, Now);
  }

  void record(TargetOutcome outcome, int times, int64_t ms = 100) {
    for (int i = 0; i < times; ++i) {
      Pick it;
      it.Id = Id;
      it.Service = "s";
      it.Expected = 100;
      Table.record(it, Route, outcome, core::Duration{ms}, 500, Now);
    }
  }

  /// Picks `t1`, cancels the request, and lets the limit of a cold target pass.
  std::optional<Pick> look(std::optional<uint64_t> object = std::nullopt) {
    Now = Now + core::Duration{400};
    std::optional<Pick> it = pick(object);
    if (it)
      Table.record(*it, Route, TargetOutcome::Cancelled, core::Duration{0}, 0, Now);
    return it;
  }

  bool isUnused() { return !look(); }

  std::vector<link::ProcessNotice> takeNotices() {
    return Table.takeProcessNotices(
        [this](const std::string &, uint16_t, core::Time openedBy) {
          return OpenedAt && *OpenedAt <= openedBy;
        },
        Now);
  }

  void apply(link::ProcessFact fact, int64_t spanMs) {
    const link::ProcessNotice notice{link::targetKey(Id), fact, core::Duration{spanMs}};
    Table.applyProcessNotices({&notice, 1}, Now);
  }

  core::Time Now{10'000};
  TargetTable Table;
  catalog::Route Route;
  const core::TargetId Id{"t1"};
  std::vector<core::TargetId> Tried{core::TargetId("t0")};
  std::optional<core::Time> OpenedAt; ///< When an open connection to `t1` was established.
};

} // namespace briarspar::entry::testing
