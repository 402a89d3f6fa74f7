#include "moves/DrainTracker.h"

#include <algorithm>

namespace briarspar::moves {

void to_json(core::Json &j, const InFlightReport &r) {
  j = {{"src", r.Source}, {"inc", r.SourceIncarnation}, {"seq", r.Sequence},
       {"move", r.Move},  {"applied", r.AppliedDrain},  {"n", r.InFlight}};
}

void from_json(const core::Json &j, InFlightReport &r) {
  j.at("src").get_to(r.Source);
  j.at("inc").get_to(r.SourceIncarnation);
  j.at("seq").get_to(r.Sequence);
  j.at("move").get_to(r.Move);
  j.at("applied").get_to(r.AppliedDrain);
  j.at("n").get_to(r.InFlight);
}

DrainTracker::DrainTracker(const DrainSettings &settings, absl::Span<const core::VmId> vms,
                           core::Time committedAt)
    : Settings(settings), CommittedAt(committedAt) {
  for (const core::VmId &vm : vms)
    Vms[vm];
}

void DrainTracker::report(const InFlightReport &report, core::Time now) {
  // A count taken before the VM applied the drain says nothing about work assigned afterwards.
  if (!report.AppliedDrain)
    return;
  Vm &vm = Vms[report.Source];
  if (report.SourceIncarnation < vm.Incarnation)
    return;
  if (report.SourceIncarnation > vm.Incarnation) {
    // Requests of the earlier incarnation may still run on the target.
    if (vm.EverReported || vm.Expired)
      vm.EarlierWorkEndsAt = now + Settings.MaxRequestDuration;
    vm.Incarnation = report.SourceIncarnation;
    vm.Sequence = 0;
  } else if (vm.Expired || (vm.Reported && report.Sequence <= vm.Sequence)) {
    // A VM whose lease has ended assigns no work until it has applied the drain, so the time bound
    // set by vmExpired() is sufficient. A late report must not replace it.
    return;
  }
  vm.EverReported = true;
  vm.Expired = false;
  vm.Reported = true;
  vm.Sequence = report.Sequence;
  vm.InFlight = report.InFlight;
}

void DrainTracker::vmExpired(const core::VmId &id, core::Time now) {
  auto it = Vms.find(id);
  if (it == Vms.end() || it->second.Expired)
    return;
  it->second.Expired = true;
  it->second.EarlierWorkEndsAt = now + Settings.MaxRequestDuration;
}

bool DrainTracker::mayAssign(core::Time now) const {
  return now - CommittedAt < Settings.Propagation && unreportedVms() != 0;
}

bool DrainTracker::drained(core::Time now) const {
  // A VM that has applied a drain assigns no work, so a drain of targets does not wait for
  // Propagation. Callers that use cached lookups send no reports, so those are waited for.
  const bool callersMayArrive = Settings.LookupTtl > core::Duration{0} &&
                                now - CommittedAt < Settings.Propagation + Settings.LookupTtl;
  if (callersMayArrive)
    return false;
  return std::all_of(Vms.begin(), Vms.end(), [now](const auto &entry) {
    const Vm &vm = entry.second;
    if (now < vm.EarlierWorkEndsAt)
      return false;
    return vm.Expired || (vm.Reported && vm.InFlight == 0);
  });
}

uint64_t DrainTracker::inFlight() const {
  uint64_t sum = 0;
  for (const auto &[id, vm] : Vms)
    sum += vm.InFlight;
  return sum;
}

uint64_t DrainTracker::unreportedVms() const {
  return std::count_if(Vms.begin(), Vms.end(), [](const auto &entry) {
    return !entry.second.Reported && !entry.second.Expired;
  });
}

} // namespace briarspar::moves
