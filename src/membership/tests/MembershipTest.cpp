#include "core/testing/Property.h"
#include "membership/MembershipView.h"

#include <vector>

using namespace briarspar::core;
using namespace briarspar::membership;

namespace {

const VmId Vm("vm");

Heartbeat beat(uint64_t inc, uint64_t sequence, uint64_t lastAnswered) {
  return {Vm, Incarnation(inc), sequence, lastAnswered, false};
}

std::vector<PlatformEntry> listed(bool leaving = false) { return {{Vm, leaving}}; }

} // namespace

/// Guards against a wrong, lagging or stopped list that declares a VM dead while its lease may be
/// valid, for any order of list changes, heartbeats and restarts.
Test(Membership, listAloneNeverKills) {
  testing::checkProperty("no death within a lease", [](const std::vector<uint8_t> &inputs) {
    MembershipView view;
    Time now{1000};
    Time heard = now;
    uint64_t sequence = 0;
    uint64_t inc = 1;
    view.heartbeat(beat(inc, ++sequence, 0), now);
    for (uint8_t input : inputs) {
      now = now + Duration{input * 4};
      switch (input % 5) {
      case 0:
        view.updatePlatformList({}, now);
        break;
      case 1:
        view.updatePlatformList(listed(input % 2 == 0), now);
        break;
      case 2:
        ++sequence;
        heard = now;
        view.heartbeat(beat(inc, sequence, sequence - 1), now);
        break;
      case 3:
        sequence = 1;
        heard = now;
        view.heartbeat(beat(++inc, sequence, 0), now);
        break;
      default:
        view.tick(now);
      }
      bool leaseMayBeValid = now - heard <= Duration{3000};
      if (leaseMayBeValid)
        RC_ASSERT(view.stateOf(Vm, now) != VmState::Dead);
      if (now - heard >= Duration{15'000})
        RC_ASSERT(view.stateOf(Vm, now) == VmState::Dead);
    }
  });
}

/// Guards against a state that does not follow heartbeats, silence and the list.
Test(Membership, statesFollowHeartbeatsAndList) {
  MembershipView view;
  cr_assert(view.stateOf(Vm, Time{0}) == VmState::Dead);
  view.updatePlatformList(listed(), Time{0});
  cr_assert(view.stateOf(Vm, Time{0}) == VmState::Joining);
  view.heartbeat(beat(1, 1, 0), Time{100});
  cr_assert(view.stateOf(Vm, Time{100}) == VmState::Joining);
  view.heartbeat(beat(1, 2, 1), Time{600});
  cr_assert(view.stateOf(Vm, Time{600}) == VmState::Live);
  view.updatePlatformList(listed(true), Time{700});
  cr_assert(view.stateOf(Vm, Time{700}) == VmState::Leaving);
  view.updatePlatformList(listed(), Time{800});
  cr_assert(view.stateOf(Vm, Time{2349}) == VmState::Live);
  cr_assert(view.stateOf(Vm, Time{2350}) == VmState::Suspect);
  cr_assert(view.stateOf(Vm, Time{3700}) == VmState::Suspect, "the list still names the VM");
  view.updatePlatformList({}, Time{3700});
  cr_assert(view.stateOf(Vm, Time{3700}) == VmState::Dead);
  view.heartbeat(beat(1, 3, 2), Time{4000});
  cr_assert(view.stateOf(Vm, Time{4000}) == VmState::Live, "a silent VM returns");
}

/// Guards against information of an older incarnation that overrides a newer one, and a restart
/// that leaves no trace in the events.
Test(Membership, newerIncarnationOverridesOlder) {
  MembershipView view;
  view.heartbeat(beat(1, 1, 0), Time{0});
  view.heartbeat(beat(1, 2, 1), Time{500});
  view.updatePlatformList(listed(true), Time{500});
  view.tick(Time{500});
  view.heartbeat(beat(2, 1, 0), Time{600});
  view.heartbeat(beat(2, 2, 1), Time{1100});
  view.tick(Time{1100});
  Heartbeat older = beat(1, 3, 2);
  older.Draining = true;
  view.heartbeat(older, Time{1200});
  cr_assert(view.incarnationOf(Vm) == Incarnation(2));
  cr_assert(view.stateOf(Vm, Time{1200}) == VmState::Live, "the leaving mark was for the older");
  auto events = view.takeEvents();
  cr_assert_eq(events.size(), 3);
  cr_assert(events[1].Inc == Incarnation(1) && events[1].To == VmState::Dead);
  cr_assert(events[2].Inc == Incarnation(2) && events[2].To == VmState::Live);
}

/// Guards against a silent one-way cut: renewals arrive, but no answer reaches the VM. Duplicates
/// and the first renewals at a new leader must not look like one.
Test(Membership, oneWayCutIsDetectedFromSequences) {
  MembershipView view;
  for (uint64_t n = 1; n <= 10; ++n) {
    for (int64_t copy = 0; copy < 5; ++copy)
      view.heartbeat(beat(1, n, n - 1), Time{static_cast<int64_t>(n) * 500 + copy});
  }
  cr_assert(view.stateOf(Vm, Time{5100}) == VmState::Live);
  for (uint64_t n = 11; n <= 14; ++n)
    view.heartbeat(beat(1, n, 9), Time{static_cast<int64_t>(n) * 500});
  cr_assert(view.answersLost(Vm));
  cr_assert(view.stateOf(Vm, Time{7000}) == VmState::Suspect);
  view.heartbeat(beat(1, 15, 14), Time{7500});
  cr_assert(view.stateOf(Vm, Time{7500}) == VmState::Live);

  MembershipView next;
  next.heartbeat(beat(1, 30, 15), Time{0});
  cr_assert(next.stateOf(Vm, Time{0}) == VmState::Live);
}

/// Guards against event memory that grows without bound while nobody reads it, and against a new
/// leader that takes VMs for dead because it has not heard them yet.
Test(Membership, eventsAreBoundedAndTakeoverWaits) {
  MembershipSettings settings;
  settings.MaxEvents = 4;
  MembershipView view(settings);
  for (int64_t n = 0; n < 10; ++n) {
    view.heartbeat(Vm, Incarnation(1), Time{n * 4000});
    view.tick(Time{n * 4000});
    view.tick(Time{n * 4000 + 2000});
  }
  cr_assert_eq(view.droppedEvents(), 16);
  cr_assert_eq(view.takeEvents().size(), 4);
  view.updatePlatformList({}, Time{100'000});
  view.becomeLeader(Time{100'000});
  cr_assert(view.stateOf(Vm, Time{103'000}) != VmState::Dead);
  cr_assert(view.stateOf(Vm, Time{103'031}) == VmState::Dead);
}
