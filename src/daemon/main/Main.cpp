// briarspard: the daemon, which runs as one process on each VM.

#include "daemon/Daemon.h"
#include "node/Node.h"

#include <CLI/CLI.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

using namespace briarspar::daemon;

namespace {

enum ExitCode : int { Ok = 0, SettingsInvalid = 2, StartFailed = 3 };

sigset_t stopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void waitForSignal(const sigset_t &signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

int run(const Settings &settings, const StartOptions &options) {
  // Threads inherit the signal mask, so that only the main thread receives the stop signals.
  sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // Makes a write beyond the file size limit fail with an error, as on a full disk.
  std::signal(SIGXFSZ, SIG_IGN);

  absl::StatusOr<std::unique_ptr<Daemon>> daemon = Daemon::create(settings, options);
  if (!daemon.ok()) {
    std::cerr << daemon.status().message() << '\n';
    return StartFailed;
  }
  absl::Status status = (*daemon)->start();
  if (!status.ok()) {
    std::cerr << status.message() << '\n';
    return StartFailed;
  }
  ListenerPorts ports = (*daemon)->ports();
  std::cout << "ready caller=" << ports.Caller << " operator=" << ports.Operator
            << " peer=" << ports.Peer << std::endl;

  waitForSignal(signals);
  std::atomic<bool> abort{false};
  std::thread secondSignal([&] {
    waitForSignal(signals);
    abort = true;
  });
  secondSignal.detach();
  (*daemon)->drainAndStop([&] { return abort.load(); });
  std::_Exit(Ok);
}

std::string readText(const std::string &file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

/// Runs a process whose settings specify a role.
int runNode(const std::string &file, const std::string &text, bool check) {
  absl::StatusOr<briarspar::node::NodeSettings> settings = briarspar::node::parseNodeSettings(text);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << '\n';
    return SettingsInvalid;
  }
  if (check) {
    std::cout << "settings are valid\n";
    return Ok;
  }
  absl::Status status = briarspar::node::Node(*settings, file).run();
  if (status.ok())
    return Ok;
  std::cerr << status.message() << '\n';
  return StartFailed;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("briarspar daemon");
  std::string file;
  bool check = false;
  StartOptions options;
  app.add_option("--settings", file, "Settings file in JSON")->required();
  app.add_flag("--check", check, "Check the settings and exit");
  app.add_flag("--bootstrap", options.Bootstrap,
               "Create a new group: for the first start of the first voters only");
  CLI11_PARSE(app, argc, argv);

  std::string text = readText(file);
  if (briarspar::node::isNodeSettings(text))
    return runNode(file, text, check);
  absl::StatusOr<Settings> settings = loadSettings(file);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << '\n';
    return SettingsInvalid;
  }
  if (check) {
    std::cout << "settings are valid\n";
    return Ok;
  }
  return run(*settings, options);
}
