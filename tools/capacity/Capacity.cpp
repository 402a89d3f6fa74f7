// Measures the cost of the control plane by fleet size: real nodes and real encoded messages over
// an in-memory network in simulated time, and the processor time of one authenticated message over
// a websocket on loopback. Prints one JSON line for the transport and one for each fleet size, the
// input of the capacity estimates.

#include "daemon/testing/InMemoryFleet.h"
#include "transport/Transport.h"

#include <CLI/CLI.hpp>
#include <asio.hpp>

#include <ctime>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

using namespace briarspar;
using namespace briarspar::daemon;
using daemon::testing::FleetObserver;
using daemon::testing::InMemoryFleet;
using daemon::testing::InMemoryFleetSettings;

namespace {

struct Options {
  std::vector<uint32_t> Nodes{12, 48, 192, 768, 2000};
  uint32_t Targets = 320; ///< By default one per site of the design.
  uint32_t Customers = 200;
  uint32_t ActiveCustomers = 5; ///< Customers with traffic at one node.
  int Seconds = 10;             ///< Simulated time that is measured.
  uint64_t Seed = 1;
};

constexpr uint32_t Voters = 3;
constexpr uint32_t Regions = 9;
constexpr uint32_t DomainsPerRegion = 4;

/// Interval between two admission attempts of one customer at one node.
constexpr core::Duration AttemptInterval{100};

/// Bytes that framing adds to a message: the authenticated frame and a websocket header of 2 bytes,
/// 2 more for a long message and 4 for the mask that only the connecting side sends.
constexpr size_t FrameBytes = transport::FrameOverhead + 8;

double cpuSeconds() {
  timespec ts{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

double residentMb() {
  std::ifstream in("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  in >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Messages, bytes and processor time that one node spends on control.
struct Usage {
  uint64_t Sent = 0;
  uint64_t Received = 0;
  uint64_t SentBytes = 0;
  uint64_t ReceivedBytes = 0;
  double Cpu = 0; ///< Seconds.

  void add(const Usage &other) {
    Sent += other.Sent;
    Received += other.Received;
    SentBytes += other.SentBytes;
    ReceivedBytes += other.ReceivedBytes;
    Cpu += other.Cpu;
  }
};

class UsageObserver final : public FleetObserver {
public:
  explicit UsageObserver(size_t nodes) : ByNode(nodes) {}

  void onSend(uint32_t node, std::string_view kind, size_t bytes) override {
    ++ByNode[node].Sent;
    ByNode[node].SentBytes += bytes + FrameBytes;
    if (node >= Voters)
      ++SentByKind[std::string(kind)];
  }
  void onReceive(uint32_t node, std::string_view, size_t bytes) override {
    ++ByNode[node].Received;
    ByNode[node].ReceivedBytes += bytes + FrameBytes;
  }
  void beforeWork(uint32_t) override { Started = cpuSeconds(); }
  void afterWork(uint32_t node) override { ByNode[node].Cpu += cpuSeconds() - Started; }

  void reset() {
    for (Usage &it : ByNode)
      it = {};
    SentByKind.clear();
  }

  std::vector<Usage> ByNode;
  std::map<std::string, uint64_t> SentByKind; ///< Messages of the nodes that are not voters.

private:
  double Started = 0;
};

core::Json rates(const Usage &usage, double divisor) {
  return {{"messages_in_per_s", static_cast<double>(usage.Received) / divisor},
          {"messages_out_per_s", static_cast<double>(usage.Sent) / divisor},
          {"bytes_in_per_s", static_cast<double>(usage.ReceivedBytes) / divisor},
          {"bytes_out_per_s", static_cast<double>(usage.SentBytes) / divisor},
          {"cpu_percent", usage.Cpu / divisor * 100}};
}

class CapacityRun {
public:
  CapacityRun(const Options &options, uint32_t nodes)
      : Opts(options), Before(residentMb()), Observer(nodes),
        Fleet(settings(options, nodes), &Observer) {}

  core::Json measure() {
    for (uint32_t n = Voters; n < Fleet.size(); ++n)
      Fleet.crash(n);
    Fleet.advanceUntil([&] { return Fleet.leader().has_value(); }, core::Duration{10'000});
    fillConfiguration();
    startNodes();
    Fleet.advanceUntil([&] { return Fleet.servingNodes() == Fleet.size(); },
                       core::Duration{60'000});
    advanceUnderLoad(3);
    core::Json result = {{"nodes", Fleet.size()},
                         {"serving", Fleet.servingNodes()},
                         {"mb_per_node", (residentMb() - Before) / Fleet.size()}};
    Observer.reset();
    advanceUnderLoad(Opts.Seconds);
    addUsage(result);
    result["change_in_force_ms"] = measureConfigChange();
    return result;
  }

private:
  static InMemoryFleetSettings settings(const Options &options, uint32_t nodes) {
    InMemoryFleetSettings settings;
    settings.Nodes = nodes;
    settings.Voters = Voters;
    settings.Regions = Regions;
    settings.DomainsPerRegion = DomainsPerRegion;
    settings.Seed = options.Seed;
    settings.Faults.MinDelay = core::Duration{10};
    settings.Faults.MaxDelay = core::Duration{20};
    return settings;
  }

  void fillConfiguration() {
    for (uint32_t n = 0; n < Opts.Customers; ++n)
      Fleet.propose(config::CreateCustomer{customer(n), 1'000'000, 1'000'000, 1});
    Fleet.propose(config::CreateRoute{core::RouteId("route"), "/", config::RouteAccess::Keyed,
                                      config::RouteSemantics::Idempotent, core::Duration{5000}});
    for (uint32_t n = 0; n < Opts.Targets; ++n) {
      balance::Locality locality = Fleet.localityOf(n);
      std::string port = std::to_string(10'000 + n);
      Fleet.propose(config::AddTarget{core::TargetId("target-" + std::to_string(n)),
                                      core::RouteId("route"), "127.0.0.1:" + port,
                                      core::VersionId("v1"), 6, locality.Region, locality.Domain});
    }
    for (uint32_t n = 0; n < Fleet.size(); ++n) {
      balance::Locality locality = Fleet.localityOf(n);
      Fleet.propose(config::PutVm{InMemoryFleet::idOf(n), "127.0.0.1:1", "127.0.0.1:2",
                                  locality.Region, locality.Domain});
    }
  }

  /// Starts the nodes at the rate at which the leader sends out full states. Starting all at once
  /// would measure another case: nodes that the leader refuses at first become suspect, and each
  /// change of the list of suspects is sent to all nodes.
  void startNodes() {
    constexpr uint32_t startsPerStep = 5;
    for (uint32_t n = Voters; n < Fleet.size(); ++n) {
      Fleet.restart(n);
      if (n % startsPerStep == 0)
        Fleet.advance(core::Duration{100});
    }
  }

  core::CustomerId customer(uint32_t n) const {
    return core::CustomerId("customer-" + std::to_string(n % Opts.Customers));
  }

  void advanceUnderLoad(int seconds) {
    core::Time end = Fleet.clock().now() + core::Duration::seconds(seconds);
    while (Fleet.clock().now() < end) {
      for (uint32_t n = 0; n < Fleet.size(); ++n)
        for (uint32_t c = 0; c < Opts.ActiveCustomers; ++c)
          tryAdmit(n, customer(n + c));
      Fleet.advance(AttemptInterval);
    }
  }

  void tryAdmit(uint32_t n, const core::CustomerId &id) {
    quota::QuotaHolder &quota = Fleet.node(n).vm().quota();
    if (quota.tryAdmit(id, Fleet.clock().now()).Result == quota::Admission::Wait)
      quota.cancelWait(id);
  }

  void addUsage(core::Json &result) {
    Usage sum;
    for (uint32_t n = Voters; n < Fleet.size(); ++n)
      sum.add(Observer.ByNode[n]);
    double nodeSeconds = static_cast<double>(Fleet.size() - Voters) * Opts.Seconds;
    result["node"] = rates(sum, nodeSeconds);
    for (const auto &[kind, n] : Observer.SentByKind)
      result["node"]["sent_per_s"][kind] = static_cast<double>(n) / nodeSeconds;
    std::optional<uint32_t> leader = Fleet.leader();
    for (uint32_t n = 0; n < Voters; ++n)
      result[leader == n ? "leader" : "follower"] = rates(Observer.ByNode[n], Opts.Seconds);
  }

  int64_t measureConfigChange() {
    core::Time start = Fleet.clock().now();
    core::ConfigVersion version;
    Fleet.propose(config::UpdateCustomer{customer(0), 2'000'000, {}, {}},
                  [&](const absl::StatusOr<std::string> &result) {
                    version = config::decodeOutcome(*result)->Version;
                  });
    Fleet.advanceUntil(
        [&] {
          std::optional<uint32_t> n = Fleet.leader();
          return version.Value > 0 && n &&
                 Fleet.node(*n).leader()->inForceEverywhere(version, Fleet.clock().now());
        },
        core::Duration{30'000});
    return (Fleet.clock().now() - start).Ms;
  }

  Options Opts;
  double Before;
  UsageObserver Observer;
  InMemoryFleet Fleet;
};

class NullSink final : public core::EventSink {
public:
  void emit(core::Event /*event*/) override {}
};

/// Round trips per measurement of the transport.
constexpr int RoundTrips = 10'000;

/// Returns the processor time in microseconds of one message at one end: framing, MAC and
/// websocket.
double transportMicroseconds(size_t bytes) {
  core::SteadyClock clock;
  NullSink sink;
  asio::io_context io;
  auto make = [&](const char *name) {
    transport::TransportSettings settings;
    settings.Self = core::VmId(name);
    settings.Listen = {"127.0.0.1", 0};
    settings.Secret = "a secret for loopback";
    settings.Kinds = {"ping", "pong"};
    return transport::makeWebsocketTransport(io, clock, sink, settings);
  };
  auto a = make("a");
  auto b = make("b");
  int roundTrips = 0;
  std::string body(bytes, 'x');
  if (!a->start([&](const transport::PeerMessage &) {
          ++roundTrips;
          a->send(core::VmId("b"), "ping", body);
        }).ok() ||
      !b->start([&](const transport::PeerMessage &) {
          b->send(core::VmId("a"), "pong", body);
        }).ok())
    return 0;
  a->setAddress(core::VmId("b"), {"127.0.0.1", b->port()});
  a->send(core::VmId("b"), "ping", body);
  while (roundTrips < 100)
    io.run_one_for(std::chrono::milliseconds(1000));
  double before = cpuSeconds();
  int first = roundTrips;
  while (roundTrips < first + RoundTrips)
    io.run_one_for(std::chrono::milliseconds(1000));
  // A round trip is two messages, and each is processed at both ends.
  return (cpuSeconds() - before) / RoundTrips / 4 * 1e6;
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Cost of control against the size of the fleet");
  app.add_option("--nodes", options.Nodes, "Fleet sizes");
  app.add_option("--targets", options.Targets, "Targets");
  app.add_option("--customers", options.Customers, "Customers");
  app.add_option("--active", options.ActiveCustomers, "Customers with traffic at one node");
  app.add_option("--seconds", options.Seconds, "Measured span of injected time");
  app.add_option("--seed", options.Seed, "Seed of the network and the random sources");
  CLI11_PARSE(app, argc, argv);
  core::Json transport;
  for (size_t bytes : {100, 300, 1000, 10'000})
    transport[std::to_string(bytes)] = transportMicroseconds(bytes);
  std::cout << core::Json{{"transport_us_per_message_end", transport}}.dump() << std::endl;
  for (uint32_t nodes : options.Nodes)
    std::cout << CapacityRun(options, nodes).measure().dump() << std::endl;
  return 0;
}
