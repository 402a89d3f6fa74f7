#pragma once

#include "auth/KeyVerifier.h"
#include "balance/SlotMessages.h"
#include "balance/TargetChooser.h"
#include "config/ConfigReplica.h"
#include "core/Ids.h"
#include "daemon/Reports.h"
#include "placement/LookupPolicy.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::daemon {

/// A route with what the traffic threads need of it.
struct RouteView {
  config::RouteRecord Record;
  std::map<core::VersionId, uint32_t> Shares; ///< Share of each version, in parts per 1,000.
  core::VersionId CandidateVersion;           ///< New version of a running move; empty without one.
};

/// The configuration in force at this VM in the form that traffic threads read. Immutable.
struct ServingState {
  core::ConfigVersion Version;
  uint64_t Digest = 0;           ///< Of the records.
  config::Records Records;       ///< Without client blocks; Lookups has them.
  std::vector<RouteView> Routes; ///< Longest path prefix first.
  std::vector<balance::TargetInfo> Targets;
  auth::KeyVerifier Keys;
  std::shared_ptr<const placement::LookupPolicy> Lookups;

  /// Returns the route with the longest prefix of the path that ends at a path segment, or null.
  const RouteView *routeFor(std::string_view path) const;
};

/// What a VM knows besides the configuration when it builds its serving state.
struct ServingContext {
  core::RegionId OwnRegion;
  std::set<core::VmId> Excluded; ///< VMs that look-ups must not name.
  std::shared_ptr<const placement::BlockTable> Blocks = placement::BlockTable::empty();
  core::Duration LookupTtl{5000}; ///< Longest time for which callers cache a look-up.
};

/// Returns what the balance slice needs of a target; a draining target has no slots.
balance::TargetInfo makeTargetInfo(const config::Records &records,
                                   const config::TargetRecord &target);

/// Adds up outcomes at targets by region. Targets of a version under trial are left out: if it is
/// bad, their failures say nothing about the region.
std::vector<RegionOutcomes>
outcomesByRegion(const std::map<core::TargetId, balance::OutcomeCounts> &outcomes,
                 const ServingState &state);

/// Builds the serving state of a configuration.
std::shared_ptr<const ServingState> buildServingState(const config::ConfigReplica &config,
                                                      const ServingContext &context);

} // namespace briarspar::daemon
