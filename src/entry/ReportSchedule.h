#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>

namespace briarspar::entry {

struct ReportScheduleSettings {
  /// Well below the validity of rate shares (3 s), so that a lost report does not end a share.
  core::Duration Interval{400};
  /// Interval after the start, until a configuration and a target list have been received. Doubles
  /// with each report, up to Interval.
  core::Duration FirstInterval{100};
  /// Maximum deviation from the interval, so that VMs that start together do not report together.
  uint32_t JitterPermille = 200;
};

/// Determines when an entry VM reports to the control VMs. A VM that has just started reports often
/// to all of them. When a whole fleet starts, those reports must not occupy the control VMs: a
/// leader that is elected meanwhile pushes the configuration to every VM that it has heard from.
class ReportSchedule {
public:
  ReportSchedule(const core::VmId &vm, const ReportScheduleSettings &settings = {});

  /// Returns the time until the next report.
  core::Duration next(bool isServing);

private:
  const ReportScheduleSettings Settings;
  const uint64_t Seed;
  uint64_t Reports = 0;
  core::Duration Interval;
};

} // namespace briarspar::entry
