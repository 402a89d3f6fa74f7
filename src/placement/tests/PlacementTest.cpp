#include "core/testing/Property.h"
#include "placement/AffinityGrouper.h"
#include "placement/BlockTable.h"
#include "placement/LookupPolicy.h"

#include <algorithm>
#include <map>
#include <set>

using namespace briarspar::core;
using namespace briarspar::placement;

namespace {

/// Draws short and long blocks of small address ranges, so that they nest and collide.
Prefix drawPrefix() {
  auto length = *rc::gen::element<int>(0, 4, 8, 12, 15, 16, 17, 20, 24, 31, 32);
  auto address = *rc::gen::element<uint32_t>(0x0A000000, 0x0A010000, 0x0A01FF00, 0xFFFF0000) +
                 *rc::gen::inRange<uint32_t>(0, 1U << 16);
  return Prefix::of(address, static_cast<uint8_t>(length));
}

std::vector<BlockChange> drawChanges() {
  std::vector<BlockChange> changes(*rc::gen::inRange<size_t>(0, 30));
  for (BlockChange &change : changes)
    change = {drawPrefix(), {*rc::gen::element<uint16_t>(0, 1, 2, SiteId::NoSite)}};
  return changes;
}

using Model = std::map<Prefix, SiteId>;

void applyTo(Model &model, const std::vector<BlockChange> &changes) {
  for (const BlockChange &change : changes)
    if (change.Site.valid())
      model[change.Block] = change.Site;
    else
      model.erase(change.Block);
}

SiteId findIn(const Model &model, uint32_t address) {
  SiteId site;
  int longest = -1;
  for (const auto &[block, value] : model)
    if (block.contains(address) && block.Length > longest) {
      longest = block.Length;
      site = value;
    }
  return site;
}

std::vector<Site> threeSites() {
  std::vector<Site> sites(3);
  for (uint16_t n = 0; n < 3; ++n) {
    sites[n].Id = {n};
    for (int vm = 0; vm < 5; ++vm)
      sites[n].Vms.push_back(
          {VmId("vm" + std::to_string(n) + "-" + std::to_string(vm)), true, false, std::nullopt});
  }
  return sites;
}

std::shared_ptr<const BlockTable> allAtSiteZero() {
  return BlockTable::empty()->with({BlockChange{Prefix::of(0, 0), {0}}});
}

uint32_t drawAddress() { return *rc::gen::arbitrary<uint32_t>(); }

} // namespace

/// Guards against wrong nesting, lost or undeleted blocks, and changes visible in old versions.
Test(BlockTable, matchesModelAfterChanges) {
  testing::checkProperty("find matches the longest prefix of a reference map", [] {
    auto table = BlockTable::empty();
    Model model;
    for (int round = 0; round < 4; ++round) {
      auto old = table;
      Model oldModel = model;
      auto changes = drawChanges();
      table = table->with(changes);
      applyTo(model, changes);
      RC_ASSERT(table->size() == model.size());
      for (const auto &[block, site] : model)
        RC_ASSERT(table->siteOf(block) == site);
      for (int n = 0; n < 50; ++n) {
        uint32_t address = drawPrefix().Address + *rc::gen::inRange<uint32_t>(0, 300);
        RC_ASSERT(table->find(address) == findIn(model, address));
        RC_ASSERT(old->find(address) == findIn(oldModel, address));
      }
    }
  });
}

/// Guards against malformed prefixes that are parsed as another block.
Test(BlockTable, malformedPrefixesAreRejected) {
  cr_assert(Prefix::parse("10.1.0.0/16").value() == Prefix::of(0x0A010000, 16));
  for (const char *text :
       {"10.1.0.0", "10.1.0.0/33", "10.1.0.1/16", "256.0.0.0/8", "10.1.0/16", ""})
    cr_assert(absl::IsInvalidArgument(Prefix::parse(text).status()), "%s", text);
}

/// Guards against answers with a dead or draining VM, and against a VM failure that moves the
/// callers of other VMs.
Test(LookupPolicy, lossOfVmMovesOnlyItsCallers) {
  testing::checkProperty("first choice changes only for callers of the lost VM", [] {
    auto sites = threeSites();
    LookupPolicy before(allAtSiteZero(), sites);
    EntryVm &lost = sites[0].Vms[*rc::gen::inRange<size_t>(0, 5)];
    (*rc::gen::arbitrary<bool>() ? lost.Live : lost.Draining) ^= true;
    LookupPolicy after(allAtSiteZero(), sites);
    for (int n = 0; n < 50; ++n) {
      uint32_t address = drawAddress();
      LookupResponse was = before.answer(address, Time{});
      LookupResponse is = after.answer(address, Time{});
      RC_ASSERT(is.Vms.size() == 3U);
      RC_ASSERT(std::count(is.Vms.begin(), is.Vms.end(), lost.Id) == 0);
      RC_ASSERT(is.Vms[0] == (was.Vms[0] == lost.Id ? was.Vms[1] : was.Vms[0]));
    }
  });
}

/// Guards against a share change that moves more callers than the shift budget was charged for.
Test(LookupPolicy, raisedShareMovesOnlyTheAddedCallers) {
  testing::checkProperty("callers move only from home to destination, in the expected number", [] {
    LookupPolicy policy(allAtSiteZero(), threeSites());
    auto low = *rc::gen::inRange<BasisPoints>(0, 5000);
    auto high = *rc::gen::inRange<BasisPoints>(low, 9000);
    LookupPolicy before = policy.withShare({0}, {1}, low).value();
    LookupPolicy after = before.withShare({0}, {1}, high).value();
    int moved = 0;
    constexpr int Callers = 4000;
    for (uint32_t n = 0; n < Callers; ++n) {
      SiteId was = before.answer(n << 8, Time{}).Site;
      SiteId is = after.answer(n << 8, Time{}).Site;
      RC_ASSERT(is == was || (was == SiteId{0} && is == SiteId{1}));
      moved += is != was;
    }
    double expected = (high - low) / 10000.0 * Callers;
    RC_ASSERT(std::abs(moved - expected) < 5 * std::sqrt(Callers * 0.25) + 1);
    RC_ASSERT(absl::IsInvalidArgument(after.withShare({0}, {2}, 10001 - high).status()));
  });
}

/// Guards against callers that still use a VM when its announced drain starts, and against TTLs too
/// long for the window of a cap.
Test(LookupPolicy, ttlEndsBeforeADrainAndWithinTheCapWindow) {
  auto sites = threeSites();
  sites[0].CapWindow = Duration{8000};
  for (EntryVm &vm : sites[0].Vms)
    vm.DrainAt = Time{10'000};
  LookupPolicy policy(allAtSiteZero(), sites);
  cr_assert_eq(policy.answer(1, Time{0}).Ttl.Ms, 4000);
  cr_assert_eq(policy.answer(1, Time{7000}).Ttl.Ms, 3000);
  cr_assert(policy.answer(1, Time{9500}).Vms.empty());
}

/// Guards against a caller in no block that gets no site, or a site without VMs.
Test(LookupPolicy, callerOutsideAllBlocksGetsUsableSite) {
  auto sites = threeSites();
  sites[1].Vms.clear();
  LookupPolicy policy(BlockTable::empty(), sites);
  std::set<uint16_t> used;
  for (uint32_t n = 0; n < 1000; ++n)
    used.insert(policy.answer(n << 8, Time{}).Site.Value);
  cr_assert(used == std::set<uint16_t>({0, 2}));
}

/// Guards against an overloaded site and against blocks left without a site.
Test(AffinityGrouper, keepsTheImbalanceBound) {
  testing::checkProperty("no site exceeds the bound and every block has a site", [] {
    auto sites = *rc::gen::inRange<uint16_t>(1, 12);
    AffinityGrouper grouper({sites, 0.1});
    std::vector<NewBlock> blocks(*rc::gen::inRange<size_t>(1, 200));
    for (NewBlock &block : blocks)
      block.Targets = {*rc::gen::inRange<uint32_t>(0, 3)};
    bool grouped = *rc::gen::arbitrary<bool>();
    auto placed = grouped ? grouper.placeAll(blocks) : std::vector<SiteId>();
    for (size_t n = 0; !grouped && n < blocks.size(); ++n)
      placed.push_back(grouper.place(blocks[n]));
    for (SiteId site : placed)
      RC_ASSERT(site.Value < sites);
    double bound = std::ceil(1.1 * static_cast<double>(blocks.size()) / sites) + 1;
    for (uint64_t size : grouper.sizes())
      RC_ASSERT(static_cast<double>(size) <= bound);
  });
}

/// Guards against an assignment that ignores affinity: a block must join the site of its targets.
Test(AffinityGrouper, blockJoinsTheSiteOfItsTargets) {
  AffinityGrouper grouper({4, 0.5});
  for (uint16_t site = 0; site < 4; ++site)
    for (int n = 0; n < 10; ++n)
      grouper.add({{}, {uint32_t{site} * 2, uint32_t{site} * 2 + 1}}, {site});
  cr_assert(grouper.place({{}, {5, 7}}) == SiteId{2} || grouper.sizes()[3] == 11);
  cr_assert(grouper.place({{}, {2, 3}}) == SiteId{1});
}
