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
struct Fixture {
  Fixture() : Fleet({}) {
    cr_assert(Fleet.advanceUntil([&] { return Fleet.leader().has_value(); }, {10'000}));
    for (uint32_t n = 0; n < Fleet.size(); ++n) {
      balance::Locality locality = Fleet.localityOf(n);
      Fleet.propose(config::PutVm{InMemoryFleet::idOf(n), "127.0.0.1:" + std::to_string(1000 + n),
                                  "127.0.0.1:" + std::to_string(2000 + n), locality.Region,
                                  locality.Domain});
    }
    Fleet.propose(config::CreateRoute{core::RouteId("read"),
                                      "/read",
                                      config::RouteAccess::Open,
                                      config::RouteSemantics::Idempotent,
                                      {1'000}});
    for (uint32_t n = 0; n < Regions; ++n) {
      balance::Locality locality = Fleet.localityOf(n);
      Fleet.propose(config::AddTarget{
          targetIn(n), core::RouteId("read"), "127.0.0.1:" + std::to_string(3000 + n),
          core::VersionId("v1"), 100, locality.Region, locality.Domain});
      Fleet.propose(config::SetCap{config::CapId(locality.Region.Value), CapBasis / 10, CapWindow});
    }
    cr_assert(Fleet.advanceUntil([&] { return Fleet.servingNodes() == Fleet.size(); }, {30'000}));
    // Waits for the start-up grace period of the leader's region monitor.
    Fleet.advance({20'000});
  }

  static core::TargetId targetIn(uint32_t n) { return core::TargetId("t" + std::to_string(n)); }

  /// Returns the latest applied record of the region's failure, or null.
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

  uint32_t redirectedShare(const core::RegionId &region) {
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

  /// Returns true if a lookup at the node returns a VM of its own region for any of the callers.
  bool returnsOwnRegion(uint32_t n) {
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

/// Guards against callers of a failed region that are not redirected, that every new leader
/// redirects again, or that return all at once or repeatedly when the leader changes meanwhile.
Test(RegionMonitor, callersLeaveFailedRegionAndReturnWithinCap) {
  Fixture f;
  uint32_t failed = (*f.Fleet.leader() + 1) % Regions;
  core::RegionId region = f.Fleet.localityOf(failed).Region;
  for (uint32_t n : {failed, failed + Regions})
    f.Fleet.crash(n);
  cr_assert(f.Fleet.advanceUntil([&] { return f.isDown(region); }, {60'000}));
  cr_assert_eq(f.redirectedShare(region), moves::FullShare);
  core::ConfigVersion committed = f.failureRecord(region)->Changed.Version;
  f.changeLeader();
  f.Fleet.advance({40'000});
  cr_assert_eq(f.failureRecord(region)->Changed.Version, committed);

  for (uint32_t n : {failed, failed + Regions})
    f.Fleet.restart(n);
  uint32_t redirected = f.redirectedShare(region);
  std::vector<std::pair<core::Time, uint32_t>> returned;
  auto observe = [&] {
    uint32_t now = f.redirectedShare(region);
    cr_assert_leq(now, redirected, "callers were redirected again");
    if (now < redirected)
      returned.emplace_back(f.Fleet.clock().now(), redirected - now);
    redirected = now;
    if (returned.size() == 2 && !returned.empty() && redirected > 0 && f.Fleet.leader() &&
        returned.back().first == f.Fleet.clock().now())
      f.changeLeader();
    return f.failureRecord(region) == nullptr;
  };
  cr_assert(f.Fleet.advanceUntil(observe, {300'000}));
  for (size_t n = 0; n < returned.size(); ++n) {
    cr_assert_leq(returned[n].second, CapBasis);
    cr_assert(n == 0 || returned[n].first - returned[n - 1].first >= CapWindow);
  }
}

/// Guards against callers that are not redirected from a region whose VMs are live but whose
/// targets do not answer.
Test(RegionMonitor, callersLeaveRegionWithoutWorkingTargets) {
  Fixture f;
  uint32_t failed = (*f.Fleet.leader() + 1) % Regions;
  core::RegionId region = f.Fleet.localityOf(failed).Region;
  auto record = [&](balance::Outcome::Kind kind) {
    for (uint32_t n : {failed, failed + Regions})
      f.Fleet.node(n).vm().chooser().record({Fixture::targetIn(failed), kind, {}},
                                            f.Fleet.clock().now());
    f.Fleet.advance({500});
  };
  cr_assert(f.returnsOwnRegion(failed));
  for (int n = 0; n < 60 && !f.isDown(region); ++n)
    record(balance::Outcome::ConnectFailed);
  cr_assert(f.isDown(region));
  cr_assert_eq(f.failureRecord(region)->Cause, config::RegionFailureCause::Targets);
  cr_assert(f.Fleet.advanceUntil([&] { return !f.returnsOwnRegion(failed); }, {10'000}));
  for (int n = 0; n < 20 && f.isDown(region); ++n)
    record(balance::Outcome::Good);
  cr_assert_not(f.isDown(region));
}

/// Guards against a region that is declared failed because of a faulty new version whose only
/// targets are in that region.
Test(RegionMonitor, outcomesOfCandidateVersionAreExcluded) {
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
