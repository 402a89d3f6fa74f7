#pragma once

#include "config/ConfigReplica.h"
#include "config/ConfigStore.h"
#include "core/testing/Property.h"

#include <string>
#include <vector>

namespace briarspar::config::testing {

inline Command command(std::string id, Change what, uint64_t expected = 0) {
  return {std::move(id), "ops", core::ConfigVersion(expected), std::move(what), core::Time{1000}};
}

inline KeyDigest digestOf(uint8_t n) {
  KeyDigest digest{};
  digest[0] = n;
  digest[31] = 1;
  return digest;
}

inline AddTarget target(const std::string &id, const std::string &version, int port) {
  return {core::TargetId(id),
          core::RouteId("r0"),
          "127.0.0.1:" + std::to_string(port),
          core::VersionId(version),
          4,
          core::RegionId("eu"),
          core::DomainId("eu-1")};
}

/// Returns a store with customer c0 and a key, route r0 with targets t0 (v1) and t1 (v2), VMs in
/// two regions, and a cap on all shifts.
inline ConfigStore populatedStore(const ConfigStoreSettings &settings = {}) {
  ConfigStore store(settings);
  std::vector<Change> changes{
      CreateCustomer{core::CustomerId("c0"), 100, 50, 1},
      CreateKey{core::CustomerId("c0"), digestOf(200)},
      CreateRoute{core::RouteId("r0"), "/r0", RouteAccess::Keyed, RouteSemantics::Once,
                  core::Duration{500}},
      target("t0", "v1", 9000),
      target("t1", "v2", 9001),
      PutVm{core::VmId("vm0"), "127.0.0.1:7000", "127.0.0.1:8000", core::RegionId("eu"),
            core::DomainId("eu-1")},
      PutVm{core::VmId("vm1"), "127.0.0.1:7001", "127.0.0.1:8001", core::RegionId("us"),
            core::DomainId("us-1")},
      SetCap{CapId("all"), 500, core::Duration{1000}},
  };
  for (size_t n = 0; n < changes.size(); ++n) {
    Outcome outcome = store.apply(command("setup" + std::to_string(n), changes[n]));
    cr_assert_eq(outcome.Status, Outcome::Accepted, "setup: %s", outcome.Reason.c_str());
  }
  return store;
}

/// Generates a change that may be invalid. It uses few names, so that commands often refer to the
/// same records.
inline rc::Gen<Change> arbitraryChange() {
  return rc::gen::exec([]() -> Change {
    auto pick = [](int bound) { return *rc::gen::inRange(0, bound); };
    auto name = [&](const char *prefix) { return prefix + std::to_string(pick(3)); };
    core::MoveId move((pick(2) == 0 ? "m" : "s") + std::to_string(pick(40)));
    auto state = static_cast<MoveState>(pick(4));
    auto drain = static_cast<DrainKind>(pick(2));
    std::string drained = drain == DrainKind::Target ? name("t") : name("vm");
    switch (pick(16)) {
    case 0:
      return CreateCustomer{core::CustomerId(name("c")), uint64_t(pick(5)), 10, 1};
    case 1:
      return UpdateCustomer{core::CustomerId(name("c")), uint64_t(pick(50)), {}, {}};
    case 2:
      return CreateKey{core::CustomerId(name("c")), digestOf(uint8_t(pick(250)))};
    case 3:
      return WithdrawKey{core::KeyId("k" + std::to_string(pick(40)))};
    case 4:
      return CreateRoute{core::RouteId(name("r")), "/" + name("p"), RouteAccess::Open,
                         RouteSemantics::Idempotent, core::Duration{pick(900)}};
    case 5:
      return DeleteRoute{core::RouteId(name("r"))};
    case 6:
      return target(name("t"), name("v"), 9000 + pick(4));
    case 7:
      return DeleteTarget{core::TargetId(name("t"))};
    case 8:
      return SetCap{CapId("all"), uint32_t(pick(1100)), core::Duration{1000}};
    case 9:
      return StartDrain{drain, drained, core::Duration{pick(100)}};
    case 10:
      return CancelDrain{drain, drained};
    case 11:
      return StartShift{"eu", "us", uint32_t(pick(1000)), core::Duration{5000}};
    case 12:
      return UpdateShift{move, state, "step", uint32_t(pick(500)), "\xa0"};
    case 13:
      return StartMove{core::RouteId(name("r")), core::VersionId(name("v")), core::Duration{900}};
    case 14:
      return UpdateMove{move, state, "step", uint32_t(pick(1000)), "\xa0"};
    default:
      return CancelMove{move};
    }
  });
}

/// Generates commands with distinct ids `0`, `1`, ...; some expect a version.
inline std::vector<Command> arbitraryCommands(int count) {
  std::vector<Command> commands;
  for (int n = 0; n < count; ++n) {
    int expected = *rc::gen::inRange(0, 4) == 0 ? *rc::gen::inRange(1, 30) : 0;
    commands.push_back(command(std::to_string(n), *arbitraryChange(), uint64_t(expected)));
  }
  return commands;
}

} // namespace briarspar::config::testing
