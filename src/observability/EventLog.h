#pragma once

#include "core/Event.h"
#include "core/Ids.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace briarspar::observability {

/// One event of the time line, stamped with the wall clock of the VM that emitted it.
struct TimelineEntry {
  uint64_t Sequence = 0; ///< Position on this VM since its process started, from 1.
  int64_t WallMs = 0;    ///< Wall-clock time in milliseconds since the Unix epoch.
  core::VmId Vm;
  core::EventId Id = core::EventId::ProcessStarted;
  core::Json Details;
};

void to_json(core::Json &j, const TimelineEntry &entry);

struct EventLogSettings {
  size_t MaxEntries = 8192; ///< Events kept in memory for the time line, of each of the two kinds.
  std::string File;         ///< Log file; empty writes to standard error.
};

/// Writes each event as one numbered log line and keeps the latest ones for the time line. Events
/// of single requests are kept apart and are not written, so that load neither displaces the events
/// of the system nor fills the log. Safe to call from any thread; the lock is held for one append.
class EventLog final : public core::EventSink {
public:
  EventLog(core::VmId vm, const EventLogSettings &settings);

  void emit(core::Event event) override;

  /// Returns the kept events after `sequence`, oldest first, at most `limit` of them.
  std::vector<TimelineEntry> since(uint64_t sequence, size_t limit) const;

private:
  using Entries = std::deque<TimelineEntry>;

  void append(Entries &entries, TimelineEntry entry);

  core::VmId Vm;
  size_t MaxEntries;
  mutable std::mutex Mutex;
  uint64_t LastSequence = 0;
  Entries SystemEvents;
  Entries RequestEvents;
};

} // namespace briarspar::observability
