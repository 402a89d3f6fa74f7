#include "balance/TargetChooser.h"
#include "core/testing/Property.h"

#include <map>
#include <string>
#include <vector>

using namespace briarspar::balance;
using namespace briarspar::core;

namespace {

const PoolId TestPool("pool");
const Locality Home{RegionId("east"), DomainId("e1")};

struct FakeSlots final : SlotSource {
  std::map<TargetId, uint32_t> Limit;
  std::map<TargetId, uint32_t> Used;
  bool acquire(const TargetId &target) override {
    if (available(target) == 0)
      return false;
    ++Used[target];
    return true;
  }
  void release(const TargetId &target) override { --Used[target]; }
  uint32_t available(const TargetId &target) const override {
    return Limit.at(target) - inUse(target);
  }
  uint32_t inUse(const TargetId &target) const override {
    auto it = Used.find(target);
    return it == Used.end() ? 0 : it->second;
  }
};

TargetInfo target(const std::string &id, const Locality &where = Home,
                  const std::string &version = "v1") {
  return {TargetId(id), TestPool, VersionId(version), where, 5};
}

struct Fixture {
  FakeSlots Slots;
  TargetChooserSettings Settings;
  TargetChooser Chooser;
  Time Now{0};

  explicit Fixture(const std::vector<TargetInfo> &targets, const TargetChooserSettings &s = warm())
      : Settings(s), Chooser(Home, Slots, s) {
    for (const TargetInfo &info : targets)
      Slots.Limit[info.Id] = info.Slots;
    Chooser.setTargets(targets, Now);
  }

  static TargetChooserSettings warm() {
    TargetChooserSettings settings;
    settings.RampDuration = Duration{0};
    return settings;
  }

  std::string choose() {
    auto choice = Chooser.choose({TestPool, {}}, Now);
    return choice ? choice->Target.Value : "";
  }

  void finish(const std::string &id, Outcome::Kind kind) {
    Slots.release(TargetId(id));
    Chooser.record({TargetId(id), kind, Duration{5}}, Now);
  }
};

} // namespace

/// Guards against requests that leave their failure domain or region while it has free slots.
Test(TargetChooser, nearTargetsFirst) {
  Fixture f({target("far", {RegionId("west"), DomainId("w1")}),
             target("near", {RegionId("east"), DomainId("e2")}), target("own")});
  std::vector<std::string> order;
  for (int n = 0; n < 15; ++n)
    order.push_back(f.choose());
  for (int n = 0; n < 15; ++n)
    cr_expect_eq(order[n], n < 5 ? "own" : n < 10 ? "near" : "far");
  cr_expect_eq(f.choose(), "");
}

/// Guards against the ejection of healthy targets by requests that spent their deadline in the
/// queue, and against a hanging target that is not ejected.
Test(TargetChooser, timeoutCountsOnlyAfterEnoughTime) {
  Fixture f({target("a"), target("b"), target("c")});
  const Duration usual{40};
  const auto timeOut = [&](Duration after) {
    for (uint32_t n = 0; n < 2 * f.Settings.FailuresToEject; ++n)
      f.Chooser.record({TargetId("a"), Outcome::TimedOut, after}, f.Now);
    return f.Chooser.isEjected(TargetId("a"));
  };
  f.Chooser.record({TargetId("b"), Outcome::Good, usual}, f.Now);
  cr_expect_not(timeOut(usual));
  cr_expect(timeOut(usual * f.Settings.MinTimeoutFactor));
}

/// Guards against requests to an ejected target, a probe of more than one request, an ejection that
/// never ends, and a recovered target that gets full load at once.
Test(TargetChooser, failingTargetIsEjectedAndProbed) {
  TargetChooserSettings settings;
  Fixture f({target("a"), target("b"), target("c")}, settings);
  f.Now = Time{20'000};
  for (int n = 0; n < 3; ++n)
    f.choose();
  f.Now = Time{40'000};
  for (int n = 0; n < 3; ++n)
    f.Chooser.record({TargetId("a"), Outcome::Failed, {}}, f.Now);
  cr_assert(f.Chooser.isEjected(TargetId("a")));
  f.Slots.Used.clear();
  for (int n = 0; n < 10; ++n)
    cr_expect_neq(f.choose(), "a");
  f.Slots.Used.clear();
  f.Now = f.Now + settings.BaseEjectionTime;
  for (uint32_t probe = 0; probe < settings.ProbesToRecover; ++probe) {
    cr_expect_eq(f.choose(), "a");
    for (int n = 0; n < 4; ++n)
      cr_expect_neq(f.choose(), "a", "a second request while the probe is in flight");
    f.Slots.Used[TargetId("b")] = f.Slots.Used[TargetId("c")] = 0;
    f.finish("a", Outcome::Good);
  }
  cr_assert_not(f.Chooser.isEjected(TargetId("a")));
  int onRecovered = 0;
  for (int n = 0; n < 15; ++n)
    onRecovered += f.choose() == "a";
  cr_expect_eq(onRecovered, 1, "the recovered target gets full load at once");
}

/// Guards against a pool that serves nothing because most of its targets are ejected.
Test(TargetChooser, mostlyEjectedPoolIsStillUsed) {
  Fixture f({target("a"), target("b"), target("c")});
  for (const char *id : {"a", "b"})
    for (int n = 0; n < 3; ++n)
      f.Chooser.record({TargetId(id), Outcome::ConnectFailed, {}}, f.Now);
  int served = 0;
  for (int n = 0; n < 15; ++n)
    served += !f.choose().empty();
  cr_expect_eq(served, 15);
}

/// Guards against a failing target that attracts requests by reporting no load.
Test(TargetChooser, failuresOverrideLoadReports) {
  Fixture f({target("a"), target("b")});
  for (int n = 0; n < 10; ++n)
    f.Chooser.record({TargetId("a"), n % 5 == 0 ? Outcome::Failed : Outcome::Good, {}}, f.Now);
  f.Chooser.recordLoad(TargetId("a"), 0, f.Now);
  f.Chooser.recordLoad(TargetId("b"), 900, f.Now);
  cr_expect_str_eq(f.choose().c_str(), "b");
}

/// Guards against a load report that keeps its weight after the reports have stopped.
Test(TargetChooser, oldLoadReportsLoseTheirWeight) {
  Fixture f({target("a"), target("b")});
  f.Chooser.recordLoad(TargetId("a"), 1000, f.Now);
  int onA = 0;
  for (int n = 0; n < 4; ++n)
    onA += f.choose() == "a";
  cr_expect_eq(onA, 0);
  f.Slots.Used.clear();
  f.Now = f.Now + f.Settings.LoadReportMaxAge;
  for (int n = 0; n < 4; ++n)
    onA += f.choose() == "a";
  cr_expect_eq(onA, 2);
}

/// Guards against a new version that receives more than its share because the old one has no free
/// slots or is ejected, or because the shares are uneven.
Test(TargetChooser, versionSharesAreNotExceeded) {
  testing::checkProperty("share of a version", [](const std::vector<uint8_t> &script) {
    Fixture f({target("old1"), target("old2"), target("new1", Home, "v2")});
    f.Chooser.setVersionShares(TestPool, {{VersionId("v1"), 98}, {VersionId("v2"), 2}});
    int all = 0;
    int onNew = 0;
    std::vector<std::string> running;
    for (int round = 0; round < 5; ++round)
      for (uint8_t byte : script) {
        f.Now = f.Now + Duration{byte};
        const std::string id = byte % 4 == 0 ? "" : f.choose();
        if (!id.empty())
          running.push_back(id);
        all += !id.empty();
        onNew += id == "new1";
        RC_ASSERT(100 * onNew <= 2 * all + 100);
        if (byte % 3 == 0 && !running.empty()) {
          f.finish(running.back(), byte % 2 == 0 ? Outcome::Good : Outcome::Failed);
          running.pop_back();
        }
      }
  });
}
