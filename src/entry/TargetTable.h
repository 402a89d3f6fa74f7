#pragma once

#include "absl/types/span.h"
#include "catalog/Catalog.h"
#include "discovery/TargetList.h"
#include "entry/ColdTargetLimiter.h"
#include "entry/ObjectAffinity.h"
#include "entry/ProcessingTimes.h"
#include "entry/RegionShiftLimiter.h"
#include "link/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace briarspar::entry {

/// Where a VM is.
struct VmLocation {
  core::VmId Vm;
  core::RegionId Region;
  core::DomainId Domain;
  std::map<core::DomainId, core::RegionId> Regions; ///< Of all failure domains.
};

/// Weights and times of the choice of targets. Values are in answers within the latency goal: such
/// an answer of a route of normal priority is worth 1.
struct TargetTableSettings {
  double LateValue = 0.2; ///< Worth of an answer that comes after the goal; callers' own figure.
  double PriorityStep = 0.25; ///< Added for each rank of priority above NormalPriority.
  uint32_t NormalPriority = 2;
  double MinValue = 0.03;          ///< A request worth less at every target is refused.
  double CacheEvictionCost = 0.35; ///< Value lost when a target that is no home of an object learns
                                   ///< it: it forgets another one, which comes back.
  double FallbackCost = 0.05; ///< The same for the spare targets of an object, where the requests
                              ///< that follow will find it known.
  core::Duration CacheRetention{6000}; ///< A target that is no home is taken to remember an object
                                       ///< for this long.
  double UncontendedLoad = 0.7; ///< Requests a slot up to which a request displaces no other.
  double LoadCost = 1.0; ///< Value displaced by a request of mean work for each request a slot
                         ///< beyond that.
  double DomainCostPerKb = 0.04; ///< Value of 1,000 bytes between failure domains, which are paid
                                 ///< for.
  double RegionCostPerKb = 0.04; ///< The same between regions.
  core::Duration FailoverWindow{6000}; ///< After a target has failed, requests may move between
                                       ///< regions at once; most failures last about as long.
  core::Duration DomainRoundTrip{2};   ///< To another failure domain, until it has been measured.
  core::Duration RegionRoundTrip{60};  ///< To another region, until it has been measured.
  core::Duration LoadDecay{4000};      ///< Time constant with which a load report loses its weight;
                                       ///< reports come with answers, late in an overload.
  core::Duration OwnReportPrecedence{
      500};                           ///< A report to this VM goes before what the leader tells,
                                      ///< which has taken up to a report's interval and more.
  core::Duration SlownessDecay{8000}; ///< The same of the measured slowness of a target.
  double MaxLoadPerSlot = 2.5;        ///< A target with this many requests a slot gets no more.
  uint32_t FailuresToEject = 3;       ///< Failures in a row that eject a target.
  core::Duration BaseEjection{1000};  ///< Doubles with every further ejection.
  core::Duration MaxEjection{8000};
  core::Duration EjectionResetTime{
      30'000}; ///< After so long without an ejection they start anew, far
               ///< beyond the seconds in which targets fail by turns.
  ColdTargetLimiterSettings Cold;
  RegionShiftLimiterSettings Spillover;
  ProcessingTimesSettings Processing;
  ObjectAffinitySettings Affinity;
};

/// What is to be sent.
struct PickRequest {
  const catalog::Route *Route = nullptr;
  uint32_t Priority = 0; ///< 0 is the most urgent.
  std::string Service;
  std::optional<uint64_t> Object;                ///< Hash of the object asked for.
  absl::Span<const std::string> HomeRegions;     ///< Of the route.
  absl::Span<const std::string> CustomerRegions; ///< Of the customer.
  absl::Span<const core::TargetId> Tried;
  core::Duration Waited; ///< Since the request arrived.
  core::Duration Left;   ///< Until the request is given up.
};

struct Pick {
  core::TargetId Id;
  std::string Host;
  uint16_t Port = 0;
  std::string Service;
  core::VersionId Version;
  core::RegionId Region;
  bool ObjectCached = false; ///< The target is taken to have recently served the object.
  double Expected = 0;       ///< Time until its answer, in ms.
  double Network = 0;        ///< The part of it that is not at the target.
  double Slowness = 1;       ///< Factor in the rest of it for this target.
  double Load = 0;           ///< Estimated requests at the target before this one.
  double Value = 0;
};

/// Why no target was chosen: what was known of those that might have served the request.
struct PickFailure {
  size_t Usable = 0; ///< Neither draining, ejected, evacuated, tried nor in a wrong region.
  size_t Cold = 0;   ///< Of these, those that get no more requests while they are cold.
  size_t Full = 0;   ///< Those with full queues.
  size_t Late = 0;   ///< Those that would answer after the request is given up.
  bool RegionLimited =
      false;           ///< The best one is in a region whose share of the requests is used up.
  double Value = 0;    ///< Of the best of the others, with its estimates.
  double Expected = 0; ///< In ms.
  double Load = 0;
};

/// How a request at a target ended.
enum class TargetOutcome : uint8_t {
  Success,          ///< Any answer that does not blame the target.
  Failed,           ///< A failure made by the target.
  NotRun,           ///< The target refused it.
  WrongTarget,      ///< Another process has the address.
  ConnectFailed,    ///< The connection could not be opened.
  ConnectionLost,   ///< The connection ended, or the answer was malformed.
  TimedOut,         ///< No answer at all in time: the process may be silent.
  DeadlineExceeded, ///< It said itself that its time was over, which tells of load, not of a fault.
  Cancelled,
};

/// Load that a target reports about itself.
struct LoadReport {
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  uint32_t Slots = 0;
};

/// Everything that this VM knows about targets, and the choice among them. The load it answers:
/// more work than slots in some regions, objects of unequal popularity that a target serves several
/// times faster when it has recently served them, targets that are cold, slow, failing or leaving.
///
/// A request goes to the target where it has the highest value: what its answer is worth at the
/// time at which it can be expected, less the value of the requests that its work displaces there,
/// less the bytes between places. A request without value anywhere is better refused at once: in an
/// overload, work for objects that a target does not remember takes the slots of several requests.
/// Not thread-safe.
class TargetTable {
public:
  TargetTable(VmLocation own, const TargetTableSettings &settings = {});

  /// Takes the current list. Targets that stay keep what is known about them.
  void setTargets(const discovery::TargetList &list, core::Time now);

  /// Takes services, rollouts and evacuations.
  void setCatalog(const catalog::Catalog &catalog, core::Time now);

  /// Takes the live entry VMs.
  void setEntries(absl::Span<const link::EntryLocation> entries);

  /// Returns what this VM's callers ask of each service, for the leader's sum.
  std::vector<link::ServiceSample> serviceSamples(core::Time now, bool withObjects) const {
    return Affinity.samples(now, withObjects);
  }

  /// Takes what the callers of all regions ask of each service.
  void setDemand(absl::Span<const link::ServiceDemand> demand) { Affinity.setDemand(demand); }

  /// Returns the loads that targets have reported since the last call.
  std::vector<link::TargetLoad> takeLoads();

  /// Takes the targets that the answers to all VMs show to be busy.
  void setBusyTargets(absl::Span<const link::TargetLoad> busy, core::Time now);

  /// Chooses the service of a request so that each gets its weight's part.
  std::string chooseService(const catalog::Route &route);

  /// Chooses a target and counts the request as sent to it; nothing when it has no value at any.
  std::optional<Pick> pick(const PickRequest &request, core::Time now);

  /// Returns why the last call of pick() returned nothing.
  const PickFailure &lastFailure() const { return LastFailure; }

  /// Takes the end of a request that was sent to a pick. `latency` and `bytes` count for good
  /// answers.
  void record(const Pick &pick, const catalog::Route &route, TargetOutcome outcome,
              core::Duration latency, double bytes, core::Time now);

  void recordLoad(const core::TargetId &id, const LoadReport &load, core::Time now);

  /// Takes the measured time to open a connection to a target.
  void recordRoundTrip(const core::TargetId &id, core::Duration time);

  /// Returns an ejected target that is due for a probe; at most one probe a target is outstanding.
  std::optional<Pick> nextProbe(core::Time now);

  /// A target that gets no requests for a while, and what led to it.
  struct Ejection {
    core::TargetId Target;
    std::string Service;
    core::Duration Span;
    double Load = 0;
    double FailureShare = 0;
  };

  /// Returns the ejections since the last call.
  std::vector<Ejection> takeEjections();

  /// Takes the answer to a probe.
  void recordProbe(const core::TargetId &id, bool healthy, core::Duration cold, core::Time now);

  /// Returns the outcomes of services that move to another version, since the start.
  std::vector<link::VersionCounts> versionCounts() const;

  /// Returns the health path of a service, or an empty text.
  std::string healthPath(const std::string &service) const;

  /// True when the list names at least one target.
  bool hasTargets() const { return !Targets.empty(); }

  /// Connections to one target that this VM may keep open.
  size_t maxConnections(const std::string &service) const;

private:
  struct State {
    discovery::Target Info;
    core::RegionId Region;
    int Own = 0; ///< Requests of this VM at the target.
    double Reported = 0;
    int OwnAtReport = 0;
    core::Time ReportedAt;
    double FailureShare = 0; ///< Exponentially aged.
    double Slowness = 1;     ///< Measured to expected time, exponentially aged.
    core::Time SlownessAt;
    core::Time AnsweredAt; ///< Last answer of any kind to this VM.
    uint32_t FailuresInRow = 0;
    uint32_t Ejections = 0;
    bool Ejected = false;
    core::Time EjectedUntil;
    bool Probing = false;
    core::Time ProbedAt;
    bool Leaving = false;
    core::Time ColdUntil;
    core::Time ColdNext;         ///< Earliest next request while it is cold.
    core::Time AssumedColdUntil; ///< It came back, and the list cannot know yet whether it is cold.
    std::unordered_map<uint64_t, core::Time> Served; ///< Objects that this VM has sent there.
  };

  /// A target with the estimates that Pick explains. One is made for each target that may serve a
  /// request, hundreds of them, so it holds no text.
  struct Candidate {
    State *Target = nullptr;
    bool ObjectCached = false;
    double Expected = 0;
    double Network = 0;
    double Slowness = 1;
    double Load = 0;
    double Value = 0;
  };

  /// Which versions of a service the targets of a choice have.
  enum class Versions : uint8_t {
    Stable, ///< Those that serve most requests.
    Canary, ///< The one that a rollout brings.
  };

  static Pick toPick(const Candidate &candidate, const std::string &service);
  bool mayUse(const State &state, const PickRequest &request) const;

  /// Names the region of a request for the bound on those that leave their homes: no name for the
  /// region of the home.
  core::RegionId spilloverRegion(const core::RegionId &region) const {
    return region == HomeRegion ? core::RegionId() : region;
  }
  bool mayUseColdTarget(const State &state, core::Time now) const;
  bool isCold(const State &state, core::Time now) const;
  double coldRate(const State &state) const;
  std::optional<Candidate> selectBest(absl::Span<State *const> targets, const PickRequest &request,
                                      Versions versions, core::Time now);
  std::optional<Candidate> chooseRegion(const std::map<core::RegionId, Candidate> &bestOf,
                                        const std::string &service, core::Time now);
  Candidate evaluate(State &state, const AffinityCandidate &home, const PickRequest &request,
                     const ProcessingTime &time, double meanWork, core::Time now) const;
  double load(const State &state, core::Time now) const;
  double slowness(const State &state, core::Time now) const;
  double network(const State &state) const;
  double transferCost(const State &state, const catalog::Route &route) const;
  bool hasCached(const State &state, uint64_t object, core::Time now) const;
  void recordServed(State &state, uint64_t object, core::Time now) const;
  void updateTimes(State &state, const Pick &pick, const catalog::Route &route,
                   core::Duration latency, core::Time now);
  void eject(State &state, core::Time now);
  bool isFailingOver(const std::string &service, core::Time now) const;
  std::vector<State *> ofVersion(const std::string &service, const core::VersionId *wanted,
                                 const core::VersionId *unwanted);
  std::optional<Candidate> pickForRollout(const catalog::Rollout &rollout,
                                          const PickRequest &request, core::Time now);

  const VmLocation Own;
  const TargetTableSettings Settings;
  std::map<core::TargetId, State> Targets;
  std::map<std::string, std::vector<State *>> ByService;
  std::unordered_map<uint32_t, State *> ByKey;     ///< By link::targetKey() of their ids.
  std::map<uint32_t, uint32_t> UnsentLoads;        ///< Requests at targets, by the same keys.
  std::map<std::string, core::VersionId> Baseline; ///< Version of a service before any rollout.
  std::map<std::string, catalog::Service> Services;
  std::map<std::string, catalog::Rollout> Rollouts;
  std::map<std::string, bool> Evacuated;
  std::map<std::string, core::Time> FailedAt; ///< A target of the service failed.
  PickFailure LastFailure;
  ProcessingTimes Processing;
  ObjectAffinity Affinity;
  ColdTargetLimiter Cold;
  RegionShiftLimiter Spillover;
  core::RegionId HomeRegion; ///< Of the request that is being placed.
  std::vector<Ejection> NewEjections;
  std::map<core::DomainId, double> RoundTrip; ///< Measured, in ms.
  std::map<std::string, double> RolloutCredit;
  std::map<std::string, std::map<std::string, double>> SplitCredit; ///< By route and service.
  std::map<std::tuple<std::string, std::string, std::string>, link::VersionCounts> Counts;
  size_t EntryCount = 1;
};

} // namespace briarspar::entry
