#include "control/SentVersions.h"

#include <algorithm>

namespace briarspar::control {

namespace {

bool isNewer(const discovery::ListVersion &a, const discovery::ListVersion &b) {
  return a.Epoch != b.Epoch ? a.Epoch > b.Epoch : a.Sequence > b.Sequence;
}

} // namespace

void SentVersions::report(const core::VmId &vm, core::Incarnation run, const HeldVersions &held) {
  Vm &it = Vms[vm];
  if (it.Run != run)
    it = {run, {}, {}, {}};
  it.Held = held;
}

void SentVersions::sent(const core::VmId &vm, const HeldVersions &versions, size_t bytes,
                        core::Time now) {
  Vm &it = Vms[vm];
  it.Sent = versions;
  core::Duration span =
      Settings.Confirm + core::Duration{static_cast<int64_t>(bytes / Settings.BytesPerMs)};
  // Messages to one VM arrive one after the other.
  it.Until = std::max(it.Until, now + span);
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
