#include "core/Clock.h"

#include <ctime>

namespace briarspar::core {

Time SteadyClock::now() const {
  timespec ts{};
  // CLOCK_BOOTTIME also advances while the host is suspended; CLOCK_MONOTONIC does not.
  ::clock_gettime(CLOCK_BOOTTIME, &ts);
  return {static_cast<int64_t>(ts.tv_sec) * 1000 + ts.tv_nsec / 1'000'000};
}

} // namespace briarspar::core
