#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"
#include "core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::balance {

/// Limits of a CrashGuard.
struct CrashGuardSettings {
  uint32_t MaxCrashes = 2;        ///< Crashes of target processes after which a request is refused.
  uint32_t MinVersionCrashes = 3; ///< Unrelated crashes from which on a version is charged.
  core::Duration VersionCrashWindow{60'000}; ///< Time window for MinVersionCrashes.
  core::Duration CrashMergeWindow{1000};     ///< Crashes of a target within this time are one.
  core::Duration Quarantine{600'000};        ///< Time for which a request stays refused.
  size_t MaxEntries = 4096;                  ///< Fingerprints kept in memory.
  size_t MaxReportEntries = 256;             ///< Fingerprints per report.
};

/// Fingerprints of requests that were in flight on a target process when it crashed. Each crash has
/// an id, so merging is idempotent and independent of the order. Reports are cumulative, so the
/// next one covers a lost one.
struct CrashReport {
  struct Crash {
    uint64_t Id = 0; ///< Unique over all VMs.
    core::TargetId Target;
    core::Duration Age;
    bool Cleared = false; ///< The request succeeded later, so it did not cause the crash.
  };
  struct Entry {
    uint64_t Fingerprint = 0;
    std::vector<Crash> Crashes;
  };
  std::vector<Entry> Entries;
};

std::string encode(const CrashReport &report);
absl::StatusOr<CrashReport> decodeCrashReport(std::string_view bytes);

/// Detects requests that crash target processes, over all VMs, and refuses them. Safe to call from
/// any thread.
///
/// The limit holds for consecutive resends over all VMs, provided that a VM answers the caller of a
/// request that crashed a process only after its report() has reached the VMs that may serve a
/// resend. Copies that run on several targets at the same time are not prevented.
class CrashGuard {
public:
  /// `origin` is unique per VM and process start, for example a hash of VM id and incarnation.
  explicit CrashGuard(uint64_t origin, const CrashGuardSettings &settings = {});

  /// Returns true if the request may be sent to a target.
  bool admits(uint64_t fingerprint, core::Time now) const;

  /// Returns true if the request has crashed a target process and has not been cleared since.
  bool hasCrashed(uint64_t fingerprint) const;

  /// Returns the number of target processes that the request has crashed.
  size_t count(uint64_t fingerprint) const;

  /// Records that a target process crashed while it ran a request. Returns the number of crash
  /// outcomes to count against the version now: 0 below the threshold of unrelated crashes; the
  /// crash that reaches the threshold also releases those withheld before. Crashes with a request
  /// in common are related, so a single request that crashes several targets is not counted.
  uint32_t recordCrash(uint64_t fingerprint, const core::TargetId &target,
                       const core::VersionId &version, core::Time now);

  /// Records a successful answer. It clears a request that was in flight on a crashing target
  /// without causing the crash.
  void recordSuccess(uint64_t fingerprint);

  /// Returns a report of the most recent crashes, of at most MaxReportEntries fingerprints.
  CrashReport report(core::Time now) const;

  /// Merges a report of another VM or of the leader.
  void merge(const CrashReport &report, core::Time now);

  /// Returns the number of the last crash recorded here that was not known before. 0: none.
  uint64_t lastCrash() const;

  /// Returns the highest number of a crash recorded here that the report contains. 0: none.
  uint64_t lastOwnCrash(const CrashReport &report) const;

  size_t size() const;

private:
  struct Crash {
    core::TargetId Target;
    core::Time At;
    bool Cleared = false;
  };

  /// The crashes of one fingerprint.
  struct Record {
    std::map<uint64_t, Crash> Crashes; ///< By id.
    size_t count() const;
    core::Time latest() const;
  };

  /// The crash of one target process, with the requests that were in flight on it.
  struct Event {
    core::TargetId Target;
    core::Time At;
    std::set<uint64_t> Fingerprints;
    bool Repeated = false; ///< Shares a request with another event, so it is not unrelated.
    uint32_t Withheld = 0; ///< Outcomes not yet counted against the version.
  };
  using EventList = std::vector<Event>;

  uint64_t idOf(uint64_t crashNumber) const;
  static void add(Record &record, uint64_t id, const Crash &crash);
  void trim(core::Time now);
  Event &eventOf(EventList &events, const core::TargetId &target, core::Time now) const;
  static bool isRepeated(const EventList &events, uint64_t fingerprint, const Event &event);

  const uint64_t Origin;
  const CrashGuardSettings Settings;
  mutable std::mutex Mutex;
  uint64_t LastCrash = 0;
  std::map<uint64_t, Record> Entries;
  std::map<core::VersionId, EventList> Versions;
};

} // namespace briarspar::balance
