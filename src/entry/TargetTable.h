#pragma once

#include "absl/types/span.h"
#include "catalog/Catalog.h"
#include "discovery/TargetList.h"
#include "entry/ColdTargetLimiter.h"
#include "entry/ObjectAffinity.h"
#include "entry/ProcessBelief.h"
#include "entry/ProcessingTimes.h"
#include "entry/RegionShiftLimiter.h"
#include "entry/TargetNotices.h"
#include "link/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarspar::entry {

/// Location of a VM, and the region of every failure domain.
struct VmLocation {
  core::VmId Vm;
  core::RegionId Region;
  core::DomainId Domain;
  /// Region of each failure domain of the system.
  std::map<core::DomainId, core::RegionId> Regions;
};

/// Parameters of target selection. Values are expressed in responses within the latency goal: such
/// a response of a route of normal priority has the value 1.
struct TargetTableSettings {
  double LateValue = 0.2; ///< Value of a response after the latency goal, as defined by callers.
  double PriorityStep = 0.25; ///< Added for each priority rank above NormalPriority.
  uint32_t NormalPriority = 2;
  double MinValue = 0.03; ///< A request with a lower value at every target is refused.
  /// Value lost when a target that is not assigned to an object caches it and evicts another object
  /// that will be requested again.
  double CacheEvictionCost = 0.35;
  double FallbackCost = 0.05; ///< The same for the fallback targets of an object, where later
                              ///< requests for it will hit the cache.
  core::Duration CacheRetention{6000}; ///< A target without assignment to an object is assumed to
                                       ///< keep it cached for this long.
  double UncontendedLoad = 0.7; ///< Requests per slot below which a request displaces no other.
  double LoadCost = 1.0; ///< Value displaced by a request of mean processing time, per request per
                         ///< slot above UncontendedLoad.
  /// Cost of 1,000 bytes between failure domains, which is billed traffic.
  double DomainCostPerKb = 0.04;
  double RegionCostPerKb = 0.04; ///< Cost of 1,000 bytes between regions.
  /// After a target failure, requests may move between regions without a rate limit for this long,
  /// which is about as long as most failures last.
  core::Duration FailoverWindow{6000};
  /// Estimate for another failure domain until it has been measured.
  core::Duration DomainRoundTrip{2};
  core::Duration RegionRoundTrip{60}; ///< Estimate for another region until it has been measured.
  core::Duration LoadDecay{4000}; ///< Time constant of the decay of reported loads. Reports come
                                  ///< with responses, which are late in an overload.
  /// A load reported to this VM takes precedence over one forwarded by the leader for this long,
  /// because forwarding takes a report interval or more.
  core::Duration OwnReportPrecedence{500};
  /// Time constant of the decay of the measured slowness of a target.
  core::Duration SlownessDecay{8000};
  double MaxLoadPerSlot = 2.5;  ///< A target with more requests per slot gets no further requests.
  uint32_t FailuresToEject = 3; ///< Consecutive failures after which a target is ejected.
  core::Duration BaseEjectionTime{1000}; ///< Doubled by each further ejection.
  core::Duration MaxEjectionTime{8000};
  /// The ejection time is reset after this long without an ejection, well above the few seconds
  /// between failures of an unstable target.
  core::Duration EjectionResetTime{30'000};
  ColdTargetLimiterSettings Cold;
  RegionShiftLimiterSettings Spillover;
  ProcessingTimesSettings Processing;
  ObjectAffinitySettings Affinity;
  TargetNoticesSettings Notices;
};

/// A request to select a target for.
struct PickRequest {
  const catalog::Route *Route = nullptr;
  uint32_t Priority = 0; ///< 0 is the most urgent.
  std::string Service;
  std::optional<uint64_t> Object; ///< Hash of the requested object.
  /// Regions that the route is restricted to; empty if unrestricted.
  absl::Span<const std::string> RouteRegions;
  /// Regions that the customer is restricted to; empty if unrestricted.
  absl::Span<const std::string> CustomerRegions;
  absl::Span<const core::TargetId> Tried;
  core::Duration Waited; ///< Time since the request arrived.
  core::Duration Left;   ///< Time until the deadline of the request.
  /// Returns whether the request can be sent on an open connection to the address that was opened
  /// no later than a given time. Without a function it cannot.
  std::function<bool(const std::string &host, uint16_t port, core::Time openedBy)> MayReuse;
};

struct Pick {
  core::TargetId Id;
  std::string Host;
  uint16_t Port = 0;
  std::string Service;
  core::VersionId Version;
  core::RegionId Region;
  bool ObjectCached = false; ///< The target is expected to have the object in its cache.
  double Expected = 0;       ///< Expected time until the response, in ms.
  double Network = 0;        ///< Part of Expected that is spent on the network.
  double Slowness = 1;       ///< Factor applied to the remaining part for this target.
  double Load = 0;           ///< Estimated number of requests at the target before this one.
  double Value = 0;
  core::Duration Cold; ///< Remaining time for which the target is known to be cold.
  ColdEvidence ColdBy = ColdEvidence::None;
  /// Only a connection that was opened by then may be used: another one could lead to another
  /// process.
  std::optional<core::Time> OpenedBy;
  bool IsLimited = false;  ///< The request counts as one to a cold target.
  core::Time SentAt;       ///< Time of the choice.
  core::Time SentBeforeAt; ///< Time of the choice before that for the same target.
};

/// Why no target was selected.
struct PickFailure {
  size_t Usable = 0; ///< Targets that are not draining, ejected, evacuated, already tried or in a
                     ///< region that is not allowed.
  size_t Cold = 0;   ///< Of the usable targets, those that are cold and may get no request now.
  size_t Full = 0; ///< Of the usable targets, those with full queues or without a free connection.
  size_t Paused = 0;    ///< Targets that asked for no requests for now; not among the usable ones.
  core::Time ResumesAt; ///< Earliest end of these pauses.
  size_t Late = 0;      ///< Of the usable targets, those that would respond after the deadline.
  bool RegionLimited = false; ///< The best target is in a region whose planned share is used up.
  /// Value of the best remaining target; Expected and Load are of the same target.
  double Value = 0;
  double Expected = 0; ///< In ms.
  double Load = 0;
};

/// Result of a request at a target.
enum class TargetOutcome : uint8_t {
  Success,          ///< Any response that does not indicate a fault of the target.
  Failed,           ///< The target responded with a server error.
  NotRun,           ///< The target refused the request without running it.
  WrongTarget,      ///< Another process now uses the address.
  ConnectFailed,    ///< The connection could not be opened.
  ConnectionLost,   ///< The connection was lost, or the response was malformed.
  TimedOut,         ///< No response in time: the process may be unresponsive.
  DeadlineExceeded, ///< The target reported that the deadline had passed, which indicates load, not
                    ///< a fault.
  Cancelled,
};

/// Result of a health probe.
enum class ProbeResult : uint8_t {
  Passed,   ///< The process of this id considers itself healthy.
  Rejected, ///< It does not, or has not responded in time.
  Failed,   ///< The connection failed or was lost, or another process responded.
};

/// Load that a target reports about itself.
struct LoadReport {
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  uint32_t Slots = 0;
};

/// State of all targets as known to this VM, and target selection. It is designed for load that
/// exceeds the slots of some regions, for objects of unequal popularity that a target serves
/// several times faster from its cache, and for targets that are cold, slow, failing or shutting
/// down.
///
/// A request is sent to the target where it has the highest value: the value of a response at the
/// expected time, minus the value of the requests that it displaces there, minus the cost of
/// traffic between failure domains and regions. A request without value at any target is refused
/// immediately, because in an overload a request for an uncached object takes as much slot time as
/// several requests for cached ones. Not thread-safe.
class TargetTable {
public:
  TargetTable(VmLocation own, const TargetTableSettings &settings = {});

  /// Replaces the target list. The state of targets that are still listed is kept.
  void setTargets(const discovery::TargetList &list, core::Time now);

  /// Sets services, rollouts and evacuations.
  void setCatalog(const catalog::Catalog &catalog, core::Time now);

  /// Sets the live entry VMs.
  void setEntries(absl::Span<const link::EntryLocation> entries);

  /// Returns the demand of this VM's callers for each service, to be aggregated by the leader.
  std::vector<link::ServiceSample> serviceSamples(core::Time now, bool withObjects) const {
    return Affinity.samples(now, withObjects);
  }

  /// Sets the demand of the callers of all regions for each service.
  void setDemand(absl::Span<const link::ServiceDemand> demand) { Affinity.setDemand(demand); }

  /// Returns the loads that targets have reported since the last call.
  std::vector<link::TargetLoad> takeLoads();

  /// Sets the busy targets, as found by the leader from the reports of all VMs.
  void setBusyTargets(absl::Span<const link::TargetLoad> busy, core::Time now);

  /// Selects the service of a request according to the weights of the route.
  std::string chooseService(const catalog::Route &route);

  /// Selects a target and counts the request as sent to it. Returns nullopt when the request has no
  /// value at any target.
  std::optional<Pick> pick(const PickRequest &request, core::Time now);

  /// Returns why the last call of pick() returned nullopt.
  const PickFailure &lastFailure() const { return LastFailure; }

  /// Records the result of a request that was sent to `pick`. `latency` and `bytes` are used for
  /// successful requests.
  void record(const Pick &pick, const catalog::Route &route, TargetOutcome outcome,
              core::Duration latency, double bytes, core::Time now);

  void recordLoad(const core::TargetId &id, const LoadReport &load, core::Time now);

  /// Records that a target is leaving. Returns whether that is new.
  bool recordLeaving(const core::TargetId &id, core::Time now);

  /// Records that a target wants no request for `span`. Returns whether the pause is new or longer
  /// than known.
  bool recordPause(const core::TargetId &id, core::Duration span, core::Time now);

  /// Records the measured time to open a connection to a target.
  void recordRoundTrip(const core::TargetId &id, core::Duration time);

  /// Records that a target, or the network, ended a connection to it, which was last known to work
  /// at `lastHeard`. Unless it `isOrderly`, its other connections may have ended as well without a
  /// sign.
  void recordConnectionEnded(const core::TargetId &id, core::Time lastHeard, bool isOrderly,
                             core::Time now);

  /// Sets the time at which the leader was heard last, while it is silent, or nullopt. Meanwhile
  /// nobody tells this VM which processes have ended.
  void setControlLost(std::optional<core::Time> lastHeard) { ControlLostAt = lastHeard; }

  /// Returns whether a request that was chosen for `pick` may be sent over a connection that has
  /// just been opened: the process may have become a cold one since.
  bool confirmSend(const Pick &pick, core::Time now);

  /// Applies what other VMs found out about the processes of targets.
  void applyProcessNotices(absl::Span<const link::ProcessNotice> notices, core::Time now);

  /// Returns whether a connection to an address is open that was opened no later than a given time.
  using IsOpen = std::function<bool(const std::string &host, uint16_t port, core::Time openedBy)>;

  /// Returns what the other VMs are to be told of the processes of targets. A doubt is withdrawn if
  /// `isOpen` tells of another connection to the address that was opened by the given time.
  std::vector<link::ProcessNotice> takeProcessNotices(const IsOpen &isOpen, core::Time now);

  /// Adds what takeProcessNotices() has returned lately again, for a new leader.
  void repeatProcessNotices(core::Time now);

  /// Returns whether takeProcessNotices() or nextProbe() may have something to do soon.
  bool hasOpenDoubts(core::Time now) const;

  /// Returns a target that is due for a health probe, because it is ejected or its process may be
  /// another one. At most one probe per target is outstanding.
  std::optional<Pick> nextProbe(core::Time now);

  /// A temporary exclusion of a target, with the state that caused it.
  struct Ejection {
    core::TargetId Target;
    std::string Service;
    core::Duration Span;
    double Load = 0;
    double FailureShare = 0;
  };

  /// Returns the ejections since the last call.
  std::vector<Ejection> takeEjections();

  /// A target that has become cold, as far as this VM knows.
  struct ColdStart {
    core::TargetId Target;
    core::Duration Remaining;
    ColdEvidence Evidence = ColdEvidence::None;
  };

  /// Returns the targets that have become cold since the last call.
  std::vector<ColdStart> takeColdStarts() { return std::exchange(NewColdStarts, {}); }

  /// /// Records the result of a health probe. `cold` is how much longer the target stays cold;
  /// nullopt if its response does not tell.
  void recordProbe(const core::TargetId &id, ProbeResult result, std::optional<core::Duration> cold,
                   core::Time now);

  /// Returns the results by version of services with a running rollout, counted since its order.
  std::vector<link::VersionCounts> versionCounts() const;

  /// Returns the health path of a service, or an empty string.
  std::string healthPath(const std::string &service) const;

  /// True when the target list is not empty.
  bool hasTargets() const { return !Targets.empty(); }

  /// Returns the number of connections that this VM may keep open to one target.
  size_t maxConnections(const std::string &service) const;

private:
  struct State {
    discovery::Target Info;
    core::RegionId Region;
    int OwnRequests = 0; ///< Requests of this VM in progress at the target.
    double Reported = 0;
    int OwnAtReport = 0;
    core::Time ReportedAt;
    double FailureShare = 0; ///< Exponential average.
    double Slowness = 1;     ///< Exponential average of the ratio of measured to expected time.
    core::Time SlownessAt;
    core::Time AnsweredAt; ///< Time of the last response of any kind to this VM.
    uint32_t FailuresInRow = 0;
    uint32_t Ejections = 0;
    bool Ejected = false;
    core::Time EjectedUntil;
    bool Probing = false;
    core::Time ProbedAt;
    bool Leaving = false;
    ProcessBelief Process;
    uint32_t AskRejections = 0;  ///< While in doubt: consecutive probes that the target rejected.
    core::Time LastSentAt;       ///< Last request that may have reached the current process.
    core::Time AssumedColdUntil; ///< The target has returned, and the target list does not show yet
                                 ///< whether it is cold.
    core::Time AskAt;            ///< While in doubt: earliest time of the next probe.
    bool IsWanted = false;       ///< While in doubt: requests would have been sent to it.
    bool LostSilently = false;   ///< While in doubt: see recordConnectionEnded().
    core::Time AnnouncedAt;      ///< While in doubt: the other VMs were last told then.
    /// Objects that this VM has requested from it, with the time of the last request.
    std::unordered_map<uint64_t, core::Time> Served;

    /// Discards all that was observed of an earlier process under the same id.
    void beginProcess();
  };

  struct Unlisted {
    ProcessBelief Process;
    core::Time Since;
  };

  /// A target with its estimates for a request. Contains no strings, because one is created for
  /// each of several hundred targets per request.
  struct Candidate {
    State *Target = nullptr;
    bool ObjectCached = false;
    double Expected = 0;
    double Network = 0;
    double Slowness = 1;
    double Load = 0;
    double Value = 0;
    std::optional<core::Time> OpenedBy; ///< As in Pick.
    bool IsLimited = false;             ///< As in Pick.
  };

  /// Which versions of a service are being selected from.
  enum class Versions : uint8_t {
    Stable, ///< Versions that serve most requests.
    Canary, ///< The new version of a rollout.
  };

  static Pick toPick(const Candidate &candidate, const std::string &service);
  bool mayUse(const State &state, const PickRequest &request) const;
  void countPaused(const State &state, core::Time now);

  /// Returns the key of a region in the spillover limiter: empty for the region of the primary
  /// target, as only requests outside it are limited.
  core::RegionId spilloverRegion(const core::RegionId &region) const {
    return region == PrimaryRegion ? core::RegionId() : region;
  }
  bool mayUseColdTarget(const State &state, core::Time now) const;
  bool isCold(const State &state, core::Time now) const;
  bool isDoubted(const State &state, core::Time now) const;
  core::Time knownUntil(const State &state, core::Time now) const;
  bool isOtherProcess(const State &state, const discovery::Target &info, core::Time now) const;
  void doubt(State &state, core::Time lastKnown, ColdEvidence evidence, core::Time now);
  void settleCold(State &state, core::Time until, ColdEvidence evidence, core::Time now);
  void settleWarm(State &state, core::Time now);
  void noteProcess(const core::TargetId &id);
  core::Duration askDelay(const State &state, core::Duration perRank) const;
  void checkDoubt(State &state, const IsOpen &isOpen, core::Time now);
  void markWanted(State &state, core::Time now);
  bool isDueForProbe(const State &state, core::Time now) const;
  double coldRate(const State &state) const;
  std::optional<Candidate> selectBest(absl::Span<State *const> targets, const PickRequest &request,
                                      Versions versions, core::Time now);
  std::optional<Candidate> chooseRegion(const std::map<core::RegionId, Candidate> &bestOf,
                                        const std::string &service, core::Time now);
  Candidate evaluate(State &state, const AffinityCandidate &affinity, const PickRequest &request,
                     const ProcessingTime &time, double meanTime, core::Time now) const;
  double load(const State &state, core::Time now) const;
  double slowness(const State &state, core::Time now) const;
  double network(const State &state) const;
  double transferCost(const State &state, const catalog::Route &route) const;
  bool hasCached(const State &state, uint64_t object, core::Time now) const;
  void recordServed(State &state, uint64_t object, core::Time now) const;
  void countForRollout(const State &state, const Pick &pick, const catalog::Route &route,
                       TargetOutcome outcome, core::Duration latency);
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
  std::unordered_map<uint32_t, State *> ByKey; ///< By link::targetKey() of the target ids.
  std::map<uint32_t, uint32_t> UnsentLoads;    ///< Reported requests at targets, by the same keys.
  std::map<std::string, core::VersionId> Baseline; ///< Version of each service before any rollout.
  std::map<std::string, catalog::Service> Services;
  std::map<std::string, catalog::Rollout> Rollouts;
  std::map<std::string, bool> Evacuated;
  /// Time of the last target failure or change of evacuations, by service.
  std::map<std::string, core::Time> FailedAt;
  PickFailure LastFailure;
  TargetNotices Notices;
  ProcessingTimes Processing;
  ObjectAffinity Affinity;
  ColdTargetLimiter Cold;
  RegionShiftLimiter Spillover;
  core::RegionId PrimaryRegion; ///< Region of the primary target of the request being placed;
                                ///< without an object, the region of this VM.
  std::vector<Ejection> NewEjections;
  std::vector<ColdStart> NewColdStarts;
  std::vector<link::ProcessNotice> NewNotices;
  /// What was believed of targets that the list lacks, which may be for a moment only.
  std::map<core::TargetId, Unlisted> UnlistedTargets;
  std::set<core::TargetId> Doubted; ///< Targets whose process may have ended.
  std::optional<core::Time> ControlLostAt;
  std::map<core::DomainId, double> RoundTrip; ///< Measured, in ms.
  std::map<std::string, double> RolloutCredit;
  std::map<std::string, std::map<std::string, double>> SplitCredit; ///< By route and service.
  std::map<std::tuple<std::string, std::string, std::string>, link::VersionCounts> Counts;
  size_t EntryCount = 1;
};

} // namespace briarspar::entry
