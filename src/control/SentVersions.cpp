#include "control/SentVersions.h"

#include <algorithm>

namespace briarspar::control {

namespace {

bool isNewer(const discovery::ListVersion &a, const discovery::ListVersion &b) {
  return a.Epoch != b.Epoch ? a.Epoch > b.Epoch : a.Sequence > b.Sequence;
}

} // namespace

void SentVersions::report(const core::VmId &vm, core::Incarnation run, const HeldVersions &held,
                          core::Time now) {
  Vm &it = Vms[vm];
  if (it.Run != run)
    it = {run, {}, {}, {}};
  bool isAhead = it.Held.Catalog < held.Catalog || isNewer(held.List, it.Held.List);
  it.Held = held;
  // What follows on the same connection has not been waited for yet.
  if (isAhead && now < it.Until)
    it.Until = std::max(it.Until, now + Settings.Confirm);
}

void SentVersions::sent(const core::VmId &vm, const HeldVersions &versions, size_t bytes,
                        core::Time now) {
  Vm &it = Vms[vm];
  bool isOpen =
      now < it.Until && (it.Held.Catalog < it.Sent.Catalog || isNewer(it.Sent.List, it.Held.List));
  core::Duration way{static_cast<int64_t>(bytes / Settings.BytesPerMs)};
  it.Sent = versions;
  // While earlier changes are not confirmed, later ones only add their time on the way: a lost one
  // must be found though others follow it.
  it.Until = isOpen ? it.Until + way : now + Settings.Confirm + way;
}

HeldVersions SentVersions::base(const core::VmId &vm, core::Time now) const {
  auto it = Vms.find(vm);
  if (it == Vms.end())
    return {};
  HeldVersions base = it->second.Held;
  if (now >= it->second.Until)
    return base;
  base.Catalog = std::max(base.Catalog, it->second.Sent.Catalog);
  if (isNewer(it->second.Sent.List, base.List))
    base.List = it->second.Sent.List;
  return base;
}

} // namespace briarspar::control
