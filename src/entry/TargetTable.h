#pragma once

#include "absl/types/span.h"
#include "catalog/Catalog.h"
#include "discovery/TargetList.h"
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
struct Place {
  core::VmId Vm;
  core::RegionId Region;
  core::DomainId Domain;
  std::map<core::DomainId, core::RegionId> Regions; ///< Of all failure domains.
};

/// Weights and times of the choice of targets.
struct TargetTableSettings {
  core::Duration OtherDomainCost{4};  ///< Added for a target in another failure domain: bytes that
                                      ///< cross domains are paid for.
  core::Duration OtherRegionCost{60}; ///< The same for another region, until its round trip has
                                      ///< been measured.
  double ColdToGoal = 1.5;   ///< Expected time for an unfamiliar object, in latency goals, until
                             ///< answers have been measured.
  double ColdToTimeout = 0.5; ///< Most that is expected before that, in timeouts of the route:
                              ///< nothing is refused on a guess.
  double WarmToCold = 0.35;  ///< Expected time for a familiar object, in times for others.
  double SpreadToCold = 0.6; ///< Weight of the consistent order of targets for an object, in times
                             ///< for unfamiliar objects.
  size_t FamiliarObjects = 24; ///< Objects that a target is taken to remember.
  core::Duration LoadDecay{1000};     ///< Time constant with which a load report loses its weight.
  double FullQueues = 2.5;            ///< A target with this many requests a slot gets no more.
  uint32_t FailuresToEject = 3;       ///< Failures in a row that eject a target.
  core::Duration FirstEjection{1000}; ///< Doubles with every further ejection.
  core::Duration LongestEjection{8000};
  core::Duration RegionWindow{2000};   ///< Span in which the shares of regions are compared.
  uint32_t MaxRegionShiftPermille = 100; ///< Requests that may change their region from one window
                                         ///< to the next.
  double ColdExcess = 1.5; ///< Requests a second to a cold target, in its rate; the platform's
                           ///< bound.
  double ColdSlack = 5;    ///< Requests a second to a cold target beyond that; the platform's bound.
  uint32_t ColdUsePermille = 600; ///< Part of that bound that all VMs together use.
};

/// What is to be sent.
struct PickRequest {
  const catalog::Route *Route = nullptr;
  std::string Service;
  std::optional<uint64_t> Object; ///< Hash of the object asked for, on sticky routes.
  absl::Span<const std::string> HomeRegions;      ///< Of the route.
  absl::Span<const std::string> CustomerRegions;  ///< Of the customer.
  absl::Span<const core::TargetId> Tried;
  core::Duration Left; ///< Until the request is given up.
};

struct Pick {
  core::TargetId Id;
  std::string Host;
  uint16_t Port = 0;
  std::string Service;
  core::VersionId Version;
  core::RegionId Region;
  bool Familiar = false;   ///< The target has recently served the object.
  core::Duration Expected; ///< Until its answer.
  double Load = 0;         ///< Estimated requests at the target before this one.
};

/// How a request at a target ended.
enum class TargetOutcome : uint8_t {
  Good,       ///< Any answer that does not blame the target.
  Failed,     ///< A failure made by the target.
  NotRun,     ///< The target refused it.
  WrongTarget, ///< Another process has the address.
  NotReached, ///< The connection could not be opened.
  Broken,     ///< The connection ended, or the answer was malformed.
  TimedOut,
  Cancelled,
};

/// Load that a target reports about itself.
struct LoadReport {
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  uint32_t Slots = 0;
};

/// Everything that this VM knows about targets, and the choice among them. The load it answers:
/// more work than slots in some regions, objects of unequal popularity that a target serves faster
/// when it has recently served them, targets that are cold, slow, failing or leaving.
///
/// A request goes to the target with the least expected time: network, wait in the target's queue,
/// and work, which is less for a familiar object. Among equal targets, a consistent order for each
/// object decides, so that all VMs send an object to the same few targets. Not thread-safe.
class TargetTable {
public:
  TargetTable(Place own, const TargetTableSettings &settings = {});

  /// Takes the current list. Targets that stay keep what is known about them.
  void setTargets(const discovery::TargetList &list, core::Time now);

  /// Takes services, rollouts and evacuations.
  void setCatalog(const catalog::Catalog &catalog);

  /// Takes the live entry VMs and their regions, which share the requests to cold targets.
  void setEntries(absl::Span<const core::VmId> entries, absl::Span<const std::string> regions);

  /// Chooses the service of a request so that each gets its weight's part.
  std::string chooseService(const catalog::Route &route);

  /// Chooses a target and counts the request as sent to it; nothing when no target can be expected
  /// to answer in time.
  std::optional<Pick> pick(const PickRequest &request, core::Time now);

  /// Takes the end of a request. `latency` counts for good answers.
  void record(const core::TargetId &id, const catalog::Route &route, TargetOutcome outcome,
              bool familiar, core::Duration latency, core::Time now);

  void recordLoad(const core::TargetId &id, const LoadReport &load, core::Time now);

  /// A target announced that it is leaving.
  void recordLeaving(const core::TargetId &id);

  /// Takes the measured time to open a connection to a target.
  void recordRoundTrip(const core::TargetId &id, core::Duration time);

  /// Returns an ejected target that is due for a probe; at most one probe a target is outstanding.
  std::optional<Pick> nextProbe(core::Time now);

  /// Takes the answer to a probe.
  void recordProbe(const core::TargetId &id, bool healthy, core::Duration cold, core::Time now);

  /// Returns the outcomes of services that move to another version, since the start.
  std::vector<link::VersionCounts> versionCounts() const;

  /// Returns the health path of a service, or an empty text.
  std::string healthPath(const std::string &service) const;

  /// True when the list names at least one target.
  bool hasTargets() const { return !Targets.empty(); }

  /// True when a target of this id may still be sent requests.
  bool knows(const core::TargetId &id) const { return Targets.count(id) != 0; }

  /// Connections to one target that this VM may keep open.
  size_t maxConnections(const std::string &service) const;

private:
  struct Objects {
    std::unordered_map<uint64_t, uint64_t> LastUse;
    uint64_t Uses = 0;
  };

  struct State {
    discovery::Target Info;
    core::RegionId Region;
    int Own = 0; ///< Requests of this VM at the target.
    double Reported = 0;
    int OwnAtReport = 0;
    core::Time ReportedAt;
    double FailureShare = 0; ///< Exponentially aged.
    double Slowness = 1;     ///< Measured to expected time, exponentially aged.
    uint32_t FailuresInRow = 0;
    uint32_t Ejections = 0;
    bool Ejected = false;
    core::Time EjectedUntil;
    bool Probing = false;
    core::Time ProbedAt;
    bool Leaving = false;
    core::Time ColdUntil;
    core::Time ColdNext; ///< Earliest next request while it is cold.
    core::Time UnprovenUntil; ///< It came back, and the list cannot know yet whether it is cold.
    Objects Known;
  };

  /// Expected times of a route at a service, in ms.
  struct WorkTimes {
    double Cold = 0;
    double Warm = 0;
    bool ColdMeasured = false;
    bool WarmMeasured = false;
  };

  /// Requests by region in the current and the previous window.
  struct RegionShares {
    core::Time WindowStart;
    std::map<core::RegionId, uint32_t> Current;
    std::map<core::RegionId, uint32_t> Previous;
    uint32_t CurrentTotal = 0;
    uint32_t PreviousTotal = 0;
  };

  struct Candidate {
    State *Target = nullptr;
    double Cost = 0;
    double Expected = 0;
    double Load = 0;
    bool Familiar = false;
  };

  bool mayUse(const State &state, const PickRequest &request, core::Time now) const;
  bool allowsRegion(const core::RegionId &region, const PickRequest &request) const;
  bool isCold(const State &state, core::Time now) const;
  bool ownsCold(const State &state) const;
  core::Duration coldInterval(const State &state) const;
  std::optional<Candidate> best(absl::Span<State *const> targets, const PickRequest &request,
                                core::Time now);
  Candidate rate(State &state, const PickRequest &request, const WorkTimes &times,
                 core::Time now) const;
  double load(const State &state, core::Time now) const;
  double network(const State &state) const;
  bool isFamiliar(const State &state, uint64_t object) const;
  void noteObject(State &state, uint64_t object) const;
  WorkTimes &workTimes(const catalog::Route &route, const std::string &service);
  bool mayMoveTo(const core::RegionId &region, RegionShares &shares, core::Time now) const;
  void eject(State &state, core::Time now) const;
  std::vector<State *> ofVersion(const std::string &service, const core::VersionId *wanted,
                                 const core::VersionId *unwanted);
  std::optional<Candidate> pickForRollout(const catalog::Rollout &rollout,
                                          const PickRequest &request, core::Time now);

  const Place Own;
  const TargetTableSettings Settings;
  std::map<core::TargetId, State> Targets;
  std::map<std::string, std::vector<core::TargetId>> ByService;
  std::map<std::string, core::VersionId> Baseline; ///< Version of a service before any rollout.
  std::map<std::string, catalog::Service> Services;
  std::map<std::string, catalog::Rollout> Rollouts;
  std::map<std::string, bool> Evacuated;
  std::map<std::pair<std::string, std::string>, WorkTimes> Work; ///< By route and service.
  std::map<std::string, RegionShares> Regions;                   ///< By service.
  std::map<core::DomainId, double> DomainRoundTrip;
  std::map<std::string, double> RolloutCredit;
  std::map<std::string, std::map<std::string, double>> SplitCredit; ///< By route and service.
  std::map<std::tuple<std::string, std::string, std::string>, link::VersionCounts> Counts;
  std::vector<core::VmId> RegionEntries; ///< Entry VMs of this region.
  size_t EntryCount = 1;
};

} // namespace briarspar::entry
