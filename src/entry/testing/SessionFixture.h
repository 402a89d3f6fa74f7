#pragma once

#include "core/Event.h"
#include "entry/CallerSession.h"
#include "entry/testing/OneService.h"

#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace briarspar::entry::testing {

/// A connection of a caller to a VM without a configuration, which refuses every request with 503.
struct SessionFixture {
  SessionFixture() : Caller(Io), Pool(Io, Clock, Context.Names.RequestId, nullptr) {
    asio::ip::tcp::acceptor acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
    Caller.connect(acceptor.local_endpoint());
    Session = std::make_shared<CallerSession>(
        Io, acceptor.accept(), Clock, Context, Pool,
        [this](const std::shared_ptr<CallerSession> &) { Ended = true; });
    Session->start();
    Caller.non_blocking(true);
  }

  ~SessionFixture() { Session->close(); }

  void send(const std::string &bytes) {
    asio::error_code ec;
    Caller.write_some(asio::buffer(bytes), ec);
  }

  /// Runs the session and reads what it has sent.
  void poll() {
    Io.restart();
    Io.poll();
    char buffer[4096];
    asio::error_code ec;
    for (size_t n; (n = Caller.read_some(asio::buffer(buffer), ec)) > 0 && !ec;)
      Received.append(buffer, n);
    std::this_thread::yield();
  }

  /// Lets time pass on the clock of the session, with its sweeps.
  void advance(core::Duration span) {
    const core::Duration step{100};
    for (core::Duration passed{0}; passed < span && !Ended; passed = passed + step) {
      poll();
      Clock.advance(step);
      Session->sweep(Clock.now());
    }
  }

  asio::io_context Io;
  core::ManualClock Clock;
  EntryContext Context{{},
                       {},
                       nullptr,
                       {},
                       RateLimiter({core::VmId("vm"), core::RegionId("r"), core::DomainId("z")},
                                   [](const core::VmId &, const link::RateRequest &) {}),
                       RetryAfterPolicy(core::Time{0}),
                       RetryBudget(),
                       TargetTable({core::VmId("vm"),
                                    core::RegionId("r"),
                                    core::DomainId("z"),
                                    {{core::DomainId("z"), core::RegionId("r")}}}),
                       balance::CrashGuard(1),
                       nullptr,
                       0,
                       0};
  asio::ip::tcp::socket Caller;
  TargetPool Pool;
  std::shared_ptr<CallerSession> Session;
  std::string Received;
  bool Ended = false;
};

/// Returns the catalogue of oneService() with a route without keys that covers all paths of the
/// host `h`.
inline catalog::Catalog oneOpenRoute(bool idempotent) {
  catalog::Catalog catalog = oneService();
  catalog::Change change;
  catalog::Route route;
  route.Name = "route";
  route.Host = "h";
  route.Prefix = "/";
  route.Open = true;
  route.Idempotent = idempotent;
  route.Timeout = core::Duration{1000};
  route.LatencyGoal = core::Duration{400};
  route.MaxTargets = 2;
  route.Services = {{ServiceName, 1}};
  change.Routes.push_back({catalog::ItemVersion(2), route, route.Name});
  cr_assert(catalog.apply(change, core::LogIndex(2)).ok());
  return catalog;
}

/// Gives the VM a catalogue and targets with the given ids, all at one address on loopback.
inline void configure(EntryContext &context, const catalog::Catalog &catalog,
                      const std::vector<std::string> &ids, uint16_t port, core::Time now) {
  context.Routes = std::make_shared<const RouteTable>(catalog);
  context.Targets.setCatalog(catalog, now);
  std::vector<discovery::Target> targets;
  for (const std::string &id : ids) {
    discovery::Target target;
    target.Id = core::TargetId(id);
    target.Service = ServiceName;
    target.Host = "127.0.0.1";
    target.Port = port;
    target.Domain = core::DomainId("z");
    target.Version = core::VersionId("v1");
    target.Slots = 4;
    targets.push_back(target);
  }
  discovery::TargetList list;
  list.startEpoch(1);
  list.update(targets, now);
  context.Targets.setTargets(list, now);
  context.Retries.setEntries(1);
}

} // namespace briarspar::entry::testing
