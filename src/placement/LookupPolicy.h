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
  bool Live = true;                  ///< According to membership.
  bool Draining = false;             ///< Excluded from responses.
  std::optional<core::Time> DrainAt; ///< Announced start of a drain; limits the TTL.
};

/// Share of a site's callers that is directed to another site.
struct SiteShare {
  SiteId To;
  BasisPoints Share = 0;
};

/// A site with its entry VMs. Shares occupy consecutive hash ranges in list order, so a change of
/// the last one moves only the callers that it adds or removes.
struct Site {
  SiteId Id;
  std::vector<EntryVm> Vms;
  std::vector<SiteShare> Shares;
  core::Duration CapWindow{0}; ///< Window of the cap on shifts from this site; 0: none.
};

struct LookupSettings {
  core::Duration MaxTtl{10'000};   ///< Maximum time for which callers may cache a response.
  core::Duration MinTtl{1'000};    ///< Minimum, so that callers do not look up every request.
  core::Duration DrainTtl{10'000}; ///< Time within which callers must leave a draining VM.
  uint32_t MaxVms = 3;             ///< Maximum number of VMs in a response.
};

struct LookupResponse {
  SiteId Site;                 ///< Site after shares; invalid if no site has a usable VM.
  std::vector<core::VmId> Vms; ///< In order of preference. Empty: no usable VM; retry after Ttl.
  core::Duration Ttl;
};

/// Chooses the entry VMs of a caller. Immutable and safe to use from any thread; the owner builds a
/// new policy for each configuration version and swaps it atomically. Callers of one /24 get the
/// same list, and the loss of a VM moves only its own callers (rendezvous hashing).
class LookupPolicy {
public:
  LookupPolicy(std::shared_ptr<const BlockTable> blocks, std::vector<Site> sites,
               const LookupSettings &settings = {});

  /// Returns the VMs for a caller. A caller in no block is assigned a site by hash. Never fails.
  LookupResponse answer(uint32_t address, core::Time now) const;

  /// Returns a policy with one share replaced. Only committed steps of src/moves, which hold a
  /// lease of a ShiftBudget, may be passed. Returns InvalidArgument if the shares sum to more than
  /// FullShare.
  absl::StatusOr<LookupPolicy> withShare(SiteId from, SiteId to, BasisPoints basis) const;

  const std::shared_ptr<const BlockTable> &blocks() const { return Blocks; }

private:
  // Range of a site's usable VMs in the flat arrays below. A lookup reads few, adjacent cache
  // lines, because accesses to the block table evict them frequently.
  struct UsableVmRange {
    uint32_t First = 0;
    uint32_t Count = 0;
    int32_t TtlMs = 0;
    bool AnyDrain = false;
    bool AnyShare = false;
  };

  void addUsable(const Site &site);
  SiteId fallbackSite(uint64_t callerHash) const;
  SiteId afterShares(SiteId home, uint64_t callerHash) const;
  void rank(const UsableVmRange &usable, uint64_t callerHash, core::Time now,
            LookupResponse &answer) const;

  std::shared_ptr<const BlockTable> Blocks;
  std::vector<Site> Sites;                   // Indexed by SiteId.
  std::vector<UsableVmRange> UsableVmRanges; // Indexed by SiteId.
  std::vector<uint64_t> VmSeeds;             // Hashes of VmIds.
  std::vector<core::VmId> VmIds;
  std::vector<core::Time> VmDrainAt;
  LookupSettings Settings;
};

} // namespace briarspar::placement
