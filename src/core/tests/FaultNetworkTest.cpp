#include "core/testing/FaultNetwork.h"
#include "core/testing/Property.h"

#include <vector>

using namespace briarspar::core;
using testing::FaultNetwork;
using testing::FaultSettings;

namespace {

std::vector<int> run(uint64_t seed) {
  FaultSettings settings;
  settings.LossPermille = 200;
  settings.DuplicatePermille = 200;
  FaultNetwork<int> network(seed, settings);
  for (int n = 0; n < 100; ++n)
    network.send(0, 1, n, Time{n});
  std::vector<int> received;
  while (auto delivery = network.receive(Time{1000}))
    received.push_back(delivery->Body);
  return received;
}

} // namespace

/// A failing seed must be reproducible: the same seed must give the same faults in every run.
Test(FaultNetwork, sameSeedGivesSameDeliveries) {
  cr_assert(run(7) == run(7));
  cr_assert(run(7) != run(8));
}

/// A cut link must drop messages in one direction, including those already in flight.
Test(FaultNetwork, cutDropsMessagesInFlight) {
  FaultNetwork<int> network(1, {});
  network.send(0, 1, 1, Time{0});
  network.cut(0, 1);
  network.send(0, 1, 2, Time{0});
  network.send(1, 0, 3, Time{0});
  auto delivery = network.receive(Time{100});
  cr_assert(delivery.has_value());
  cr_assert_eq(delivery->Body, 3);
  cr_assert_not(network.receive(Time{100}).has_value());
}
