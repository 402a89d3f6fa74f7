#include "core/testing/Property.h"
#include "daemon/testing/InMemoryFleet.h"

#include <numeric>

using namespace briarspar;
using namespace briarspar::daemon;
using daemon::testing::InMemoryFleet;

namespace {

constexpr uint32_t Regions = 3;
constexpr uint32_t CapBasis = 2'500;
constexpr core::Duration CapWindow{1'000};

/// A fleet with a target in every region. Node n is in region n % 3 + 1, and the first three nodes
/// are voters.
struct World {
  World() : Fleet({}) {
    cr_assert(Fleet.advanceUntil([&] { return Fleet.leader().has_value(); }, {10'000}));
    for (uint32_t n = 0; n < Fleet.size(); ++n) {
      balance::Locality place = Fleet.localityOf(n);
      Fleet.propose(config::PutVm{InMemoryFleet::idOf(n), "127.0.0.1:" + std::to_string(1000 + n),
                                  "127.0.0.1:" + std::to_string(2000 + n), place.Region,
                                  place.Domain});
    }
    Fleet.propose(config::CreateRoute{core::RouteId("read"),
                                      "/read",
                                      config::RouteAccess::Open,
                                      config::RouteSemantics::Idempotent,
                                      {1'000}});
    for (uint32_t n = 0; n < Regions; ++n) {
      balance::Locality place = Fleet.localityOf(n);
      Fleet.propose(config::AddTarget{targetIn(n), core::RouteId("read"),
                                      "127.0.0.1:" + std::to_string(3000 + n),
                                      core::VersionId("v1"), 100, place.Region, place.Domain});
      Fleet.propose(config::SetCap{config::CapId(place.Region.Value), CapBasis / 10, CapWindow});
    }
    cr_assert(Fleet.advanceUntil([&] { return Fleet.servingNodes() == Fleet.size(); }, {30'000}));
    // A new leader judges no region at first.
    Fleet.advance({20'000});
  }

  static core::TargetId targetIn(uint32_t n) { return core::TargetId("t" + std::to_string(n)); }

  /// The latest applied record of the region's failure, or null.
  const config::RegionFailureRecord *failureRecord(const core::RegionId &region) {
    const config::ConfigStore *latest = nullptr;
    for (uint32_t n = 0; n < Regions; ++n) {
      if (!Fleet.isUp(n))
        continue;
      const config::ConfigStore &store = Fleet.node(n).voter()->stateMachine().config();
      if (latest == nullptr || latest->version() < store.version())
        latest = &store;
    }
    return config::find(latest->records().RegionFailures, region);
  }

  uint32_t awayFrom(const core::RegionId &region) {
    const config::RegionFailureRecord *record = failureRecord(region);
    uint32_t sum = 0;
    if (record != nullptr)
      for (const config::ForcedShare &it : record->ForcedShares)
        sum += it.BasisPoints;
    return sum;
  }

  bool isDown(const core::RegionId &region) {
    const config::RegionFailureRecord *record = failureRecord(region);
    return record != nullptr && record->Down;
  }

  void changeLeader() {
    uint32_t old = *Fleet.leader();
    Fleet.crash(old);
    Fleet.restart(old);
    cr_assert(Fleet.advanceUntil([&] { return Fleet.leader().has_value(); }, {30'000}));
  }

  /// True if a look-up at the node names a VM of its own region for any of the callers.
  bool namesOwnRegion(uint32_t n) {
    for (uint32_t caller = 0; caller < 64; ++caller)
      for (const core::VmId &vm :
           Fleet.node(n).vm().state()->Lookups->answer(caller << 8, Fleet.clock().now()).Vms)
        if (vm == InMemoryFleet::idOf(n % Regions) ||
            vm == InMemoryFleet::idOf(n % Regions + Regions))
          return true;
    return false;
  }

  InMemoryFleet Fleet;
};

} // namespace

/// Guards against callers of a lost region who are sent nowhere, who are sent elsewhere by every
/// new leader, or who return all at once or twice when the leader changes in the middle.
Test(RegionMonitor, callersLeaveALostRegionAndReturnUnderTheCap) {
  World w;
  uint32_t lost = (*w.Fleet.leader() + 1) % Regions;
  core::RegionId region = w.Fleet.localityOf(lost).Region;
  for (uint32_t n : {lost, lost + Regions})
    w.Fleet.crash(n);
  cr_assert(w.Fleet.advanceUntil([&] { return w.isDown(region); }, {60'000}));
  cr_assert_eq(w.awayFrom(region), moves::FullShare);
  core::ConfigVersion committed = w.failureRecord(region)->Changed.Version;
  w.changeLeader();
  w.Fleet.advance({40'000});
  cr_assert_eq(w.failureRecord(region)->Changed.Version, committed);

  for (uint32_t n : {lost, lost + Regions})
    w.Fleet.restart(n);
  uint32_t away = w.awayFrom(region);
  std::vector<std::pair<core::Time, uint32_t>> returned;
  auto observe = [&] {
    uint32_t now = w.awayFrom(region);
    cr_assert_leq(now, away, "callers were sent away again");
    if (now < away)
      returned.emplace_back(w.Fleet.clock().now(), away - now);
    away = now;
    if (returned.size() == 2 && !returned.empty() && away > 0 && w.Fleet.leader() &&
        returned.back().first == w.Fleet.clock().now())
      w.changeLeader();
    return w.failureRecord(region) == nullptr;
  };
  cr_assert(w.Fleet.advanceUntil(observe, {300'000}));
  for (size_t n = 0; n < returned.size(); ++n) {
    cr_assert_leq(returned[n].second, CapBasis);
    cr_assert(n == 0 || returned[n].first - returned[n - 1].first >= CapWindow);
  }
}

/// Guards against callers who stay in a region whose VMs live and whose targets answer nothing.
Test(RegionMonitor, callersLeaveARegionWithoutWorkingTargets) {
  World w;
  uint32_t lost = (*w.Fleet.leader() + 1) % Regions;
  core::RegionId region = w.Fleet.localityOf(lost).Region;
  auto record = [&](balance::Outcome::Kind kind) {
    for (uint32_t n : {lost, lost + Regions})
      w.Fleet.node(n).vm().chooser().record({World::targetIn(lost), kind, {}},
                                            w.Fleet.clock().now());
    w.Fleet.advance({500});
  };
  cr_assert(w.namesOwnRegion(lost));
  for (int n = 0; n < 60 && !w.isDown(region); ++n)
    record(balance::Outcome::ConnectFailed);
  cr_assert(w.isDown(region));
  cr_assert_eq(w.failureRecord(region)->Cause, config::RegionFailureCause::Targets);
  cr_assert(w.Fleet.advanceUntil([&] { return !w.namesOwnRegion(lost); }, {10'000}));
  for (int n = 0; n < 20 && w.isDown(region); ++n)
    record(balance::Outcome::Good);
  cr_assert_not(w.isDown(region));
}

/// Guards against a bad new version whose only targets are in one region and that ends the region.
Test(RegionMonitor, aVersionUnderTrialSaysNothingAboutItsRegion) {
  ServingState state;
  for (const char *version : {"v1", "v2"}) {
    config::TargetRecord target;
    target.Id = core::TargetId(version);
    target.Route = core::RouteId("read");
    target.Version = core::VersionId(version);
    target.Region = core::RegionId(version);
    state.Records.Targets[target.Id] = target;
  }
  config::MoveRecord move;
  move.Route = core::RouteId("read");
  move.To = core::VersionId("v2");
  state.Records.Moves[move.Id] = move;
  std::vector<RegionOutcomes> sums =
      outcomesByRegion({{core::TargetId("v1"), {1, 2}}, {core::TargetId("v2"), {0, 9}}}, state);
  cr_assert_eq(sums.size(), 1);
  cr_assert_eq(sums[0].Region.Value, "v1");
  cr_assert_eq(sums[0].Failed, 2);
}
