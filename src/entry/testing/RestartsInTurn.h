#pragma once

#include "entry/testing/RateFleet.h"

#include <cstddef>
#include <cstdint>

namespace briarspar::entry::testing {

/// Requests of a customer within its rate while VMs restart in turn.
struct RestartsInTurn {
  size_t Asked = 0;
  size_t Admitted = 0;
  double WorstWindow = 0; ///< As RateFleet::worstWindow().
};

/// Restarts 72 VMs in turn: each second two stop, and two that stopped 2 s before start; both still
/// have callers. The customer is at 44% of its rate, with requests at random VMs.
inline RestartsInTurn playRestartsInTurn(double rate, uint64_t seed) {
  constexpr size_t Vms = 72;
  RateFleet fleet(Vms, rate);
  auto random = [&seed] {
    seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
    return seed >> 33;
  };
  for (int i = 0; i < 40; ++i)
    fleet.step(0, 0, 0, random);
  const size_t before = fleet.admitted();
  RestartsInTurn out;
  for (size_t i = 0; i < 300; ++i) {
    const size_t second = i / 10;
    // One VM of each failure domain after the other.
    auto stopsAt = [](size_t vm) { return (vm % 8 * (Vms / 8) + vm / 8) / 2; };
    if (i % 10 == 0)
      fleet.setListed([&](size_t vm) { return second < stopsAt(vm) || second >= stopsAt(vm) + 3; });
    for (size_t vm = 0; vm < Vms; ++vm)
      if (i % 10 == 0 && second == stopsAt(vm) + 2)
        fleet.restart(vm);
    const size_t requests = random() % 4 * static_cast<size_t>(rate / 17) * 2 / 3;
    for (size_t k = 0; k < requests; ++k) {
      size_t vm = random() % Vms;
      while (!fleet.isServing(vm))
        vm = random() % Vms;
      fleet.request(vm, random);
    }
    out.Asked += requests;
    fleet.step(0, 0, 0, random);
  }
  out.Admitted = fleet.admitted() - before;
  out.WorstWindow = fleet.worstWindow();
  return out;
}

} // namespace briarspar::entry::testing
