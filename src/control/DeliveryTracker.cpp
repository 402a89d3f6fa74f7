#include "control/DeliveryTracker.h"

#include <algorithm>

namespace briarspar::control {

namespace {

bool isNewer(const discovery::ListVersion &a, const discovery::ListVersion &b) {
  return a.Epoch != b.Epoch ? a.Epoch > b.Epoch : a.Sequence > b.Sequence;
}

} // namespace

void DeliveryTracker::report(const core::VmId &vm, core::Incarnation run,
                             const SyncedVersions &held, core::Time now) {
  Vm &it = Vms[vm];
  if (it.Run != run)
    it = {run, {}, {}, {}};
  bool isAhead = it.Acked.Catalog < held.Catalog || isNewer(held.List, it.Acked.List);
  it.Acked = held;
  // What follows on the same connection has not been waited for yet.
  if (isAhead && now < it.AckDeadline)
    it.AckDeadline = std::max(it.AckDeadline, now + Settings.AckTimeout);
}

void DeliveryTracker::sent(const core::VmId &vm, const SyncedVersions &versions, size_t bytes,
                           core::Time now) {
  Vm &it = Vms[vm];
  bool isOpen = now < it.AckDeadline &&
                (it.Acked.Catalog < it.Sent.Catalog || isNewer(it.Sent.List, it.Acked.List));
  core::Duration way{static_cast<int64_t>(bytes / Settings.BytesPerMs)};
  it.Sent = versions;
  // While earlier changes are not confirmed, later ones only add their time on the way: a lost one
  // must be found though others follow it.
  it.AckDeadline = isOpen ? it.AckDeadline + way : now + Settings.AckTimeout + way;
}

SyncedVersions DeliveryTracker::base(const core::VmId &vm, core::Time now) const {
  auto it = Vms.find(vm);
  if (it == Vms.end())
    return {};
  SyncedVersions base = it->second.Acked;
  if (now >= it->second.AckDeadline)
    return base;
  base.Catalog = std::max(base.Catalog, it->second.Sent.Catalog);
  if (isNewer(it->second.Sent.List, base.List))
    base.List = it->second.Sent.List;
  return base;
}

} // namespace briarspar::control
