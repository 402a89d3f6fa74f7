#include "membership/MembershipView.h"

#include <utility>

namespace briarspar::membership {

using core::Duration;
using core::Time;
using core::VmId;

const char *stateName(VmState state) {
  static constexpr const char *names[] = {"joining", "live", "leaving", "suspect", "dead"};
  return names[static_cast<size_t>(state)];
}

void MembershipView::updatePlatformList(absl::Span<const PlatformEntry> list, Time now) {
  for (auto &[vm, record] : Records) {
    record.Listed = false;
    record.ListSeen = true;
  }
  for (const PlatformEntry &entry : list) {
    Record &record = recordOf(entry.Vm, now);
    record.Listed = true;
    record.ListSeen = true;
    record.ListedLeaving = entry.Leaving;
  }
}

void MembershipView::heartbeat(const VmId &vm, core::Incarnation inc, Time now) {
  Heartbeat beat;
  beat.Vm = vm;
  beat.Inc = inc;
  heartbeat(beat, now);
}

void MembershipView::heartbeat(const Heartbeat &beat, Time now) {
  Record &record = recordOf(beat.Vm, now);
  if (record.HasHeartbeat && beat.Inc < record.Inc)
    return;
  if (!record.HasHeartbeat || beat.Inc > record.Inc) {
    // The list lags, so a mark that it set belongs to an earlier incarnation until it is repeated.
    bool restarted = record.HasHeartbeat;
    record.HasHeartbeat = true;
    record.Inc = beat.Inc;
    record.Sequence = 0;
    record.LastAnswered = 0;
    record.Unconfirmed = 0;
    if (restarted)
      record.ListedLeaving = false;
  }
  bool numbered = beat.Sequence != 0;
  if (numbered && beat.Sequence <= record.Sequence)
    return;
  record.Heard = now;
  record.Draining = beat.Draining;
  record.Sequence = beat.Sequence;
  if (!numbered)
    return;
  record.Unconfirmed = beat.LastAnswered > record.LastAnswered ? 0 : record.Unconfirmed + 1;
  record.LastAnswered = beat.LastAnswered;
}

void MembershipView::becomeLeader(Time now) {
  for (auto &[vm, record] : Records) {
    record.Heard = now;
    record.Unconfirmed = 0;
  }
}

VmState MembershipView::stateOf(const VmId &vm, Time now) const {
  auto it = Records.find(vm);
  return it == Records.end() ? VmState::Dead : stateOf(it->second, now);
}

VmState MembershipView::stateOf(const Record &record, Time now) const {
  if (isDead(record, now))
    return VmState::Dead;
  if (!record.HasHeartbeat)
    return VmState::Joining;
  bool silent = now - record.Heard >= Settings.SuspectAfter;
  if (silent || record.Unconfirmed > Settings.MaxUnconfirmedHeartbeats)
    return VmState::Suspect;
  if (record.Draining || record.ListedLeaving)
    return VmState::Leaving;
  bool unanswered = record.Sequence != 0 && record.LastAnswered == 0;
  return unanswered ? VmState::Joining : VmState::Live;
}

bool MembershipView::isDead(const Record &record, Time now) const {
  Duration silence = now - record.Heard;
  if (silence <= core::lengthenForClockRate(Settings.Lease))
    return false;
  // A VM that never sent a heartbeat may still start while the list names it.
  if (!record.HasHeartbeat)
    return record.ListSeen && !record.Listed;
  bool confirmed = record.ListSeen && (!record.Listed || record.ListedLeaving);
  return confirmed || silence >= Settings.DeadAfter;
}

bool MembershipView::answersLost(const VmId &vm) const {
  auto it = Records.find(vm);
  return it != Records.end() && it->second.Unconfirmed > Settings.MaxUnconfirmedHeartbeats;
}

core::Incarnation MembershipView::incarnationOf(const VmId &vm) const {
  auto it = Records.find(vm);
  return it == Records.end() ? core::Incarnation() : it->second.Inc;
}

std::vector<VmId> MembershipView::vms() const {
  std::vector<VmId> ids;
  ids.reserve(Records.size());
  for (const auto &[vm, record] : Records)
    ids.push_back(vm);
  return ids;
}

MembershipView::Record &MembershipView::recordOf(const VmId &vm, Time now) {
  auto [it, isNew] = Records.try_emplace(vm);
  if (isNew)
    it->second.Heard = now;
  return it->second;
}

void MembershipView::tick(Time now) {
  for (auto it = Records.begin(); it != Records.end();) {
    record(it->first, it->second, now);
    bool forget = it->second.Recorded == VmState::Dead && !it->second.Listed &&
                  now - it->second.Heard > Settings.RecordRetention;
    it = forget ? Records.erase(it) : std::next(it);
  }
}

void MembershipView::record(const VmId &vm, Record &record, Time now) {
  VmState state = stateOf(record, now);
  bool changed = !record.IsRecorded || state != record.Recorded || record.Inc != record.RecordedInc;
  if (!changed)
    return;
  // A new incarnation starts as joining, so its first change names the state it left.
  bool restarted = record.IsRecorded && record.Inc != record.RecordedInc;
  VmState from = restarted || !record.IsRecorded ? VmState::Joining : record.Recorded;
  if (restarted && record.Recorded != VmState::Dead && record.RecordedInc != core::Incarnation())
    append({now, vm, record.RecordedInc, record.Recorded, VmState::Dead});
  append({now, vm, record.Inc, from, state});
  record.IsRecorded = true;
  record.Recorded = state;
  record.RecordedInc = record.Inc;
}

void MembershipView::append(const StateChange &change) {
  Events.push_back(change);
  if (Events.size() <= Settings.MaxEvents)
    return;
  Events.pop_front();
  ++Dropped;
}

std::vector<StateChange> MembershipView::takeEvents() {
  std::vector<StateChange> events(Events.begin(), Events.end());
  Events.clear();
  return events;
}

} // namespace briarspar::membership
