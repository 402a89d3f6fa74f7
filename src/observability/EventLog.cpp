#include "observability/EventLog.h"

#include <boost/log/core.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>

namespace briarspar::observability {

namespace {

int64_t wallClockMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

void openLog(const std::string &file) {
  namespace logging = boost::log;
  logging::add_common_attributes();
  if (file.empty())
    logging::add_console_log(std::cerr, logging::keywords::format = "%TimeStamp% %Message%");
  else
    logging::add_file_log(logging::keywords::file_name = file, logging::keywords::auto_flush = true,
                          logging::keywords::open_mode = std::ios_base::app,
                          logging::keywords::format = "%TimeStamp% %Message%");
}

/// Returns whether an event belongs to an individual request. These events are only kept for the
/// timeline, because logging each of them would dominate the processor load.
bool isPerRequest(core::EventId id) {
  return id == core::EventId::RequestFinished || id == core::EventId::RequestRefused ||
         id == core::EventId::KeyRejected;
}

void writeLine(const TimelineEntry &entry) {
  // One logger per thread, to avoid contention on the lock of a shared one.
  thread_local boost::log::sources::logger logger;
  BOOST_LOG(logger) << static_cast<int>(entry.Id) << ' ' << core::eventName(entry.Id) << ' '
                    << entry.Vm << ' ' << entry.Details.dump();
}

} // namespace

void to_json(core::Json &j, const TimelineEntry &entry) {
  j = {{"sequence", entry.Sequence},
       {"wall_ms", entry.WallMs},
       {"vm", entry.Vm},
       {"event", static_cast<int>(entry.Id)},
       {"name", core::eventName(entry.Id)},
       {"details", entry.Details}};
}

EventLog::EventLog(core::VmId vm, const EventLogSettings &settings)
    : Vm(std::move(vm)), MaxEntries(settings.MaxEntries) {
  openLog(settings.File);
}

void EventLog::emit(core::Event event) {
  TimelineEntry entry;
  entry.WallMs = wallClockMs();
  entry.Vm = Vm;
  entry.Id = event.Id;
  entry.Details = std::move(event.Details);
  if (isPerRequest(entry.Id)) {
    append(RequestEvents, std::move(entry));
    return;
  }
  writeLine(entry);
  append(SystemEvents, std::move(entry));
}

void EventLog::append(Entries &entries, TimelineEntry entry) {
  // Destroyed after the lock is released, because freeing the details takes longer than appending.
  TimelineEntry evicted;
  std::lock_guard<std::mutex> lock(Mutex);
  entry.Sequence = ++LastSequence;
  entries.push_back(std::move(entry));
  if (entries.size() <= MaxEntries)
    return;
  evicted = std::move(entries.front());
  entries.pop_front();
}

std::vector<TimelineEntry> EventLog::since(uint64_t sequence, size_t limit) const {
  auto isBefore = [](const TimelineEntry &a, const TimelineEntry &b) {
    return a.Sequence < b.Sequence;
  };
  TimelineEntry last;
  last.Sequence = sequence;
  std::lock_guard<std::mutex> lock(Mutex);
  auto system = std::upper_bound(SystemEvents.begin(), SystemEvents.end(), last, isBefore);
  auto request = std::upper_bound(RequestEvents.begin(), RequestEvents.end(), last, isBefore);
  std::vector<TimelineEntry> out;
  while (out.size() < limit && (system != SystemEvents.end() || request != RequestEvents.end())) {
    bool nextIsSystem = request == RequestEvents.end() ||
                        (system != SystemEvents.end() && isBefore(*system, *request));
    out.push_back(nextIsSystem ? *system++ : *request++);
  }
  return out;
}

} // namespace briarspar::observability
