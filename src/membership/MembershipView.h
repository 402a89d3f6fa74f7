#pragma once

#include "absl/types/span.h"
#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace briarspar::membership {

enum class VmState : uint8_t {
  Joining, ///< Listed or sending heartbeats; no answer has reached it yet.
  Live,    ///< Heartbeats arrive and are answered.
  Leaving, ///< Draining according to its heartbeats or the platform list.
  Suspect, ///< Heartbeats are missing, or answers do not reach it.
  Dead,    ///< Its lease has expired, and the list or DeadAfter confirms it.
};

/// Returns the state's name in lower case.
const char *stateName(VmState state);

struct MembershipSettings {
  core::Duration Lease{3000};        ///< Length of the lease that a heartbeat renews.
  core::Duration SuspectAfter{1750}; ///< Time without heartbeats until Suspect: three renewals.
  core::Duration DeadAfter{15'000};  ///< Time without heartbeats until a listed VM is Dead too.
  core::Duration RecordRetention{3'600'000}; ///< Time for which the record of a dead VM is kept.
  /// Tolerated heartbeats without a newly confirmed answer; more indicate a one-way partition.
  uint32_t MaxUnconfirmedHeartbeats = 3;
  size_t MaxEvents = 1024; ///< Capacity of the event queue; the oldest are dropped.
};

/// An entry of the platform's VM list, which may be outdated or wrong.
struct PlatformEntry {
  core::VmId Vm;
  bool Leaving = false;
};

/// Liveness data of a VM, taken from its lease renewal.
struct Heartbeat {
  core::VmId Vm;
  core::Incarnation Inc;
  uint64_t Sequence = 0;     ///< Sequence of the renewal; 0: not reported.
  uint64_t LastAnswered = 0; ///< Highest sequence whose answer reached the VM.
  bool Draining = false;
};

/// A change of a VM's state. When a newer incarnation appears, the older one is reported Dead at
/// once. Resources that it holds under its serving lease must be kept until that lease has expired.
struct StateChange {
  core::Time At;
  core::VmId Vm;
  core::Incarnation Inc;
  VmState From = VmState::Joining;
  VmState To = VmState::Joining;
};

/// Failure detector: the state of every VM as seen by the leader. Not thread-safe; used on the
/// control thread of the leader.
class MembershipView {
public:
  explicit MembershipView(const MembershipSettings &settings = {}) : Settings(settings) {}

  /// Processes the complete platform list as read at `now`. The list marks VMs as leaving and
  /// confirms the death of VMs whose lease has expired. It is not sufficient to declare a VM dead.
  void updatePlatformList(absl::Span<const PlatformEntry> list, core::Time now);

  /// Processes a granted renewal. A newer incarnation replaces the state of the older one;
  /// heartbeats of an older incarnation and reordered ones are ignored.
  void heartbeat(const Heartbeat &beat, core::Time now);
  void heartbeat(const core::VmId &vm, core::Incarnation inc, core::Time now);

  /// Must be called when this process becomes leader. `now` counts as the last heartbeat of every
  /// known VM, because an earlier leader may have granted it a lease until then.
  void becomeLeader(core::Time now);

  /// State at `now`. An unknown VM is Dead.
  VmState stateOf(const core::VmId &vm, core::Time now) const;

  /// True if the renewals of the VM arrive but the answers do not reach it.
  bool answersLost(const core::VmId &vm) const;

  /// Newest incarnation that sent a heartbeat; 0 if none.
  core::Incarnation incarnationOf(const core::VmId &vm) const;

  /// All known VMs in order of id.
  std::vector<core::VmId> vms() const;

  /// Records the state changes up to `now`. Call at least twice a second.
  void tick(core::Time now);

  /// Returns and clears the recorded changes, oldest first.
  std::vector<StateChange> takeEvents();

  /// Number of changes dropped because the queue was full. If it increased, read all states again.
  uint64_t droppedEvents() const { return Dropped; }

private:
  struct Record {
    core::Incarnation Inc;
    core::Time LastHeartbeatAt;    ///< Time of the last heartbeat, or when the VM became known.
    uint64_t Sequence = 0;         ///< Sequence of the last heartbeat.
    uint64_t LastAnswered = 0;     ///< Last reported value.
    uint32_t UnconfirmedCount = 0; ///< Heartbeats since LastAnswered increased.
    bool HasHeartbeat = false;
    bool Draining = false;
    bool Listed = false;
    bool ListedLeaving = false;
    bool ListProcessed = false; ///< A list was processed after the VM became known.
    VmState Recorded = VmState::Joining;
    core::Incarnation RecordedInc;
    bool IsRecorded = false;
  };

  VmState stateOf(const Record &record, core::Time now) const;
  bool isDead(const Record &record, core::Time now) const;
  Record &recordOf(const core::VmId &vm, core::Time now);
  void record(const core::VmId &vm, Record &record, core::Time now);
  void append(const StateChange &change);

  MembershipSettings Settings;
  std::map<core::VmId, Record> Records;
  std::deque<StateChange> Events;
  uint64_t Dropped = 0;
};

} // namespace briarspar::membership
