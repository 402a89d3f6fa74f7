#include "observability/EventLog.h"
#include "core/testing/Property.h"
#include "observability/Metrics.h"

using namespace briarspar;
using namespace briarspar::observability;

namespace {

EventLogSettings smallLogSettings() {
  EventLogSettings settings;
  settings.MaxEntries = 100;
  settings.File = "/dev/null";
  return settings;
}

} // namespace

/// A high request rate must not evict the events of moves and leases from the timeline.
Test(EventLog, requestEventsDoNotEvictSystemEvents) {
  EventLog log(core::VmId("a"), smallLogSettings());
  log.emit({core::EventId::MoveTakenBack, {{"move", "m1"}}});
  for (int n = 0; n < 1000; ++n)
    log.emit({core::EventId::RequestFinished, {{"ms", n}}});
  std::vector<TimelineEntry> entries = log.since(0, 1000);
  cr_assert_eq(entries.size(), 101);
  cr_assert(entries.front().Id == core::EventId::MoveTakenBack);
  cr_assert_eq(entries.back().Details["ms"].get<int>(), 999);
}

/// Reads with a limit must return each event once and in order when events of requests and of the
/// system alternate.
Test(EventLog, limitedReadsReturnEachEventOnceInOrder) {
  EventLog log(core::VmId("a"), smallLogSettings());
  for (int n = 0; n < 60; ++n)
    log.emit(
        {n % 3 == 0 ? core::EventId::LeaseGained : core::EventId::RequestFinished, {{"n", n}}});
  uint64_t last = 0;
  int seen = 0;
  for (auto part = log.since(last, 7); !part.empty(); part = log.since(last, 7))
    for (const TimelineEntry &entry : part) {
      cr_assert_eq(entry.Details["n"].get<int>(), seen++);
      last = entry.Sequence;
    }
  cr_assert_eq(seen, 60);
}

/// Requests of one customer must not be counted for another.
Test(Metrics, labelCombinationsAreCountedSeparately) {
  Metrics metrics;
  for (int n = 0; n < 3; ++n)
    metrics.countRequest("read", "a", "ran");
  metrics.countRequest("read", "b", "ran");
  metrics.countRequest("reada", "", "ran");
  std::string text = metrics.render();
  cr_assert(text.find("customer=\"a\",outcome=\"ran\",route=\"read\"} 3") != std::string::npos);
  cr_assert(text.find("customer=\"b\",outcome=\"ran\",route=\"read\"} 1") != std::string::npos);
  cr_assert(text.find("customer=\"\",outcome=\"ran\",route=\"reada\"} 1") != std::string::npos);
}
