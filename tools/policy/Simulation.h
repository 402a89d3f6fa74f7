#pragma once

#include "Deployment.h"
#include "Metrics.h"
#include "Scene.h"
#include "balance/SlotMessages.h"
#include "balance/TargetChooser.h"
#include "core/Clock.h"

#include <pcg_random.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace briarspar::tools {

/// Called with the result of an attempt.
using AttemptDone = std::function<void(balance::Outcome::Kind)>;

/// A target that runs at most as many requests at once as it has slots and queues the rest in order
/// of arrival.
struct SimulatedTarget {
  balance::TargetInfo Info;
  uint32_t Region = 0;
  bool Up = true;
  double SlowFactor = 1;
  double FailShare = 0;
  bool Cold = false;
  uint32_t Served = 0; ///< Requests since the start; they fill the caches.
  uint32_t Running = 0;
  std::deque<uint64_t> Queue;
};

/// Discrete-event simulation of the targets and the network of one scene. Service times depend only
/// on the seed, the request and the attempt, so that both policies are compared on the same ones.
class Simulation {
public:
  Simulation(const Deployment &deployment, const Scene &scene, uint64_t seed);

  void schedule(core::Duration delay, std::function<void()> action);
  /// Runs all events that are due at the current time.
  void runDueEvents();

  /// Sends a request to a target and returns the id of the attempt. The handler is called once,
  /// when the answer has arrived at the VM.
  uint64_t send(const Request &request, const core::TargetId &target, uint32_t number,
                AttemptDone done);
  /// Cancels an attempt. Its handler is called with Cancelled, or with the answer if that was sent
  /// before the cancellation reached the target.
  void cancel(uint64_t attempt);
  void failRegion(uint32_t region);

  std::vector<balance::TargetInfo> targetInfos() const;
  SimulatedTarget &target(const core::TargetId &id) { return Targets.at(id); }
  std::map<core::TargetId, SimulatedTarget> &targets() { return Targets; }

  const Deployment &CurrentDeployment;
  const Scene &CurrentScene;
  const uint64_t Seed;
  core::ManualClock Clock;
  Metrics Result;

private:
  struct Attempt {
    Request CallerRequest;
    core::TargetId Target;
    uint32_t Number = 0;
    AttemptDone Done;
    bool Running = false;
    bool Ended = false; ///< The answer has been sent.
  };
  struct Event {
    int64_t At;
    uint64_t Sequence;
    std::function<void()> Action;
    bool operator>(const Event &o) const { return At != o.At ? At > o.At : Sequence > o.Sequence; }
  };

  void addTargets(const Service &service, const std::string &version);
  void onArrival(uint64_t id);
  void start(uint64_t id, SimulatedTarget &target);
  void finish(uint64_t id, balance::Outcome::Kind kind);
  void startNext(SimulatedTarget &target);
  core::Duration oneWayDelay(const Attempt &attempt) const;

  std::map<core::TargetId, SimulatedTarget> Targets;
  std::map<uint64_t, Attempt> Attempts;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  uint64_t LastAttemptId = 0;
  uint64_t LastSequence = 0;
};

core::RegionId regionId(uint32_t region);
core::CustomerId customerId(uint32_t customer);
core::VmId vmId(uint32_t vm);
balance::Locality localityOfVm(uint32_t vm);
constexpr uint32_t regionOfVm(uint32_t vm) { return vm / VmsPerRegion; }

} // namespace briarspar::tools
