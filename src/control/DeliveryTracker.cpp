#include "control/DeliveryTracker.h"

#include <algorithm>

namespace briarspar::control {

namespace {

bool isNewer(const discovery::ListVersion &a, const discovery::ListVersion &b) {
  return a.Epoch != b.Epoch ? a.Epoch > b.Epoch : a.Sequence > b.Sequence;
}

} // namespace

void DeliveryTracker::report(const core::VmId &vm, core::Incarnation run,
                             const SyncedVersions &acked, core::Time now) {
  Vm &it = Vms[vm];
  if (it.Run != run)
    it = {run, {}, {}, {}};
  bool isAhead = it.Acked.Catalog < acked.Catalog || isNewer(acked.List, it.Acked.List);
  it.Acked = acked;
  // Later messages on the same connection have had no time to arrive yet.
  if (isAhead && now < it.AckDeadline)
    it.AckDeadline = std::max(it.AckDeadline, now + Settings.AckTimeout);
}

void DeliveryTracker::sent(const core::VmId &vm, const SyncedVersions &versions, size_t bytes,
                           core::Time now) {
  Vm &it = Vms[vm];
  bool isUnconfirmed = now < it.AckDeadline &&
                       (it.Acked.Catalog < it.Sent.Catalog || isNewer(it.Sent.List, it.Acked.List));
  core::Duration transferTime{static_cast<int64_t>(bytes / Settings.BytesPerMs)};
  it.Sent = versions;
  // While earlier deltas are unconfirmed, a later one extends the deadline only by its own transfer
  // time. Otherwise a steady flow of deltas would keep a lost one from being detected.
  it.AckDeadline =
      isUnconfirmed ? it.AckDeadline + transferTime : now + Settings.AckTimeout + transferTime;
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
