#pragma once

#include "daemon/ControlThread.h"
#include "daemon/Messages.h"
#include "observability/EventLog.h"
#include "operator_language/Table.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace briarspar::daemon {

/// Collects the events of all VMs into one timeline, ordered by wall clock time. The clocks of VMs
/// differ, so the order between VMs is approximate; the order within a VM is exact.
class TimelineCollector {
public:
  /// Returns all VMs to collect from, including this one. May be called from any thread.
  using ListVms = std::function<std::vector<core::VmId>()>;

  TimelineCollector(core::VmId self, observability::EventLog &log, ControlThread &control,
                    ListVms vms)
      : Self(std::move(self)), Log(log), Control(control), Vms(std::move(vms)) {}

  /// Sets the sender, which is called on the control thread. Must precede the first collect().
  void setSender(Sender sender) { Send = std::move(sender); }

  /// Requests the latest events from every VM and waits for a bounded time; VMs that do not answer
  /// are omitted. A non-empty request id selects the events of that request. Blocks; must be called
  /// on a traffic thread.
  std::vector<core::Json> collect(const std::string &request);

  /// Handles a message from another process. Returns false if the kind is not one of a timeline.
  /// Must be called on the control thread.
  bool receive(const core::VmId &from, std::string_view kind, std::string_view bytes);

private:
  struct Collection {
    std::condition_variable Changed;
    size_t Missing = 0;
    std::vector<core::Json> Events;
  };

  std::vector<core::Json> localEvents(const std::string &request) const;
  void onRequest(const core::VmId &from, const core::Json &body);
  void onResponse(const core::Json &body);

  core::VmId Self;
  observability::EventLog &Log;
  ControlThread &Control;
  ListVms Vms;
  Sender Send;
  std::mutex Mutex;
  uint64_t LastCollection = 0;
  std::map<uint64_t, std::shared_ptr<Collection>> Collections;
};

/// Formats collected events as a table.
operator_language::Table timelineTable(const std::vector<core::Json> &events);

} // namespace briarspar::daemon
