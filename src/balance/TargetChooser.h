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

/// Thresholds of passive health, ramp and load of a TargetChooser.
struct TargetChooserSettings {
  uint32_t FailuresToEject = 3;                 ///< Failures in a row that eject a target.
  uint32_t FailurePermilleToEject = 500;        ///< Share of failures that ejects a target.
  uint32_t MinSamples = 10;                     ///< Outcomes needed before the share counts.
  core::Duration SampleWindow{10'000};          ///< Span over which the share is counted.
  core::Duration BaseEjectionTime{1000};        ///< Doubles with every further ejection.
  core::Duration MaxEjectionTime{30'000};       ///< Longest ejection.
  core::Duration ProbeTimeout{5000};            ///< A probe without an outcome is given up.
  uint32_t ProbesToRecover = 2;                 ///< Good probes in a row that end an ejection.
  uint32_t MaxEjectedPermille = 500;            ///< Beyond it a pool ignores ejections.
  core::Duration RampDuration{10'000};          ///< From the first request to full load.
  uint32_t RampStartPermille = 100;             ///< Share of its slots used on a cold target.
  uint32_t FailurePermilleToOverrideLoad = 100; ///< Share of failures that voids a load report.
  /// A timeout counts against a target only when it lasted this many times the pool's mean latency.
  uint32_t MinTimeoutFactor = 4;
  core::Duration LoadReportFreshAge{2000}; ///< Load reports younger than this count fully.
  core::Duration LoadReportMaxAge{10'000}; ///< Load reports older than this do not count.
};

/// What is to be sent.
struct RequestContext {
  PoolId Pool;
  absl::Span<const core::TargetId> Exclude; ///< Targets that this request has already used.
};

/// A chosen target. Its slot has been acquired; the caller releases it at the SlotSource.
struct Choice {
  core::TargetId Target;
  core::VersionId Version;
  bool Probe = false;       ///< The target is ejected and this request tests it.
  bool OtherRegion = false; ///< The request leaves the VM's region.
};

/// The end of a request on a target.
struct Outcome {
  enum Kind : uint8_t {
    Good,           ///< An answer that says nothing against the target.
    Failed,         ///< An answer that blames the target, such as 500 or 503.
    TimedOut,       ///< No answer within the deadline.
    ConnectFailed,  ///< The connection could not be opened.
    ConnectionLost, ///< The connection ended before the whole answer.
    Cancelled,      ///< Given up for reasons that say nothing about the target.
  };
  core::TargetId Target;
  Kind Result = Good;
  core::Duration Latency; ///< From sending the request until its end.
};

/// How requests at one target ended; cancelled ones are not counted.
struct OutcomeCounts {
  uint64_t Good = 0;
  uint64_t Failed = 0;
};

/// Chooses a target for each request from this VM's own outcomes, its slots, the weights of the
/// versions and the targets' load reports. Every member is safe to call from any thread.
class TargetChooser {
public:
  /// `slots` outlives the chooser. `events` may be null.
  TargetChooser(Locality own, SlotSource &slots, const TargetChooserSettings &settings = {},
                core::EventSink *events = nullptr);

  /// Sets the targets. Targets that stay keep their health; new ones start cold.
  void setTargets(absl::Span<const TargetInfo> targets, core::Time now);

  /// Sets the shares of the versions of a pool. Versions without a share get nothing; a pool
  /// without shares ignores versions. The share of a version is exceeded by at most one request.
  void setVersionShares(const PoolId &pool, const std::map<core::VersionId, uint32_t> &shares);

  /// Chooses a target and acquires its slot. Nothing when no target may take the request now.
  std::optional<Choice> choose(const RequestContext &request, core::Time now);

  /// Takes the end of a request.
  void record(const Outcome &outcome, core::Time now);

  /// Returns the outcomes at each target since the last call, probes included.
  std::map<core::TargetId, OutcomeCounts> takeOutcomes();

  /// Takes a load report: the target's own utilization, 0 (idle) to 1000 (full).
  void recordLoad(const core::TargetId &target, uint32_t permille, core::Time now);

  /// True when the target is ejected or being probed.
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
    std::optional<core::Time> FirstUse; ///< Start of the ramp; none while it is cold and unused.
    uint64_t LastChosen = 0;
    uint32_t LoadPermille = 0;
    std::optional<core::Time> LoadAt;
  };

  struct Pool {
    std::vector<core::TargetId> Targets;
    std::map<core::VersionId, uint32_t> Shares;
    std::map<core::VersionId, int64_t> Credit; ///< In units of the sum of the shares.
    int64_t MeanLatencyMicros = 0; ///< Of good answers, exponentially aged; 0 before the first.
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
