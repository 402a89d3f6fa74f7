#include "observability/EventLog.h"
#include "core/testing/Property.h"
#include "observability/Metrics.h"

using namespace briarspar;
using namespace briarspar::observability;

namespace {

EventLogSettings smallLog() {
  EventLogSettings settings;
  settings.MaxEntries = 100;
  settings.File = "/dev/null";
  return settings;
}

} // namespace

/// Guards against load that displaces the events of moves and leases from the time line.
Test(EventLog, requestsDoNotDisplaceTheEventsOfTheSystem) {
  EventLog log(core::VmId("a"), smallLog());
  log.emit({core::EventId::MoveTakenBack, {{"move", "m1"}}});
  for (int n = 0; n < 1000; ++n)
    log.emit({core::EventId::RequestFinished, {{"ms", n}}});
  std::vector<TimelineEntry> entries = log.since(0, 1000);
  cr_assert_eq(entries.size(), 101);
  cr_assert(entries.front().Id == core::EventId::MoveTakenBack);
  cr_assert_eq(entries.back().Details["ms"].get<int>(), 999);
}

/// Guards against a reader that misses or repeats events when both kinds alternate and its reads
/// are bounded.
Test(EventLog, boundedReadsSeeEachEventOnceInOrder) {
  EventLog log(core::VmId("a"), smallLog());
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

/// Guards against counts of one customer that are added to another.
Test(Metrics, eachCombinationOfLabelsHasItsOwnCount) {
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
