#include "catalog/Catalog.h"
#include "core/testing/Property.h"

using namespace briarspar::catalog;
using namespace briarspar::core;

namespace {

NewItem<Service> service(const std::string &name, uint64_t version) {
  Service it;
  it.Name = name;
  it.HealthPath = "/health";
  return {ItemVersion(version), it, name + "#" + std::to_string(version)};
}

NewItem<Route> route(const std::string &name, const std::string &prefix, uint64_t version,
                     const std::string &to = "a") {
  Route it;
  it.Name = name;
  it.Host = "h.example";
  it.Prefix = prefix;
  it.Timeout = Duration{1000};
  it.Services = {{to, 1}};
  return {ItemVersion(version), it, name + "#" + std::to_string(version) + to};
}

NewItem<Customer> customer(const std::string &name, std::vector<std::string> keys,
                           uint64_t version) {
  Customer it;
  it.Name = name;
  it.Keys = std::move(keys);
  return {ItemVersion(version), it, name + "#" + std::to_string(version)};
}

Change initialChange() {
  Change change;
  change.Services = {service("a", 7), service("b", 7)};
  change.Routes = {route("r", "/r/", 7)};
  change.Customers = {customer("c", {"k1"}, 7)};
  return change;
}

} // namespace

/// Guards against an accepted change that is refused, or that reverts a newer one, when it is sent
/// again.
Test(Catalog, olderChangeHasNoEffect) {
  Catalog catalog;
  cr_assert(catalog.apply(initialChange(), LogIndex(1)).ok());
  Change newer;
  newer.Routes = {route("r", "/r/", 9, "b")};
  cr_assert(catalog.apply(newer, LogIndex(2)).ok());
  cr_assert(catalog.apply(initialChange(), LogIndex(3)).ok());
  cr_assert_eq(catalog.routes().at("r").Value->Services[0].Service, "b");
  cr_assert_eq(catalog.changedAt().Value, 2);
}

/// Guards against a removed route that is restored by a delayed repetition of its creation.
Test(Catalog, removedItemStaysRemoved) {
  Catalog catalog;
  cr_assert(catalog.apply(initialChange(), LogIndex(1)).ok());
  Change removal;
  removal.RemovedRoutes = {{"r", ItemVersion(9)}};
  cr_assert(catalog.apply(removal, LogIndex(2)).ok());
  cr_assert(catalog.apply(initialChange(), LogIndex(3)).ok());
  cr_assert_not(catalog.routes().at("r").Value.has_value());
}

/// Guards against two contents under one version, which could differ between VMs.
Test(Catalog, differentContentUnderStoredVersionIsRefused) {
  Catalog catalog;
  cr_assert(catalog.apply(initialChange(), LogIndex(1)).ok());
  Change other;
  other.Routes = {route("r", "/r/", 7, "b")};
  cr_assert(absl::IsAlreadyExists(catalog.apply(other, LogIndex(2))));
  cr_assert_eq(catalog.routes().at("r").Value->Services[0].Service, "a");
}

/// Guards against a partially applied invalid change.
Test(Catalog, invalidChangeHasNoEffect) {
  Catalog catalog;
  cr_assert(catalog.apply(initialChange(), LogIndex(1)).ok());
  std::vector<Change> invalid(4);
  invalid[0].Routes = {route("s", "/s/", 8), route("t", "/t/", 8, "unknown")};
  invalid[1].Routes = {route("s", "/s/", 8), route("t", "/r/", 8)};
  invalid[2].Customers = {customer("d", {"k2"}, 8), customer("e", {"k1"}, 8)};
  invalid[3].Routes = {route("s", "/s/", 8)};
  invalid[3].RemovedServices = {{"a", ItemVersion(8)}};
  for (const Change &it : invalid) {
    cr_assert(absl::IsInvalidArgument(catalog.apply(it, LogIndex(2))));
    cr_assert_eq(catalog.changedAt().Value, 1);
    cr_assert_eq(catalog.routes().count("s"), 0);
    cr_assert_eq(catalog.customers().count("d"), 0);
  }
}

/// Guards against a copy that misses a change when deltas are lost, repeated or reordered.
Test(Catalog, copiesConvergeByDeltasInAnyOrder) {
  testing::checkProperty("a copy equals the original after the last delta", [] {
    Catalog original;
    cr_assert(original.apply(initialChange(), LogIndex(1)).ok());
    Catalog copy;
    std::vector<Json> delayed;
    int steps = *rc::gen::inRange(1, 30);
    for (int i = 2; i < steps + 2; ++i) {
      Change change;
      uint64_t version = *rc::gen::inRange(8, 40);
      int which = *rc::gen::inRange(0, 3);
      if (which == 0)
        change.Routes = {route("r", "/r/", version, version % 2 == 0 ? "a" : "b")};
      else if (which == 1)
        change.RemovedRoutes = {{"r", ItemVersion(version)}};
      else
        change.Customers = {customer("c", {"k" + std::to_string(version)}, version)};
      (void)original.apply(change, LogIndex(i));
      Json delta = original.deltaSince(copy.changedAt());
      if (*rc::gen::inRange(0, 3) == 0)
        delayed.push_back(delta);
      else
        RC_ASSERT(copy.applyDelta(delta).ok());
      if (!delayed.empty() && *rc::gen::inRange(0, 2) == 0)
        RC_ASSERT(copy.applyDelta(delayed.front()).ok());
    }
    RC_ASSERT(copy.applyDelta(original.deltaSince(copy.changedAt())).ok());
    RC_ASSERT(copy.deltaSince(LogIndex()) == original.deltaSince(LogIndex()));
  });
}

/// Guards against a copy that applies a change after a missed one and then appears complete.
Test(Catalog, deltaAfterAMissedOneIsRefused) {
  Catalog original;
  cr_assert(original.apply(initialChange(), LogIndex(1)).ok());
  Catalog copy;
  cr_assert(copy.applyDelta(original.deltaSince(LogIndex())).ok());
  Change missed;
  missed.Customers = {customer("c", {"k8"}, 8)};
  cr_assert(original.apply(missed, LogIndex(2)).ok());
  Change later;
  later.Customers = {customer("d", {"k9"}, 8)};
  cr_assert(original.apply(later, LogIndex(3)).ok());
  cr_assert(absl::IsFailedPrecondition(copy.applyDelta(original.deltaSince(LogIndex(2)))));
  cr_assert_eq(copy.changedAt(), LogIndex(1));
  cr_assert(copy.applyDelta(original.deltaSince(LogIndex(1))).ok());
  cr_assert_eq(copy.changedAt(), LogIndex(3));
}

/// Guards against a repeated start command that restarts a running rollout, and against a step of
/// an earlier rollout that ends a later one.
Test(Catalog, stepsOfAReplacedRolloutAreIgnored) {
  Catalog catalog;
  cr_assert(catalog.apply(initialChange(), LogIndex(1)).ok());
  cr_assert(catalog.startRollout("a", "v1", "v2", Duration{9000}, LogIndex(2)).ok());
  catalog.stepRollout("a", LogIndex(2), RolloutState::Running, 70, Duration{100}, LogIndex(3));
  cr_assert(catalog.startRollout("a", "v1", "v2", Duration{9000}, LogIndex(4)).ok());
  cr_assert_eq(catalog.rollouts().at("a").SharePermille, 70);
  cr_assert(catalog.startRollout("a", "v1", "v3", Duration{9000}, LogIndex(5)).ok());
  catalog.stepRollout("a", LogIndex(2), RolloutState::Completed, 1000, Duration{1}, LogIndex(6));
  cr_assert(catalog.rollouts().at("a").State == RolloutState::Running);
  cr_assert(
      absl::IsInvalidArgument(catalog.startRollout("unknown", "", "v2", Duration{1}, LogIndex(7))));
}
