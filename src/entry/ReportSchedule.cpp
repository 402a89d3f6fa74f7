#include "entry/ReportSchedule.h"

#include "core/Hash.h"

#include <algorithm>
#include <string_view>

namespace briarspar::entry {

ReportSchedule::ReportSchedule(const core::VmId &vm, const ReportScheduleSettings &settings)
    : Settings(settings), Seed(core::hash64(vm.Value)), Interval(settings.FirstInterval) {}

core::Duration ReportSchedule::next(bool isServing) {
  const core::Duration interval = isServing ? Settings.Interval : Interval;
  Interval = std::min(Settings.Interval, core::Duration{Interval.Ms * 2});
  const uint64_t number = ++Reports;
  const std::string_view bytes(reinterpret_cast<const char *>(&number), sizeof number);
  const int64_t span = 2 * interval.Ms * Settings.JitterPermille / 1000;
  const auto offset =
      static_cast<int64_t>(core::hash64(bytes, Seed) % static_cast<uint64_t>(span + 1));
  return {interval.Ms - span / 2 + offset};
}

} // namespace briarspar::entry
