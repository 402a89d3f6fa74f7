#pragma once

#include "absl/types/span.h"
#include "balance/SlotHolder.h"
#include "balance/SlotMessages.h"
#include "core/Clock.h"
#include "core/Event.h"
#include "core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace briarspar::balance {

/// Parameters of passive health checks, ramp-up and load reports.
struct TargetChooserSettings {
  uint32_t FailuresToEject = 3;           ///< Consecutive failures that eject a target.
  uint32_t FailurePermilleToEject = 500;  ///< Failure rate that ejects a target.
  uint32_t MinSamples = 10;               ///< Outcomes needed before the failure rate counts.
  core::Duration SampleWindow{10'000};    ///< Window of the failure rate.
  core::Duration BaseEjectionTime{1000};  ///< Doubled with each further ejection.
  core::Duration MaxEjectionTime{30'000}; ///< Upper limit of the doubled time.
  core::Duration ProbeTimeout{5000};      ///< After this a probe without an outcome is abandoned.
  uint32_t ProbesToRecover = 2;           ///< Consecutive good probes that end an ejection.
  uint32_t MaxEjectedPermille = 500;      ///< Above this share a pool ignores ejections.
  core::Duration RampDuration{10'000};    ///< Time from the first request to full load.
  uint32_t RampStartPermille = 100;       ///< Share of the slots used on a cold target.
  uint32_t FailurePermilleToOverrideLoad =
      100; ///< Failure rate from which on a target counts as fully loaded.
  /// A timeout counts as a failure only if the request ran for this multiple of the pool's mean
  /// latency.
  uint32_t MinTimeoutFactor = 4;
  core::Duration LoadReportFreshAge{2000}; ///< Load reports up to this age have full weight.
  core::Duration LoadReportMaxAge{10'000}; ///< Load reports from this age on have no weight.
};

/// A request to choose a target for.
struct RequestContext {
  PoolId Pool;
  absl::Span<const core::TargetId> Exclude; ///< Targets already tried for this request.
};

/// A chosen target with an acquired slot. The caller releases the slot at the SlotSource.
struct Choice {
  core::TargetId Target;
  core::VersionId Version;
  bool Probe = false;       ///< The target is ejected and this request probes it.
  bool OtherRegion = false; ///< The target is in another region than the VM.
};

/// How a request on a target ended.
struct Outcome {
  enum Kind : uint8_t {
    Good,           ///< An answer that does not indicate a fault of the target.
    Failed,         ///< An answer that indicates a fault, such as 500 or 503.
    TimedOut,       ///< No answer within the deadline.
    ConnectFailed,  ///< The connection could not be opened.
    ConnectionLost, ///< The connection was lost before the complete answer.
    Cancelled,      ///< Abandoned for a reason unrelated to the target.
  };
  core::TargetId Target;
  Kind Result = Good;
  core::Duration Latency; ///< From sending the request to its end.
};

/// Numbers of good and failed requests at one target; cancelled ones are not counted.
struct OutcomeCounts {
  uint64_t Good = 0;
  uint64_t Failed = 0;
};

/// Chooses a target for each request by locality, free slots, outcomes observed by this VM, version
/// shares and the targets' load reports. All members are safe to call from any thread.
class TargetChooser {
public:
  /// `slots` must outlive the chooser. `events` may be null.
  TargetChooser(Locality own, SlotSource &slots, const TargetChooserSettings &settings = {},
                core::EventSink *events = nullptr);

  /// Sets the targets. Targets that remain with the same version keep their state; new ones start
  /// cold.
  void setTargets(absl::Span<const TargetInfo> targets, core::Time now);

  /// Sets the traffic shares of the versions of a pool. Versions without a share get no requests; a
  /// pool without shares ignores versions. A version exceeds its share by at most one request.
  void setVersionShares(const PoolId &pool, const std::map<core::VersionId, uint32_t> &shares);

  /// Chooses a target and acquires a slot on it; nullopt if no target may take the request now.
  std::optional<Choice> choose(const RequestContext &request, core::Time now);

  /// Records the outcome of a request.
  void record(const Outcome &outcome, core::Time now);

  /// Returns the outcomes per target since the last call, including probes.
  std::map<core::TargetId, OutcomeCounts> takeOutcomes();

  /// Records a load report: the target's own utilization, 0 (idle) to 1000 (full).
  void recordLoad(const core::TargetId &target, uint32_t permille, core::Time now);

  /// Returns true if the target is ejected or being probed.
  bool isEjected(const core::TargetId &target) const;

private:
  enum class Health : uint8_t { Up, Ejected };

  struct Target {
    TargetInfo Info;
    Health State = Health::Up;
    uint32_t ConsecutiveFailures = 0;
    uint32_t GoodProbes = 0;
    uint32_t Ejections = 0;
    uint32_t WindowGood = 0;
    uint32_t WindowFailed = 0;
    core::Time WindowStart;
    core::Time EjectedUntil;
    std::optional<core::Time> ProbeSince;
    std::optional<core::Time> FirstUse; ///< Start of the ramp; nullopt while cold and unused.
    uint64_t LastChosen = 0;
    uint32_t LoadPermille = 0;
    std::optional<core::Time> LoadAt;
  };

  struct Pool {
    std::vector<core::TargetId> Targets;
    std::map<core::VersionId, uint32_t> Shares;
    std::map<core::VersionId, int64_t> Credit; ///< Scheduling credit, in units of the shares.
    int64_t MeanLatencyMicros = 0; ///< Moving average over good answers; 0 before the first.
  };

  using TargetList = std::vector<Target *>;

  TargetList candidates(const Pool &pool, const RequestContext &request,
                        const core::VersionId *version);
  std::optional<Choice> chooseFrom(const Pool &pool, const TargetList &targets, core::Time now);
  std::optional<Choice> chooseByVersion(Pool &pool, const RequestContext &request, core::Time now);
  std::optional<Choice> tryProbe(const Pool &pool, const TargetList &targets, core::Time now);
  Choice accept(Target &target, bool probe, core::Time now);
  bool ignoresEjections(const Pool &pool) const;
  bool isProbing(const Target &target, core::Time now) const;
  int distance(const Target &target) const;
  int64_t rampPermille(const Target &target, core::Time now) const;
  bool isUnderRamp(const Target &target, core::Time now) const;
  int64_t score(const Target &target, core::Time now) const;
  int64_t failurePermille(const Target &target, core::Time now) const;
  int64_t reportedLoad(const Target &target, core::Time now) const;
  bool isConclusive(const Target &target, const Outcome &outcome) const;
  void recordLatency(const Target &target, core::Duration latency);
  void onProbeOutcome(Target &target, const Outcome &outcome, core::Time now);
  void onGood(Target &target, core::Time now);
  void onFailure(Target &target, Outcome::Kind kind, core::Time now);
  void rollWindow(Target &target, core::Time now) const;
  void eject(Target &target, core::Time now);

  const Locality Own;
  SlotSource &Slots;
  const TargetChooserSettings Settings;
  core::EventSink *Events;

  mutable std::mutex Mutex;
  std::map<core::TargetId, Target> Targets;
  std::map<PoolId, Pool> Pools;
  std::map<core::TargetId, OutcomeCounts> Counts;
  uint64_t Counter = 0;
};

} // namespace briarspar::balance
