#pragma once

#include "absl/status/status.h"
#include "node/NodeSettings.h"

#include <memory>
#include <string>

namespace briarspar::node {

/// A process in the role of an entry VM or a control VM. Everything runs on the thread that calls
/// run(): VMs have a fraction of one core, where more threads would only add context switches.
class Node {
public:
  /// `file` is reloaded when it changes and on SIGHUP.
  Node(NodeSettings settings, std::string file);
  ~Node();

  /// Opens the listeners and serves until the process has stopped after SIGTERM or SIGINT.
  absl::Status run();

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace briarspar::node
