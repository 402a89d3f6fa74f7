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

/// A route in the form that traffic threads use.
struct RouteView {
  config::RouteRecord Record;
  std::map<core::VersionId, uint32_t> Shares; ///< Traffic share of each version in permille.
  core::VersionId CandidateVersion;           ///< New version of a running move, or empty.
};

/// The configuration in force at this VM in the form that traffic threads read. Immutable.
struct ServingState {
  core::ConfigVersion Version;
  uint64_t Digest = 0;           ///< Of the records.
  config::Records Records;       ///< Without client blocks, which are in Lookups.
  std::vector<RouteView> Routes; ///< Longest path prefix first.
  std::vector<balance::TargetInfo> Targets;
  auth::KeyVerifier Keys;
  std::shared_ptr<const placement::LookupPolicy> Lookups;

  /// Returns the route with the longest matching path prefix, or null. A prefix matches whole path
  /// segments only.
  const RouteView *routeFor(std::string_view path) const;
};

/// Inputs of a serving state other than the configuration.
struct ServingContext {
  core::RegionId OwnRegion;
  std::set<core::VmId> Excluded; ///< VMs that lookups must not return.
  std::shared_ptr<const placement::BlockTable> Blocks = placement::BlockTable::empty();
  core::Duration LookupTtl{5000}; ///< Maximum time for which callers cache a lookup.
};

/// Converts a target record to the form that the balance module uses. A draining target has no
/// slots.
balance::TargetInfo makeTargetInfo(const config::Records &records,
                                   const config::TargetRecord &target);

/// Sums up outcomes at targets by region. Targets that run the new version of a move are excluded,
/// because failures caused by that version do not indicate a failed region.
std::vector<RegionOutcomes>
outcomesByRegion(const std::map<core::TargetId, balance::OutcomeCounts> &outcomes,
                 const ServingState &state);

/// Builds the serving state of a configuration.
std::shared_ptr<const ServingState> buildServingState(const config::ConfigReplica &config,
                                                      const ServingContext &context);

} // namespace briarspar::daemon
