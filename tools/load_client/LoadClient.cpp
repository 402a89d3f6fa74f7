// Generates a bounded HTTP load: each caller has one keep-alive connection and sends its requests
// one after the other. Prints one JSON line with the rate, latency quantiles and counts by status.

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

struct Options {
  std::string Host = "127.0.0.1";
  int Port = 0;
  std::string Path = "/";
  std::string Method = "GET";
  std::string Key;
  std::string IdPrefix; ///< Unless empty, every request carries a unique Idempotency-Key.
  size_t Callers = 16;
  size_t Requests = 10'000; ///< Total of all callers.
  int MaxSeconds = 60;      ///< No request is started after this time.
  double RatePerCaller = 0; ///< Requests per second of one caller; 0: without pause.
};

/// Results of one caller.
struct Result {
  std::vector<uint32_t> LatenciesUs;
  std::map<std::string, uint64_t>
      Outcomes; ///< Counts by HTTP status, or "failed" without a response.
};

httplib::Request makeRequest(const Options &options, size_t number) {
  httplib::Request req;
  req.method = options.Method;
  req.path = options.Path;
  if (!options.Key.empty())
    req.headers.emplace("Authorization", "Bearer " + options.Key);
  if (!options.IdPrefix.empty())
    req.headers.emplace("Idempotency-Key", options.IdPrefix + std::to_string(number));
  if (options.Method != "GET")
    req.body = "{\"n\":" + std::to_string(number) + "}";
  return req;
}

void waitUntilDue(const Options &options, SteadyTime start, size_t sent) {
  if (options.RatePerCaller <= 0)
    return;
  auto due = std::chrono::duration<double>(static_cast<double>(sent) / options.RatePerCaller);
  std::this_thread::sleep_until(start + std::chrono::duration_cast<std::chrono::nanoseconds>(due));
}

void runCaller(const Options &options, std::atomic<size_t> &next, SteadyTime start, SteadyTime end,
               Result &result) {
  httplib::Client client(options.Host, options.Port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(std::chrono::seconds(30));
  for (size_t sent = 0; std::chrono::steady_clock::now() < end; ++sent) {
    size_t number = next++;
    if (number >= options.Requests)
      return;
    waitUntilDue(options, start, sent);
    SteadyTime before = std::chrono::steady_clock::now();
    httplib::Result answer = client.send(makeRequest(options, number));
    auto latency = std::chrono::steady_clock::now() - before;
    result.LatenciesUs.push_back(static_cast<uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(latency).count()));
    ++result.Outcomes[answer ? std::to_string(answer->status) : "failed"];
  }
}

uint32_t quantile(const std::vector<uint32_t> &sorted, double q) {
  if (sorted.empty())
    return 0;
  return sorted[std::min(sorted.size() - 1, static_cast<size_t>(q * sorted.size()))];
}

nlohmann::json summary(const Options &options, const std::vector<Result> &results, double seconds) {
  std::vector<uint32_t> all;
  std::map<std::string, uint64_t> outcomes;
  for (const Result &it : results) {
    all.insert(all.end(), it.LatenciesUs.begin(), it.LatenciesUs.end());
    for (const auto &[name, n] : it.Outcomes)
      outcomes[name] += n;
  }
  std::sort(all.begin(), all.end());
  return {{"callers", options.Callers},
          {"requests", all.size()},
          {"seconds", seconds},
          {"per_second", seconds > 0 ? static_cast<double>(all.size()) / seconds : 0},
          {"p50_us", quantile(all, 0.5)},
          {"p99_us", quantile(all, 0.99)},
          {"max_us", all.empty() ? 0 : all.back()},
          {"outcomes", outcomes}};
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Bounded HTTP load on loopback");
  app.add_option("--port", options.Port, "Port on loopback")->required();
  app.add_option("--path", options.Path, "Path and query");
  app.add_option("--method", options.Method, "HTTP method");
  app.add_option("--key", options.Key, "Customer's key");
  app.add_option("--id-prefix", options.IdPrefix, "Prefix of generated Idempotency-Keys");
  app.add_option("--callers", options.Callers, "Kept-alive callers")->check(CLI::Range(1, 1000));
  app.add_option("--requests", options.Requests, "Requests over all callers");
  app.add_option("--max-seconds", options.MaxSeconds, "Time bound")->check(CLI::Range(1, 600));
  app.add_option("--rate-per-caller", options.RatePerCaller, "Requests per second of one caller");
  CLI11_PARSE(app, argc, argv);

  std::vector<Result> results(options.Callers);
  std::vector<std::thread> callers;
  callers.reserve(options.Callers);
  std::atomic<size_t> next{0};
  SteadyTime start = std::chrono::steady_clock::now();
  SteadyTime end = start + std::chrono::seconds(options.MaxSeconds);
  for (Result &it : results)
    callers.emplace_back([&] { runCaller(options, next, start, end, it); });
  for (std::thread &it : callers)
    it.join();
  double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  std::cout << summary(options, results, seconds).dump() << std::endl;
  return 0;
}
