#include "Steering.h"

#include <algorithm>
#include <map>

namespace briarspar::tools {

using balance::Outcome;
using core::TargetId;

namespace {

/// A health check takes a dead target out after this time.
constexpr core::Duration HealthCheck{2'000};
/// Without counts of work in flight, a drain waits for the longest deadline.
constexpr core::Duration DrainInForce{3'000};
constexpr int64_t RateParts = VmCount;

struct SplitBucket {
  double PerMs = 0;
  double Depth = 0;
  double Level = 0;
  int64_t LastMs = 0;

  bool take(int64_t ms) {
    Level = std::min(Depth, Level + PerMs * static_cast<double>(ms - LastMs));
    LastMs = ms;
    if (Level < 1)
      return false;
    Level -= 1;
    return true;
  }
};

class Baseline final : public Steering {
public:
  explicit Baseline(World &world) : W(world), Alive(VmCount, true) {
    for (const RateLimit &limit : rateLimits(W.Where, W.What)) {
      const double depth = std::max(1.0, static_cast<double>(limit.Burst) / RateParts);
      SplitBucket bucket{limit.PerSecond / 1000 / RateParts, depth, depth, 0};
      Buckets.emplace_back(VmCount, bucket);
    }
    for (const auto &[id, target] : W.targets())
      if (target.Info.Version.Value == "v1")
        Rings[target.Info.Pool].Targets.push_back(id);
  }

  void arrive(const Request &request) override {
    if (!Buckets[request.Customer][request.Vm].take(W.Clock.now().Ms))
      return W.Result.ended(request, Ending::RateRefused, W.Clock.now());
    const TargetId target = next(request);
    const core::Time deadline = request.Arrived + W.Where.Services[request.Service].Deadline;
    W.send(request, target, 0, [this, request, deadline](Outcome::Kind kind) {
      const core::Time now = W.Clock.now();
      if (!Alive[request.Vm] || (kind == Outcome::Good && now > deadline)) {
        ++W.Result.LateAnswers;
        return W.Result.ended(request, Ending::Lost, now);
      }
      W.Result.ended(request, kind == Outcome::Good ? Ending::Answered : Ending::Failed, now);
    });
  }

  void tick() override {}

  void regionLost(uint32_t region) override {
    for (uint32_t vm = 0; vm < VmCount; ++vm)
      Alive[vm] = Alive[vm] && regionOfVm(vm) != region;
    W.after(HealthCheck, [this] { removeIf([](const FakeTarget &target) { return !target.Up; }); });
  }

  std::vector<double> spread(uint32_t lostRegion) override {
    std::vector<double> even(RegionCount, 1.0 / (RegionCount - 1));
    even[lostRegion] = 0;
    return even;
  }

  void drain(const core::DomainId &domain) override {
    W.after(DrainInForce, [this, domain] {
      removeIf([&](const FakeTarget &target) { return target.Info.Where.Domain == domain; });
    });
    W.Result.DrainMs = (DrainInForce + W.Where.longestDeadline()).Ms;
  }

  void moveVersion() override;

private:
  struct Ring {
    std::vector<TargetId> Targets;
    size_t Next = 0;
  };

  template <class Predicate> void removeIf(Predicate remove) {
    for (auto &[pool, ring] : Rings) {
      auto &list = ring.Targets;
      list.erase(std::remove_if(list.begin(), list.end(),
                                [&](const TargetId &id) { return remove(W.target(id)); }),
                 list.end());
    }
  }

  TargetId next(const Request &request) {
    Ring &ring = Rings[balance::PoolId(W.Where.Services[request.Service].Name)];
    return ring.Targets[ring.Next++ % ring.Targets.size()];
  }

  World &W;
  std::vector<bool> Alive;
  std::vector<std::vector<SplitBucket>> Buckets; ///< By customer and VM.
  std::map<balance::PoolId, Ring> Rings;
};

/// Replaces the targets of the old version at once and does not look back.
void Baseline::moveVersion() {
  const balance::PoolId pool(W.Where.Services.front().Name);
  Rings[pool].Targets.clear();
  for (const auto &[id, target] : W.targets())
    if (target.Info.Version.Value == "v2")
      Rings[pool].Targets.push_back(id);
  W.Result.Move = "done";
}

} // namespace

std::unique_ptr<Steering> makeBaseline(World &world) { return std::make_unique<Baseline>(world); }

} // namespace briarspar::tools
