#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>
#include <string>

namespace briarspar::entry {

struct RegionShiftSettings {
  core::Duration Window{2000};       ///< Span in which the shares of regions are compared.
  uint32_t MaxShiftPermille = 100;   ///< Requests that may change their region from one window to
                                     ///< the next; the platform allows 150.
  uint32_t LeastRequests = 10;       ///< With fewer in a window, shares mean nothing.
};

/// Bounds how fast the requests of a service move between regions. Not thread-safe.
class RegionShift {
public:
  explicit RegionShift(const RegionShiftSettings &settings = {});

  /// True when one more request of the service may run in the region.
  bool mayUse(const std::string &service, const core::RegionId &region, core::Time now);

  /// Counts a request that was sent to a region.
  void count(const std::string &service, const core::RegionId &region);

private:
  struct Shares {
    core::Time WindowStart;
    std::map<core::RegionId, uint32_t> Current;
    std::map<core::RegionId, uint32_t> Previous;
    uint32_t CurrentTotal = 0;
    uint32_t PreviousTotal = 0;
  };

  Shares &roll(const std::string &service, core::Time now);

  const RegionShiftSettings Settings;
  std::map<std::string, Shares> Services;
};

} // namespace briarspar::entry
