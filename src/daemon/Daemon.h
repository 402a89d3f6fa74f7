#pragma once

#include "absl/status/statusor.h"
#include "daemon/Settings.h"

#include <functional>
#include <memory>

namespace briarspar::daemon {

/// How a process starts.
struct StartOptions {
  /// Initializes an empty data folder as one of the first voters of a new group. Without it a voter
  /// with an empty data folder joins the existing group under a new identity.
  bool Bootstrap = false;
};

/// Ports of the listeners of a running daemon.
struct ListenerPorts {
  int Caller = 0;
  int Operator = 0;
  int Peer = 0;
};

/// One process of the system: the control thread with its state machines, the HTTP listeners with
/// their traffic threads, and the connections to the other processes.
class Daemon {
public:
  /// Opens the data folder. Returns the storage's error.
  static absl::StatusOr<std::unique_ptr<Daemon>> create(const Settings &settings,
                                                        const StartOptions &options);
  ~Daemon();

  /// Opens the listeners and starts all threads.
  absl::Status start();

  /// Stops as planned: callers are sent to other VMs, requests in progress end, then the listeners
  /// close. `abort` ends the wait early when it returns true.
  void drainAndStop(const std::function<bool()> &abort);

  ListenerPorts ports() const;

private:
  class Impl;

  explicit Daemon(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> Implementation;
};

} // namespace briarspar::daemon
