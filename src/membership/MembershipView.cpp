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
    record.ListProcessed = true;
  }
  for (const PlatformEntry &entry : list) {
    Record &record = recordOf(entry.Vm, now);
    record.Listed = true;
    record.ListProcessed = true;
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
    // The list is delayed, so a leaving mark applies to the earlier incarnation until it is
    // repeated.
    bool restarted = record.HasHeartbeat;
    record.HasHeartbeat = true;
    record.Inc = beat.Inc;
    record.Sequence = 0;
    record.LastAnswered = 0;
    record.UnconfirmedCount = 0;
    if (restarted)
      record.ListedLeaving = false;
  }
  bool sequenced = beat.Sequence != 0;
  if (sequenced && beat.Sequence <= record.Sequence)
    return;
  record.LastHeartbeatAt = now;
  record.Draining = beat.Draining;
  record.Sequence = beat.Sequence;
  if (!sequenced)
    return;
  record.UnconfirmedCount =
      beat.LastAnswered > record.LastAnswered ? 0 : record.UnconfirmedCount + 1;
  record.LastAnswered = beat.LastAnswered;
}

void MembershipView::becomeLeader(Time now) {
  for (auto &[vm, record] : Records) {
    record.LastHeartbeatAt = now;
    record.UnconfirmedCount = 0;
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
  bool heartbeatsMissing = now - record.LastHeartbeatAt >= Settings.SuspectAfter;
  if (heartbeatsMissing || record.UnconfirmedCount > Settings.MaxUnconfirmedHeartbeats)
    return VmState::Suspect;
  if (record.Draining || record.ListedLeaving)
    return VmState::Leaving;
  bool unanswered = record.Sequence != 0 && record.LastAnswered == 0;
  return unanswered ? VmState::Joining : VmState::Live;
}

bool MembershipView::isDead(const Record &record, Time now) const {
  Duration silence = now - record.LastHeartbeatAt;
  if (silence <= core::lengthenForClockDrift(Settings.Lease))
    return false;
  // A listed VM that has sent no heartbeat yet may still be starting.
  if (!record.HasHeartbeat)
    return record.ListProcessed && !record.Listed;
  bool confirmed = record.ListProcessed && (!record.Listed || record.ListedLeaving);
  return confirmed || silence >= Settings.DeadAfter;
}

bool MembershipView::answersLost(const VmId &vm) const {
  auto it = Records.find(vm);
  return it != Records.end() && it->second.UnconfirmedCount > Settings.MaxUnconfirmedHeartbeats;
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
    it->second.LastHeartbeatAt = now;
  return it->second;
}

void MembershipView::tick(Time now) {
  for (auto it = Records.begin(); it != Records.end();) {
    record(it->first, it->second, now);
    bool expired = it->second.Recorded == VmState::Dead && !it->second.Listed &&
                   now - it->second.LastHeartbeatAt > Settings.RecordRetention;
    it = expired ? Records.erase(it) : std::next(it);
  }
}

void MembershipView::record(const VmId &vm, Record &record, Time now) {
  VmState state = stateOf(record, now);
  bool changed = !record.IsRecorded || state != record.Recorded || record.Inc != record.RecordedInc;
  if (!changed)
    return;
  // The first change of a new incarnation starts from Joining.
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
