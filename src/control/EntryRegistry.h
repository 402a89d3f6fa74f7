#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "link/Messages.h"

#include <map>
#include <string>
#include <vector>

namespace briarspar::control {

struct EntryRegistrySettings {
  /// A VM is no longer live after this time without a report; the leader receives one every 400 ms.
  core::Duration ReportTimeout{1500};
  /// The same when the last report was a brief one, which followers receive every 1,200 ms.
  core::Duration BriefReportTimeout{3000};
  core::Duration RetentionPeriod{30'000};
  size_t MaxLookupResults = 16; ///< Maximum number of VMs in a look-up result.
  /// With fewer VMs in the failure domain of the caller, the look-up result covers its region.
  size_t MinDomainResults = 2;
};

/// Last report of one entry VM.
struct EntryRecord {
  core::Incarnation Run;
  core::RegionId Region;
  core::DomainId Domain;
  std::string Address;
  bool Serving = false;
  bool Stopping = false;
  core::Time LastReportAt;
  bool IsBrief = false;     ///< The last report was a brief one, as sent to followers.
  bool Unreachable = false; ///< The leader has reported the VM as unreachable since.
};

/// A VM that is no longer live.
struct LostEntry {
  core::VmId Vm;
  core::Incarnation Run;
  core::Duration Silent; ///< Time since its last report.
};

/// Tracks the live entry VMs from their reports and selects those that callers should use. Each
/// control VM has its own registry. Not thread-safe.
class EntryRegistry {
public:
  explicit EntryRegistry(const EntryRegistrySettings &settings = {});

  /// Records a report. Returns whether the VM was not live before.
  bool report(const core::VmId &vm, core::Incarnation run, const link::EntryReport &report,
              core::Time now);

  /// Marks a VM as unreachable, as reported by the leader. It is not live until its next report.
  void markUnreachable(const link::EntryUnreachable &notice);

  /// Returns the VMs that have ceased to be live since the last call.
  std::vector<LostEntry> takeLost(core::Time now);

  /// Returns the addresses for a caller: those in its failure domain, its region, or all, whichever
  /// first has enough VMs. Empty when no VM is serving.
  std::vector<std::string> lookup(const core::RegionId &region, const core::DomainId &domain,
                                  core::Time now) const;

  /// Returns the live VMs in ascending order of id.
  std::vector<core::VmId> live(core::Time now) const;

  const std::map<core::VmId, EntryRecord> &records() const { return Records; }
  bool isLive(const EntryRecord &record, core::Time now) const;

private:
  const EntryRegistrySettings Settings;
  std::map<core::VmId, EntryRecord> Records;
  std::map<core::VmId, bool> WasLive;
};

} // namespace briarspar::control
