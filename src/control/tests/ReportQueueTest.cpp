#include "control/ReportQueue.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>

using namespace briarspar;
using namespace briarspar::control;

namespace {

transport::PeerMessage report(int vm, const std::string &body) {
  transport::PeerMessage it;
  it.From = core::VmId("vm" + std::to_string(vm));
  it.Body = body;
  return it;
}

} // namespace

/// Guards against an overloaded control VM that falls further behind with every report: 300 VMs
/// report twice as often as their reports can be processed, and each must be heard with its newest
/// state within the time in which all VMs are processed once.
Test(ReportQueue, overloadDelaysNoVmFurther) {
  constexpr int Vms = 300;
  ReportQueue queue;
  std::map<core::VmId, int> processedAt;
  int turn = 0;
  int longest = 0;
  for (int round = 0; round < 50; ++round) {
    for (int vm = 0; vm < Vms; ++vm) {
      queue.push(report(vm, std::to_string(round)));
      if (vm % 2 != 0)
        continue;
      std::optional<transport::PeerMessage> next = queue.pop();
      cr_assert(next.has_value());
      cr_assert_geq(std::stoi(next->Body), round - 1, "an old report was kept");
      ++turn;
      auto last = processedAt.find(next->From);
      longest = std::max(longest, last == processedAt.end() ? turn : turn - last->second);
      processedAt[next->From] = turn;
    }
    cr_assert_leq(queue.size(), static_cast<size_t>(Vms));
  }
  cr_assert_leq(longest, Vms + 1);
  cr_assert_eq(processedAt.size(), static_cast<size_t>(Vms));
}

/// Guards against reports that are processed in another order than their VMs have waited.
Test(ReportQueue, newReportKeepsPlace) {
  ReportQueue queue;
  queue.push(report(1, "old"));
  queue.push(report(2, "other"));
  queue.push(report(1, "new"));
  cr_assert_eq(queue.pop()->Body, std::string("new"));
  cr_assert_eq(queue.pop()->Body, std::string("other"));
  cr_assert_not(queue.pop().has_value());
}
