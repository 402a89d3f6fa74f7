#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "link/Messages.h"

#include <map>
#include <string>
#include <vector>

namespace briarspar::control {

struct EntryRegistrySettings {
  core::Duration ReportTimeout{1500}; ///< A VM that has not reported for so long is not named any
                                      ///< more; reports to the leader come every 400 ms.
  core::Duration BriefReportTimeout{3000}; ///< The same where the last report was a brief one,
                                           ///< which other control VMs get every 1,200 ms.
  core::Duration RetentionPeriod{30'000};
  size_t MaxLookupResults = 16; ///< VMs in the answer to one look-up.
  size_t MinDomainResults =
      2; ///< With fewer VMs in the caller's failure domain, its region is named.
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
  bool IsBrief = false;     ///< The last report was one to a control VM that does not lead.
  bool Unreachable = false; ///< The leader has found it silent since.
};

/// A VM that has stopped being live.
struct LostEntry {
  core::VmId Vm;
  core::Incarnation Run;
  core::Duration Silent; ///< Since its last report.
};

/// Which entry VMs are there, from their own reports, and which of them callers should use. Each
/// control VM has one of its own. Not thread-safe.
class EntryRegistry {
public:
  explicit EntryRegistry(const EntryRegistrySettings &settings = {});

  /// Takes a report. Returns true when the VM was not live before.
  bool report(const core::VmId &vm, core::Incarnation run, const link::EntryReport &report,
              core::Time now);

  /// Takes that the leader has found a VM silent. It is not named until it reports again.
  void markUnreachable(const link::EntryUnreachable &gone);

  /// Returns the VMs that have stopped being live since the last call.
  std::vector<LostEntry> takeLost(core::Time now);

  /// Returns the addresses for a caller: of its failure domain, of its region, or of all, whichever
  /// is the first with enough VMs. Empty when none serves.
  std::vector<std::string> lookup(const core::RegionId &region, const core::DomainId &domain,
                                  core::Time now) const;

  /// Returns the live VMs in the order of their ids.
  std::vector<core::VmId> live(core::Time now) const;

  const std::map<core::VmId, EntryRecord> &records() const { return Records; }
  bool isLive(const EntryRecord &record, core::Time now) const;

private:
  const EntryRegistrySettings Settings;
  std::map<core::VmId, EntryRecord> Records;
  std::map<core::VmId, bool> WasLive;
};

} // namespace briarspar::control
