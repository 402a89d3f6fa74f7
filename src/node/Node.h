#pragma once

#include "absl/status/status.h"
#include "node/NodeSettings.h"

#include <memory>
#include <string>

namespace briarspar::node {

/// One process in its role: entry VM or control VM. Everything runs on the thread that calls run():
/// the VMs have a part of one core, where a second thread would only add switches.
class Node {
public:
  /// `file` is read again when it changes or on SIGHUP.
  Node(NodeSettings settings, std::string file);
  ~Node();

  /// Opens the listeners and serves until a stop signal has been obeyed.
  absl::Status run();

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace briarspar::node
