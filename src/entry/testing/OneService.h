#pragma once

#include "catalog/Catalog.h"
#include "discovery/TargetList.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace briarspar::entry::testing {

inline const std::string ServiceName = "s";

/// Returns a catalogue with one service.
inline catalog::Catalog oneService() {
  catalog::Catalog catalog;
  catalog::Change change;
  catalog::Service service;
  service.Name = ServiceName;
  change.Services.push_back({catalog::ItemVersion(1), service, ServiceName});
  cr_assert(catalog.apply(change, core::LogIndex(1)).ok());
  return catalog;
}

/// Returns a list with one target of the service, `t0`, `t1` and so on, in each of the given
/// failure domains.
inline discovery::TargetList targetsIn(const std::vector<std::string> &domains, uint32_t slots) {
  std::vector<discovery::Target> targets(domains.size());
  for (size_t i = 0; i < targets.size(); ++i) {
    targets[i].Id = core::TargetId("t" + std::to_string(i));
    targets[i].Service = ServiceName;
    targets[i].Domain = core::DomainId(domains[i]);
    targets[i].Version = core::VersionId("v1");
    targets[i].Slots = slots;
  }
  discovery::TargetList list;
  list.startEpoch(1);
  list.update(targets, core::Time{0});
  return list;
}

} // namespace briarspar::entry::testing
