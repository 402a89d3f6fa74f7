#pragma once

#include "core/Event.h"
#include "core/Ids.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace briarspar::observability {

/// An event of the timeline, with the wall-clock time of the VM that emitted it.
struct TimelineEntry {
  uint64_t Sequence = 0; ///< Number of the event since the process started, from 1.
  int64_t WallMs = 0;    ///< Wall-clock time in milliseconds since the Unix epoch.
  core::VmId Vm;
  core::EventId Id = core::EventId::ProcessStarted;
  core::Json Details;
};

void to_json(core::Json &j, const TimelineEntry &entry);

struct EventLogSettings {
  size_t MaxEntries = 8192; ///< Events kept in memory for each of the two categories.
  std::string File;         ///< Log file. Empty: log to standard error.
};

/// Writes each event as a log line and keeps the latest events in memory for the timeline. Events
/// of individual requests are kept in a separate buffer and are not logged, so that a high request
/// rate neither evicts system events nor fills the log. Thread-safe; the lock is held only to
/// append one entry or to copy entries.
class EventLog final : public core::EventSink {
public:
  EventLog(core::VmId vm, const EventLogSettings &settings);

  void emit(core::Event event) override;

  /// Returns up to `limit` buffered events after `sequence`, oldest first.
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
