#include "entry/ReportSchedule.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>

using namespace briarspar;
using namespace briarspar::entry;

/// Guards against control VMs that cannot elect a leader because all VMs of a large fleet, which
/// have started together, report to them ten times a second: after the first second, the reports
/// must not exceed those of a running fleet by more than a quarter.
Test(ReportSchedule, startOfLargeFleetReportsLikeRunningFleet) {
  constexpr size_t Vms = 300;
  constexpr int RunningPerS = 750; // One report per VM every 400 ms.
  std::map<int64_t, int> reports;  ///< By tenth of a second.
  for (size_t n = 0; n < Vms; ++n) {
    ReportSchedule schedule(core::VmId("10.0.0." + std::to_string(n)));
    for (int64_t ms = 0; ms < 10'000; ms += schedule.next(/*isServing=*/false).Ms)
      ++reports[ms / 100];
  }
  for (int64_t from = 10; from < 90; ++from) {
    int perSecond = 0;
    for (int64_t tenth = from; tenth < from + 10; ++tenth)
      perSecond += reports[tenth];
    cr_assert_leq(perSecond, RunningPerS * 5 / 4, "%d after %d00 ms", perSecond,
                  static_cast<int>(from));
  }
  // The reports spread over time instead of arriving together.
  for (int64_t tenth = 20; tenth < 90; ++tenth)
    cr_assert_leq(reports[tenth], RunningPerS / 10 * 2);
}

/// Guards against a lost rate share because of reports that are too far apart.
Test(ReportSchedule, intervalsStayWithinBounds) {
  const ReportScheduleSettings settings;
  ReportSchedule schedule(core::VmId("10.0.0.1"));
  cr_assert_leq(schedule.next(false).Ms, 120);
  for (int n = 0; n < 1000; ++n) {
    const core::Duration next = schedule.next(n % 2 == 0);
    cr_assert_leq(next.Ms, settings.Interval.Ms * 12 / 10);
    cr_assert_geq(next.Ms, settings.FirstInterval.Ms * 8 / 10);
  }
}
