#pragma once

#include "absl/status/statusor.h"
#include "daemon/Settings.h"

#include <functional>
#include <memory>

namespace briarspar::daemon {

/// Start options of a process.
struct StartOptions {
  /// Initializes an empty data folder as that of an initial voter of a new group. If false, a voter
  /// with an empty data folder joins the existing group under a new identity.
  bool Bootstrap = false;
};

/// Ports of the listeners of a running daemon.
struct ListenerPorts {
  int Caller = 0;
  int Operator = 0;
  int Peer = 0;
};

/// A process of the system: the control thread with its state machines, the HTTP listeners with
/// their traffic threads, and the connections to other processes.
class Daemon {
public:
  /// Opens the data folder. Returns the error of the storage if that fails.
  static absl::StatusOr<std::unique_ptr<Daemon>> create(const Settings &settings,
                                                        const StartOptions &options);
  ~Daemon();

  /// Opens the listeners and starts all threads.
  absl::Status start();

  /// Performs a planned stop: redirects callers to other VMs, waits for requests in progress and
  /// closes the listeners. The wait ends early when `abort` returns true.
  void drainAndStop(const std::function<bool()> &abort);

  ListenerPorts ports() const;

private:
  class Impl;

  explicit Daemon(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> Implementation;
};

} // namespace briarspar::daemon
