#pragma once

#include "daemon/ControlNode.h"
#include "daemon/ControlThread.h"
#include "daemon/Settings.h"
#include "daemon/TimelineCollector.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"
#include "operator_language/Answer.h"
#include "operator_language/Parser.h"

#include <httplib.h>

#include <optional>
#include <string>

namespace briarspar::daemon {

/// The HTTP interface for operators and the platform: statements, timeline, metrics, status and the
/// platform's list of VMs. handle() is thread-safe and blocks until a command has completed.
class OperatorApi {
public:
  OperatorApi(const Settings &settings, ControlThread &control, ControlNode &node,
              const core::Clock &clock, observability::EventLog &log,
              observability::Metrics &metrics, TimelineCollector &events);

  void handle(const httplib::Request &req, httplib::Response &res);

private:
  /// Returns the name of the operator whose key the request contains.
  std::optional<std::string> operatorOf(const httplib::Request &req) const;

  void onStatement(const std::string &name, const httplib::Request &req, httplib::Response &res);
  config::Records listedBlocks();
  void onEvents(const httplib::Request &req, httplib::Response &res) const;
  void onStatus(httplib::Response &res);
  void onPlatformList(const httplib::Request &req, httplib::Response &res);
  operator_language::Answer runStatement(const std::string &name,
                                         const operator_language::OperatorRequest &request);
  operator_language::Answer runCommand(config::Command command);
  operator_language::Answer runQuery(const operator_language::Query &query);

  const Settings &Options;
  ControlThread &Control;
  ControlNode &Node;
  const core::Clock &Clock;
  observability::EventLog &Log;
  observability::Metrics &Metrics;
  TimelineCollector &Events;
};

} // namespace briarspar::daemon
