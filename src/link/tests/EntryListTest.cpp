#include "link/EntryList.h"
#include "core/testing/Property.h"

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::link;

namespace {

std::vector<EntryLocation> subset(uint32_t bits) {
  std::vector<EntryLocation> out;
  for (int n = 0; n < 32; ++n)
    if ((bits >> n & 1) != 0)
      out.push_back({VmId("10.0.0." + std::to_string(n)), RegionId("r"),
                     DomainId("z" + std::to_string(n % 3))});
  std::sort(out.begin(), out.end(), [](const auto &a, const auto &b) { return a.Vm < b.Vm; });
  return out;
}

std::vector<EntryLocation> fleet(size_t vms) {
  std::vector<EntryLocation> out;
  for (size_t n = 0; n < vms; ++n)
    out.push_back(
        {VmId("10.0." + std::to_string(100 + n / 100) + "." + std::to_string(100 + n % 100)),
         RegionId("region"), DomainId("domain")});
  return out;
}

size_t encodedSize(const EntryChange &change) {
  ControlResponse response;
  response.Entries = change;
  return encode(response).size() - encode(ControlResponse()).size();
}

} // namespace

/// Guards against a VM whose list differs from the leader's after lost or repeated changes.
Test(EntryList, copyConvergesDespiteLostChanges) {
  testing::checkProperty("the copy equals the list after the next change that arrives", [] {
    EntryList leader;
    EntryList copy;
    uint32_t bits = *rc::gen::arbitrary<uint32_t>();
    std::vector<EntryChange> delayed;
    for (int step = 0; step < 60; ++step) {
      bits ^= *rc::gen::arbitrary<uint32_t>() & *rc::gen::arbitrary<uint32_t>();
      bits |= 1; // An empty list is never sent: a VM that reports is in it.
      leader.update(subset(bits));
      EntryChange change = leader.since(copy.digest());
      if (*rc::gen::inRange(0, 4) == 0)
        delayed.push_back(change);
      else if (*rc::gen::inRange(0, 4) != 0)
        RC_ASSERT(copy.apply(change));
      if (!delayed.empty() && *rc::gen::inRange(0, 4) == 0)
        copy.apply(delayed[*rc::gen::inRange<size_t>(0, delayed.size())]);
    }
    RC_ASSERT(copy.apply(leader.since(copy.digest())));
    RC_ASSERT(copy.digest() == leader.digest());
    RC_ASSERT(copy.entries().size() == leader.entries().size());
  });
}

/// Guards against sending the whole list to each VM while the VMs of a large fleet restart in turn.
Test(EntryList, restartsInTurnCostLittle) {
  constexpr size_t Vms = 300;
  EntryList leader;
  leader.update(fleet(Vms));
  uint64_t held = leader.digest();
  const size_t whole = encodedSize(leader.since(0));
  for (size_t n = 0; n < Vms; ++n) {
    std::vector<EntryLocation> entries = fleet(Vms);
    entries.erase(entries.begin() + static_cast<long>(n));
    leader.update(entries);
    cr_assert_leq(encodedSize(leader.since(held)), whole / 50);
    held = leader.digest();
  }
  cr_assert_eq(encodedSize(leader.since(held)), 0);
}
