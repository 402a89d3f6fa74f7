// Measures the block table at the scale of the design document and the block grouping policies.
// Exits with 1 if the table misses a bound of that document.
#include "placement/AffinityGrouper.h"
#include "placement/BlockTable.h"
#include "placement/LookupPolicy.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <malloc.h>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace briarspar;
using namespace briarspar::placement;

namespace {

constexpr size_t Blocks = 1'800'000;
constexpr uint16_t Sites = 320;
constexpr size_t DeltaSize = 1'000;
constexpr size_t Lookups = 4'000'000;
constexpr uint16_t GroupSites = 40;
constexpr size_t BlockCount = 20'000; // Blocks that each grouping policy places.
constexpr size_t BatchSize = 1'000;   // Blocks that are placed together.
constexpr uint32_t Communities = 200;
constexpr uint32_t PerCommunity = 6; // Targets of one community.
constexpr uint32_t PerBlock = 3;     // Targets that the callers of one block use.
// Similar to routing tables: mostly /24, some longer and some shorter.
constexpr std::array<uint8_t, 12> BlockLengths{24, 24, 24, 24, 24, 24, 23, 22, 20, 26, 28, 32};
constexpr double MaxMegabytes = 32;
constexpr double MinLookupsPerSecond = 2e6;
constexpr double MaxDeltaMs = 10;

double toSeconds(const std::chrono::steady_clock::duration &d) {
  return std::chrono::duration<double>(d).count();
}

template <class Work> double measureSeconds(Work &&work) {
  auto start = std::chrono::steady_clock::now();
  work();
  return toSeconds(std::chrono::steady_clock::now() - start);
}

double median(std::vector<double> values) {
  std::nth_element(values.begin(), values.begin() + values.size() / 2, values.end());
  return values[values.size() / 2];
}

size_t heapBytes() {
  struct mallinfo2 info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

Prefix drawBlock(pcg32 &rng) {
  return Prefix::of(rng(), BlockLengths[rng(static_cast<uint32_t>(BlockLengths.size()))]);
}

std::vector<BlockChange> drawChanges(pcg32 &rng, size_t count) {
  std::set<Prefix> blocks;
  while (blocks.size() < count)
    blocks.insert(drawBlock(rng));
  std::vector<BlockChange> changes;
  changes.reserve(count);
  for (const Prefix &block : blocks)
    changes.push_back({block, {static_cast<uint16_t>(rng(Sites))}});
  return changes;
}

std::vector<Site> makeSites() {
  std::vector<Site> sites(Sites);
  for (uint16_t n = 0; n < Sites; ++n) {
    sites[n].Id = {n};
    for (int vm = 0; vm < 6; ++vm)
      sites[n].Vms.push_back(
          {core::VmId("vm-" + std::to_string(n) + "-" + std::to_string(vm)), true, false, {}});
  }
  return sites;
}

nlohmann::json measureTable(uint64_t seed, int runs) {
  pcg32 rng(seed);
  std::vector<BlockChange> all = drawChanges(rng, Blocks);
  std::vector<uint32_t> addresses(Lookups);
  for (uint32_t &address : addresses)
    address = all[rng(static_cast<uint32_t>(all.size()))].Block.Address + rng(256);
  size_t before = heapBytes();
  auto table = BlockTable::empty()->with(all);
  size_t heap = heapBytes() - before;

  std::vector<double> finds, answers, deltas, localDeltas;
  LookupPolicy policy(table, makeSites());
  uint64_t sum = 0;
  for (int run = 0; run < runs; ++run) {
    finds.push_back(Lookups / measureSeconds([&] {
                      for (uint32_t address : addresses)
                        sum += table->find(address).Value;
                    }));
    answers.push_back(Lookups / measureSeconds([&] {
                        for (uint32_t address : addresses)
                          sum += policy.answer(address, {}).Vms.size();
                      }));
    auto delta = drawChanges(rng, DeltaSize);
    deltas.push_back(1e3 * measureSeconds([&] { sum += table->with(delta)->size(); }));
    size_t first = rng(static_cast<uint32_t>(all.size() - DeltaSize));
    std::vector<BlockChange> local(all.begin() + first, all.begin() + first + DeltaSize);
    localDeltas.push_back(1e3 * measureSeconds([&] { sum += table->with(local)->size(); }));
  }
  return {{"blocks", table->size()},
          {"sites", Sites},
          {"heap_mb", static_cast<double>(heap) / 1e6},
          {"reported_mb", static_cast<double>(table->memoryBytes()) / 1e6},
          {"find_per_s", median(finds)},
          {"answer_per_s", median(answers)},
          {"delta_1000_scattered_ms", median(deltas)},
          {"delta_1000_adjacent_ms", median(localDeltas)},
          {"delta_1000_worst_ms", *std::max_element(deltas.begin(), deltas.end())},
          {"checksum", sum}};
}

// Generated blocks and the targets that their callers use. Each block belongs to a community with
// its own targets; with probability `noise`, a use goes to a random target instead.
struct Arrivals {
  std::vector<NewBlock> Blocks;
  uint32_t Targets = 0;
};

Arrivals drawArrivals(pcg32 &rng, size_t count, double noise) {
  Arrivals arrivals;
  arrivals.Targets = Communities * PerCommunity;
  std::uniform_real_distribution<double> chance;
  for (size_t n = 0; n < count; ++n) {
    std::set<uint32_t> targets;
    uint32_t community = rng(Communities);
    while (targets.size() < PerBlock)
      targets.insert(chance(rng) < noise ? rng(arrivals.Targets)
                                         : community * PerCommunity + rng(PerCommunity));
    arrivals.Blocks.push_back({Prefix::of(rng(), 24), {targets.begin(), targets.end()}});
  }
  return arrivals;
}

// Returns the mean number of sites whose callers use a target. Fewer is better: each pair of site
// and target needs its own connections and cache entries.
double sitesPerTarget(const Arrivals &arrivals, const std::vector<SiteId> &placed) {
  std::vector<std::set<uint16_t>> sites(arrivals.Targets);
  for (size_t n = 0; n < placed.size(); ++n)
    for (uint32_t target : arrivals.Blocks[n].Targets)
      sites[target].insert(placed[n].Value);
  size_t sum = 0;
  for (const auto &set : sites)
    sum += set.size();
  return static_cast<double>(sum) / arrivals.Targets;
}

double imbalance(const std::vector<SiteId> &placed, uint16_t sites) {
  std::vector<double> sizes(sites);
  for (SiteId site : placed)
    ++sizes[site.Value];
  return *std::max_element(sizes.begin(), sizes.end()) * sites / static_cast<double>(placed.size());
}

nlohmann::json measureGrouping(uint64_t seed, double noise) {
  pcg32 rng(seed);
  Arrivals arrivals = drawArrivals(rng, BlockCount, noise);
  nlohmann::json rows = nlohmann::json::array();
  auto report = [&](const char *name, auto &&place) {
    std::vector<SiteId> placed;
    double seconds = measureSeconds([&] { place(placed); });
    rows.push_back({{"policy", name},
                    {"noise", noise},
                    {"sites_per_target", sitesPerTarget(arrivals, placed)},
                    {"max_over_mean", imbalance(placed, GroupSites)},
                    {"us_per_block", 1e6 * seconds / BlockCount}});
  };
  report("hash", [&](auto &placed) {
    for (const NewBlock &block : arrivals.Blocks)
      placed.push_back(
          SiteId{static_cast<uint16_t>((block.Block.Address * 2654435761ULL >> 16) % GroupSites)});
  });
  report("least_filled", [&](auto &placed) {
    AffinityGrouper grouper({GroupSites, 0.05});
    for (size_t n = 0; n < BlockCount; ++n)
      placed.push_back(grouper.place({arrivals.Blocks[n].Block, {}}));
  });
  report("dynpart", [&](auto &placed) {
    AffinityGrouper grouper({GroupSites, 0.05});
    for (const NewBlock &block : arrivals.Blocks)
      placed.push_back(grouper.place(block));
  });
  report("dynpart_group", [&](auto &placed) {
    AffinityGrouper grouper({GroupSites, 0.05});
    for (size_t n = 0; n < BlockCount; n += BatchSize)
      for (SiteId site : grouper.placeAll(absl::MakeConstSpan(&arrivals.Blocks[n], BatchSize)))
        placed.push_back(site);
  });
  return rows;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Measures the block table and the block grouping policies.");
  uint64_t seed = 1;
  int runs = 5;
  app.add_option("--seed", seed, "seed of the generated blocks");
  app.add_option("--runs", runs, "runs per figure; medians are printed")->check(CLI::Range(1, 100));
  CLI11_PARSE(app, argc, argv);

  nlohmann::json result{{"seed", seed}, {"table", measureTable(seed, runs)}};
  result["grouping"] = nlohmann::json::array();
  for (double noise : {0.0, 0.1, 0.3, 1.0})
    for (const auto &row : measureGrouping(seed, noise))
      result["grouping"].push_back(row);
  const auto &table = result["table"];
  bool met = table["heap_mb"].get<double>() < MaxMegabytes &&
             table["find_per_s"].get<double>() >= MinLookupsPerSecond &&
             table["answer_per_s"].get<double>() >= MinLookupsPerSecond &&
             table["delta_1000_worst_ms"].get<double>() < MaxDeltaMs;
  result["bounds_met"] = met;
  std::cout << result.dump(2) << "\n";
  return met ? 0 : 1;
}
