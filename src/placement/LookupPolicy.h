#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "placement/BlockTable.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace briarspar::placement {

/// Shares are in parts per 10,000.
using BasisPoints = uint32_t;
constexpr BasisPoints FullShare = 10'000;

/// An entry VM of a site.
struct EntryVm {
  core::VmId Id;
  bool Live = true;                  ///< As membership sees it.
  bool Draining = false;             ///< Excluded from answers at once.
  std::optional<core::Time> DrainAt; ///< Announced start of a drain; limits the TTL before it.
};

/// Part of a site's callers that is steered to another site.
struct SiteShare {
  SiteId To;
  BasisPoints Share = 0;
};

/// A site with its entry VMs. Shares are stacked in the order of the list: a change of the last one
/// moves only the callers that it adds or removes.
struct Site {
  SiteId Id;
  std::vector<EntryVm> Vms;
  std::vector<SiteShare> Shares;
  core::Duration CapWindow{0}; ///< Window of the cap on shifts from this site; 0: no cap.
};

struct LookupSettings {
  core::Duration MaxTtl{10'000};   ///< Longest time for which a caller may cache an answer.
  core::Duration MinTtl{1'000};    ///< Shortest time, so that callers do not look up per request.
  core::Duration DrainTtl{10'000}; ///< Time within which callers must leave a VM that drains.
  uint32_t MaxVms = 3;             ///< Longest list in an answer.
};

struct LookupAnswer {
  SiteId Site;                 ///< Site after shares; invalid if no site has a usable VM.
  std::vector<core::VmId> Vms; ///< Best first. Empty: no live VM; ask again after the TTL.
  core::Duration Ttl;
};

/// Chooses the entry VMs of a caller. Immutable and safe to call from any thread; the owner builds
/// a new policy for each configuration version and swaps it atomically. Callers of one /24 get the
/// same list, and a VM that leaves moves only its own callers.
class LookupPolicy {
public:
  LookupPolicy(std::shared_ptr<const BlockTable> blocks, std::vector<Site> sites,
               const LookupSettings &settings = {});

  /// Returns the list for a caller. A caller in no block gets a site by hash. Does not fail.
  LookupAnswer answer(uint32_t address, core::Time now) const;

  /// Returns a policy with one share replaced. Only committed steps of the moves slice, which hold
  /// a lease of a ShiftBudget, may be passed. Sums above FullShare give InvalidArgument.
  absl::StatusOr<LookupPolicy> withShare(SiteId from, SiteId to, BasisPoints basis) const;

  const std::shared_ptr<const BlockTable> &blocks() const { return Blocks; }

private:
  // The part of the flat arrays below that holds the usable VMs of a site. A lookup reads few and
  // adjacent cache lines, because the block table evicts what is not read often.
  struct Usable {
    uint32_t First = 0;
    uint32_t Count = 0;
    int32_t TtlMs = 0;
    bool AnyDrain = false;
    bool AnyShare = false;
  };

  void addUsable(const Site &site);
  SiteId anySite(uint64_t callerHash) const;
  SiteId afterShares(SiteId home, uint64_t callerHash) const;
  void rank(const Usable &usable, uint64_t callerHash, core::Time now, LookupAnswer &answer) const;

  std::shared_ptr<const BlockTable> Blocks;
  std::vector<Site> Sites;       // Indexed by SiteId.
  std::vector<Usable> UsableVms; // Indexed by SiteId.
  std::vector<uint64_t> VmSeeds; // Hashes of the ids.
  std::vector<core::VmId> VmIds;
  std::vector<core::Time> VmDrainAt;
  LookupSettings Settings;
};

} // namespace briarspar::placement
