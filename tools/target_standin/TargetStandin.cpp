// Stand-in target for tests: an HTTP server with a fixed service time, statistics of the requests
// that ran, and faults that the command line or a request header selects.

#include "forwarding/HttpServer.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

struct Options {
  std::string Host = "127.0.0.1";
  int Port = 0;
  std::string Name = "target";
  int ServiceMs = 1;    ///< Service time of a request.
  int Slots = 6;        ///< Concurrent requests at which the reported load is 1000 permille.
  int FailPermille = 0; ///< Requests answered with status 500, in permille.
  size_t Threads = 400; ///< Connections served concurrently.
};

/// Statistics that GET /standin/stats reports.
struct Stats {
  std::atomic<int> InFlight{0};
  std::atomic<int> MaxInFlight{0};
  std::atomic<uint64_t> Requests{0};
  std::atomic<uint64_t> KeysSeen{0};
  std::mutex Mutex;
  std::map<std::string, uint64_t> RunsById; ///< Number of runs by Idempotency-Key.
};

bool hasKey(const httplib::Request &req) {
  return req.has_header("Authorization") || req.has_header("X-Api-Key") || req.has_param("api_key");
}

void updateMaximum(std::atomic<int> &maximum, int value) {
  int previous = maximum.load();
  while (value > previous && !maximum.compare_exchange_weak(previous, value)) {
  }
}

void writeStats(const Options &options, Stats &stats, httplib::Response &res) {
  uint64_t repeated = 0;
  size_t ids = 0;
  {
    std::lock_guard<std::mutex> lock(stats.Mutex);
    ids = stats.RunsById.size();
    for (const auto &[id, runs] : stats.RunsById)
      repeated += runs > 1 ? 1 : 0;
  }
  std::string body =
      "{\"name\":\"" + options.Name + "\",\"requests\":" + std::to_string(stats.Requests) +
      ",\"max_in_flight\":" + std::to_string(stats.MaxInFlight) +
      ",\"slots\":" + std::to_string(options.Slots) +
      ",\"keys_seen\":" + std::to_string(stats.KeysSeen) + ",\"ids\":" + std::to_string(ids) +
      ",\"ids_run_twice\":" + std::to_string(repeated) + "}";
  res.set_content(body, "application/json");
}

void serve(const Options &options, Stats &stats, const httplib::Request &req,
           httplib::Response &res) {
  if (req.path == "/standin/stats") {
    writeStats(options, stats, res);
    return;
  }
  uint64_t n = ++stats.Requests;
  updateMaximum(stats.MaxInFlight, ++stats.InFlight);
  if (hasKey(req))
    ++stats.KeysSeen;
  if (req.has_header("Idempotency-Key")) {
    std::lock_guard<std::mutex> lock(stats.Mutex);
    ++stats.RunsById[req.get_header_value("Idempotency-Key")];
  }
  if (req.has_header("X-Standin-Crash"))
    std::_Exit(9);
  int ms = options.ServiceMs;
  if (req.has_header("X-Standin-Ms"))
    ms = std::atoi(req.get_header_value("X-Standin-Ms").c_str());
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  res.set_header("X-Target", options.Name);
  res.set_header("Briarspar-Load",
                 std::to_string(std::min(1000, stats.InFlight * 1000 / options.Slots)));
  if (static_cast<int>(n % 1000) < options.FailPermille)
    res.status = 500;
  res.set_content(options.Name + " ran " + req.method + " " + req.path + "\n", "text/plain");
  --stats.InFlight;
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Stand-in for a target");
  app.add_option("--host", options.Host, "Address to listen on");
  app.add_option("--port", options.Port, "Port to listen on; 0 chooses a free one");
  app.add_option("--name", options.Name, "Name in answers");
  app.add_option("--service-ms", options.ServiceMs, "Time a request takes, in ms");
  app.add_option("--slots", options.Slots, "Requests at once that the worker accepts")
      ->check(CLI::PositiveNumber);
  app.add_option("--fail-permille", options.FailPermille,
                 "Requests answered with 500, in thousandths");
  app.add_option("--threads", options.Threads, "Connections served at once");
  CLI11_PARSE(app, argc, argv);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  Stats stats;
  briarspar::forwarding::HttpServerSettings settings;
  settings.Host = options.Host;
  settings.Port = options.Port;
  settings.MaxConnections = options.Threads;
  settings.IdleTimeout = briarspar::core::Duration::seconds(10);
  briarspar::forwarding::HttpServer server(
      settings, [&](const httplib::Request &req, httplib::Response &res) {
        serve(options, stats, req, res);
      });
  absl::Status status = server.start();
  if (!status.ok()) {
    std::cerr << status << '\n';
    return 1;
  }
  std::cout << "listening " << server.port() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  // A regular stop would wait for open keep-alive connections, and there is no state to save.
  std::_Exit(0);
}
