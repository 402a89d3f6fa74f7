#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <array>
#include <cstdint>
#include <map>

namespace briarspar::entry {

struct RegionShiftSettings {
  core::Duration Recent{1000};  ///< Span of the share that is bounded.
  core::Duration Before{2000};  ///< Span before it, of the share that it is compared with.
  double MaxGrowth = 0.06;      ///< Growth of a region's share between the two. The platform allows
                                ///< 0.15 from one window of 2 s to the next.
  uint32_t LeastRequests = 20;  ///< With fewer before, shares mean nothing.
};

/// Bounds how fast the requests of this VM move between regions, in either direction. Not
/// thread-safe.
class RegionShift {
public:
  explicit RegionShift(const RegionShiftSettings &settings = {});

  /// True when one more request may run in the region.
  bool mayUse(const core::RegionId &region, core::Time now);

  /// Counts a request that was sent to a region.
  void count(const core::RegionId &region, core::Time now);

private:
  struct Bucket {
    int64_t At = -1;
    uint32_t Total = 0;
    std::map<core::RegionId, uint32_t> ByRegion;
  };
  struct Sum {
    double Region = 0;
    double Total = 0;
  };

  Bucket &bucket(core::Time now);
  Sum sum(const core::RegionId &region, int64_t from, int64_t to) const;

  static constexpr int64_t BucketMs = 250;

  const RegionShiftSettings Settings;
  std::array<Bucket, 16> Buckets;
};

} // namespace briarspar::entry
