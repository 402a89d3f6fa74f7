#include "node/NodeSettings.h"

#include <criterion/criterion.h>

using namespace briarspar;
using namespace briarspar::node;

/// Guards against a stop that ends before the platform's grace period and cuts requests that their
/// targets are still processing, and against one that is killed.
Test(NodeSettings, stopLastsAlmostForTheGracePeriod) {
  for (double grace : {6.0, 10.0, 30.0}) {
    NodeSettings settings;
    settings.Bounds["GraceS"] = grace;
    const int64_t stop = entrySettings(settings).StopTimeout.Ms;
    cr_assert_lt(stop, static_cast<int64_t>(grace * 1000));
    // The platform does not count requests that are still running in the last sixth.
    cr_assert_geq(stop, static_cast<int64_t>(grace * 1000 * 5 / 6));
  }
}
