#include "RoutingPolicy.h"

#include <algorithm>
#include <map>

namespace briarspar::tools {

using balance::Outcome;
using core::TargetId;

namespace {

/// Time until health checks remove a failed target.
constexpr core::Duration HealthCheckDelay{2'000};
/// Time until all VMs know of a drain. The drain then lasts for the longest deadline, because the
/// baseline does not count requests in flight.
constexpr core::Duration DrainPropagation{3'000};
constexpr int64_t RateParts = VmCount;

struct VmBucket {
  double PerMs = 0;
  double Depth = 0;
  double Tokens = 0;
  int64_t LastMs = 0;

  bool tryAcquire(int64_t ms) {
    Tokens = std::min(Depth, Tokens + PerMs * static_cast<double>(ms - LastMs));
    LastMs = ms;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }
};

class BaselinePolicy final : public RoutingPolicy {
public:
  explicit BaselinePolicy(Simulation &simulation) : Sim(simulation), Alive(VmCount, true) {
    for (const RateLimit &limit : rateLimits(Sim.CurrentDeployment, Sim.CurrentScene)) {
      const double depth = std::max(1.0, static_cast<double>(limit.Burst) / RateParts);
      VmBucket bucket{limit.PerSecond / 1000 / RateParts, depth, depth, 0};
      Buckets.emplace_back(VmCount, bucket);
    }
    for (const auto &[id, target] : Sim.targets())
      if (target.Info.Version.Value == "v1")
        Rotations[target.Info.Pool].Targets.push_back(id);
  }

  void onRequest(const Request &request) override {
    if (!Buckets[request.Customer][request.Vm].tryAcquire(Sim.Clock.now().Ms))
      return Sim.Result.recordOutcome(request, RequestOutcome::RateRefused, Sim.Clock.now());
    const TargetId target = nextTarget(request);
    const core::Time deadline =
        request.Arrived + Sim.CurrentDeployment.Services[request.Service].Deadline;
    Sim.send(request, target, 0, [this, request, deadline](Outcome::Kind kind) {
      const core::Time now = Sim.Clock.now();
      if (!Alive[request.Vm] || (kind == Outcome::Good && now > deadline)) {
        ++Sim.Result.UnusedAnswers;
        return Sim.Result.recordOutcome(request, RequestOutcome::Lost, now);
      }
      Sim.Result.recordOutcome(
          request, kind == Outcome::Good ? RequestOutcome::Answered : RequestOutcome::Failed, now);
    });
  }

  void tick() override {}

  void onRegionLost(uint32_t region) override {
    for (uint32_t vm = 0; vm < VmCount; ++vm)
      Alive[vm] = Alive[vm] && regionOfVm(vm) != region;
    Sim.schedule(HealthCheckDelay,
                 [this] { removeIf([](const SimulatedTarget &target) { return !target.Up; }); });
  }

  std::vector<double> failoverShares(uint32_t lostRegion) override {
    std::vector<double> shares(RegionCount, 1.0 / (RegionCount - 1));
    shares[lostRegion] = 0;
    return shares;
  }

  void startDrain(const core::DomainId &domain) override {
    Sim.schedule(DrainPropagation, [this, domain] {
      removeIf([&](const SimulatedTarget &target) { return target.Info.Where.Domain == domain; });
    });
    Sim.Result.DrainMs = (DrainPropagation + Sim.CurrentDeployment.longestDeadline()).Ms;
  }

  void startVersionMove() override;

private:
  struct Rotation {
    std::vector<TargetId> Targets;
    size_t Next = 0;
  };

  template <class Predicate> void removeIf(Predicate remove) {
    for (auto &[pool, rotation] : Rotations) {
      auto &list = rotation.Targets;
      list.erase(std::remove_if(list.begin(), list.end(),
                                [&](const TargetId &id) { return remove(Sim.target(id)); }),
                 list.end());
    }
  }

  TargetId nextTarget(const Request &request) {
    Rotation &rotation =
        Rotations[balance::PoolId(Sim.CurrentDeployment.Services[request.Service].Name)];
    return rotation.Targets[rotation.Next++ % rotation.Targets.size()];
  }

  Simulation &Sim;
  std::vector<bool> Alive;
  std::vector<std::vector<VmBucket>> Buckets; ///< By customer and VM.
  std::map<balance::PoolId, Rotation> Rotations;
};

/// Switches all traffic to the new version at once and never rolls back.
void BaselinePolicy::startVersionMove() {
  const balance::PoolId pool(Sim.CurrentDeployment.Services.front().Name);
  Rotations[pool].Targets.clear();
  for (const auto &[id, target] : Sim.targets())
    if (target.Info.Version.Value == "v2")
      Rotations[pool].Targets.push_back(id);
  Sim.Result.MoveResult = "done";
}

} // namespace

std::unique_ptr<RoutingPolicy> makeBaselinePolicy(Simulation &simulation) {
  return std::make_unique<BaselinePolicy>(simulation);
}

} // namespace briarspar::tools
