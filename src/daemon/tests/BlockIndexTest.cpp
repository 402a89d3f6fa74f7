#include "daemon/BlockIndex.h"
#include "config/ConfigReplica.h"
#include "core/testing/Property.h"
#include "daemon/ServingState.h"

using namespace briarspar;
using namespace briarspar::daemon;

namespace {

/// A configuration store with a VM in each of three regions.
struct Source {
  Source() {
    for (const char *region : {"r1", "r2", "r3"})
      apply(config::PutVm{core::VmId(std::string("vm-") + region), "127.0.0.1:1000",
                          "127.0.0.1:2000", core::RegionId(region),
                          core::DomainId(std::string(region) + "-d1")});
  }

  config::Outcome apply(config::Change change) {
    config::Command command;
    command.Id = "c" + std::to_string(++Commands);
    command.Operator = "test";
    command.RequestedChange = std::move(change);
    return Store.apply(command);
  }

  config::ConfigStore Store;
  uint64_t Commands = 0;
};

std::string anyBlock() {
  auto length = *rc::gen::element<uint32_t>(0, 8, 15, 16, 17, 24, 32);
  uint32_t address = *rc::gen::element<uint32_t>(0, 1, 2, 3);
  std::string text = "0.0.0.0/0";
  if (length >= 8)
    text = std::to_string(address) + ".0.0.0/" + std::to_string(length);
  if (length >= 16)
    text = "1." + std::to_string(address) + ".0.0/" + std::to_string(length);
  return text;
}

} // namespace

/// Guards against an incrementally updated table that differs from a rebuilt one after lost,
/// repeated and overlapping deltas, removed blocks and a new region.
Test(BlockIndex, deltasEqualRebuild) {
  core::testing::checkProperty("apply(deltas) equals rebuild()", [] {
    Source source;
    BlockIndex index(core::RegionId("r2"));
    index.rebuild(source.Store.records(), source.Store.version());
    core::ConfigVersion known = source.Store.version();
    std::optional<config::Delta> stale;
    auto steps = *rc::gen::inRange(1, 30);
    for (int n = 0; n < steps; ++n) {
      config::BlockId block(anyBlock());
      if (*rc::gen::inRange(0, 3) == 0)
        source.apply(config::DeleteBlocks{{block}});
      else
        source.apply(
            config::SetBlocks{{block}, core::RegionId(*rc::gen::element<std::string>("r1", "r3"))});
      if (*rc::gen::inRange(0, 20) == 0)
        source.apply(config::PutVm{core::VmId("vm-r0"), "127.0.0.1:1000", "127.0.0.1:2000",
                                   core::RegionId("r0"), core::DomainId("r0-d1")});
      if (*rc::gen::inRange(0, 2) == 0)
        continue;
      auto back = *rc::gen::inRange<uint64_t>(0, 3);
      core::ConfigVersion from(known.Value - std::min(back, known.Value - 1));
      index.apply(*source.Store.deltaSince(from), source.Store.records());
      if (stale)
        index.apply(*stale, source.Store.records());
      stale = source.Store.deltaSince(from);
      known = source.Store.version();
    }
    index.apply(*source.Store.deltaSince(known), source.Store.records());
    BlockIndex fresh(core::RegionId("r2"));
    fresh.rebuild(source.Store.records(), source.Store.version());
    RC_ASSERT(index.table()->size() == fresh.table()->size());
    for (uint32_t high = 0; high < 4; ++high)
      for (uint32_t low = 0; low < 4; ++low) {
        uint32_t address = high << 24 | low << 16 | (*rc::gen::inRange<uint32_t>(0, 2) << 9);
        RC_ASSERT(index.table()->find(address) == fresh.table()->find(address));
      }
  });
}

/// Guards against a lookup that returns the region of the VM asked instead of that of the caller's
/// block.
Test(BlockIndex, lookupsReturnRegionOfBlock) {
  Source source;
  cr_assert_eq(
      source.apply(config::SetBlocks{{config::BlockId("10.1.0.0/16")}, core::RegionId("r3")})
          .Status,
      config::Outcome::Accepted);
  config::ConfigReplica replica;
  cr_assert(replica.receiveFullState(source.Store.fullState()).ok());
  BlockIndex index(core::RegionId("r1"));
  index.rebuild(replica.records(), replica.version());
  ServingContext context;
  context.OwnRegion = core::RegionId("r1");
  context.Blocks = index.table();
  auto state = buildServingState(replica, context);
  cr_assert(state->Lookups->answer(0x0A010203, core::Time{0}).Vms[0] == core::VmId("vm-r3"));
  cr_assert(state->Lookups->answer(0x0A020203, core::Time{0}).Vms[0] == core::VmId("vm-r1"));
}
