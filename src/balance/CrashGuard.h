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

/// Bounds of a CrashGuard.
struct CrashGuardSettings {
  uint32_t MaxCrashes = 2;                   ///< Target processes that one request may end.
  uint32_t MinVersionCrashes = 3;            ///< Unrelated crashes that count against a version.
  core::Duration VersionCrashWindow{60'000}; ///< Span in which they are counted.
  core::Duration CrashMergeWindow{1000};     ///< Crashes of a target this close in time are one.
  core::Duration Quarantine{600'000};        ///< How long a request stays refused.
  size_t MaxEntries = 4096;                  ///< Fingerprints remembered.
  size_t MaxReportEntries = 256;             ///< Fingerprints per report.
};

/// Fingerprints of requests during which target processes ended. Crashes carry an id, so that
/// merging is idempotent and independent of the order; a lost report is covered by the next.
struct CrashReport {
  struct Crash {
    uint64_t Id = 0; ///< Distinct over all VMs.
    core::TargetId Target;
    core::Duration Age;
    bool Cleared = false; ///< The request was answered afterwards, so it was there by chance.
  };
  struct Entry {
    uint64_t Fingerprint = 0;
    std::vector<Crash> Crashes;
  };
  std::vector<Entry> Entries;
};

std::string encode(const CrashReport &report);
absl::StatusOr<CrashReport> decodeCrashReport(std::string_view bytes);

/// Recognises requests that end target processes, over all VMs. Safe to call from any thread.
///
/// The bound over all VMs holds for resends that follow each other if a VM answers the caller of a
/// request that ended a process only after its report() has reached the VMs that may serve a
/// resend. Copies that run on several targets at the same moment are not prevented.
class CrashGuard {
public:
  /// `origin` differs between runs and between VMs, for example a hash of VM id and incarnation.
  explicit CrashGuard(uint64_t origin, const CrashGuardSettings &settings = {});

  /// True when a request may be sent to a target.
  bool admits(uint64_t fingerprint, core::Time now) const;

  /// True when the request has ended a target process and was not cleared since.
  bool hasCrashed(uint64_t fingerprint) const;

  /// Takes the end of a target process while it ran a request. Returns the number of crash outcomes
  /// to count against the version now: none while few unrelated crashes happened, and with the one
  /// that reaches the threshold also those withheld before. Crashes with a request in common are
  /// related, so a single request that ends several targets is not counted.
  uint32_t recordCrash(uint64_t fingerprint, const core::TargetId &target,
                       const core::VersionId &version, core::Time now);

  /// Takes a good answer. It clears a request that was in flight on a crashing target by chance.
  void recordSuccess(uint64_t fingerprint);

  /// Returns the latest crashes as a bounded report.
  CrashReport report(core::Time now) const;

  /// Adds a report of another VM or of the leader.
  void merge(const CrashReport &report, core::Time now);

  size_t size() const;

private:
  struct Crash {
    core::TargetId Target;
    core::Time At;
    bool Cleared = false;
  };

  /// What is known about one fingerprint.
  struct Record {
    std::map<uint64_t, Crash> Crashes; ///< By id.
    size_t count() const;
    core::Time latest() const;
  };

  /// The end of one target process, with the requests that were in flight on it.
  struct Event {
    core::TargetId Target;
    core::Time At;
    std::set<uint64_t> Fingerprints;
    bool Repeated = false; ///< An earlier event has one of the requests, which explains this one.
    uint32_t Withheld = 0; ///< Outcomes that were not counted yet.
  };
  using EventList = std::vector<Event>;

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
