#pragma once

#include "catalog/Catalog.h"
#include "discovery/TargetList.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace briarspar::entry::testing {

/// Name of the service of these tests.
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

/// Returns a list with a target of the service in each of the failure domains, `t0` and on.
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
