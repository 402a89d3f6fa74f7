#include "control/ReportQueue.h"

#include <utility>

namespace briarspar::control {

void ReportQueue::push(transport::PeerMessage report) {
  core::VmId vm = report.From;
  if (Waiting.insert_or_assign(vm, std::move(report)).second)
    Order.push_back(std::move(vm));
}

std::optional<transport::PeerMessage> ReportQueue::pop() {
  if (Order.empty())
    return std::nullopt;
  auto it = Waiting.find(Order.front());
  transport::PeerMessage report = std::move(it->second);
  Waiting.erase(it);
  Order.pop_front();
  return report;
}

} // namespace briarspar::control
