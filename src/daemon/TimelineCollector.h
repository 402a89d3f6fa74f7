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

/// Collects the events of all VMs into one time line, ordered by wall clock. The clocks of VMs
/// differ, so the order between VMs is approximate; the order of one VM is exact.
class TimelineCollector {
public:
  /// Returns the VMs to ask, this one included. Called from any thread.
  using ListVms = std::function<std::vector<core::VmId>()>;

  TimelineCollector(core::VmId self, observability::EventLog &log, ControlThread &control,
                    ListVms vms)
      : Self(std::move(self)), Log(log), Control(control), Vms(std::move(vms)) {}

  /// Must be set before the first collect(); called on the control thread.
  void setSender(Sender sender) { Send = std::move(sender); }

  /// Asks every VM for its latest events and waits a bounded time; VMs that cannot be reached are
  /// left out. With a request id only the events of that request are returned. For traffic threads.
  std::vector<core::Json> collect(const std::string &request);

  /// Handles a message of another process. Returns false for another kind. For the control thread.
  bool receive(const core::VmId &from, std::string_view kind, std::string_view bytes);

private:
  struct Collection {
    std::condition_variable Changed;
    size_t Missing = 0;
    std::vector<core::Json> Events;
  };

  std::vector<core::Json> ownEvents(const std::string &request) const;
  void onRequest(const core::VmId &from, const core::Json &body);
  void onResponse(const core::Json &body);

  core::VmId Self;
  observability::EventLog &Log;
  ControlThread &Control;
  ListVms Vms;
  Sender Send;
  std::mutex Mutex;
  uint64_t LastCollection = 0;
  std::map<uint64_t, std::shared_ptr<Collection>> Open;
};

/// Formats collected events as a table.
operator_language::Table timelineTable(const std::vector<core::Json> &events);

} // namespace briarspar::daemon
