#pragma once

#include "core/Ids.h"
#include "transport/Transport.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace briarspar::control {

/// Reports of entry VMs that wait to be processed. Messages of the agreement group are processed
/// before them, because a leader that answers its followers late is replaced, and its successor
/// receives the same reports. A new report of a VM replaces one that still waits, so that an
/// overloaded control VM processes each VM less often instead of falling behind. Not thread-safe.
class ReportQueue {
public:
  /// Adds a report. It takes the place of the waiting report of the same VM, if any.
  void push(transport::PeerMessage report);

  /// Removes and returns the report of the VM that has waited longest.
  std::optional<transport::PeerMessage> pop();

  size_t size() const { return Waiting.size(); }

private:
  std::map<core::VmId, transport::PeerMessage> Waiting;
  std::deque<core::VmId> Order;
};

} // namespace briarspar::control
