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
  Joining, ///< Listed, or heard, but no answer has reached it yet.
  Live,    ///< Heartbeats arrive and answers reach it.
  Leaving, ///< Reported by its own drain flag or by the platform's list.
  Suspect, ///< Heartbeats stopped, or answers do not reach it.
  Dead,    ///< Its lease has ended, and the list or a long silence confirms it.
};

/// Returns the state's name in lower case.
const char *stateName(VmState state);

struct MembershipSettings {
  core::Duration Lease{3000};        ///< Lease length that a heartbeat renews.
  core::Duration SuspectAfter{1750}; ///< Silence after which a VM is suspect: three renewals.
  core::Duration DeadAfter{15'000};  ///< Silence after which a listed VM is dead all the same.
  core::Duration RecordRetention{3'600'000}; ///< A dead VM is forgotten after this time.
  uint32_t MaxUnconfirmedHeartbeats =
      3;                   ///< Heartbeats without a new confirmed answer: one-way cut.
  size_t MaxEvents = 1024; ///< State changes kept; older ones are dropped.
};

/// One line of the platform's list, which lags and may be wrong.
struct PlatformEntry {
  core::VmId Vm;
  bool Leaving = false;
};

/// What a renewal tells about the VM that sent it.
struct Heartbeat {
  core::VmId Vm;
  core::Incarnation Inc;
  uint64_t Sequence = 0;     ///< Sequence of the renewal; 0: not reported.
  uint64_t LastAnswered = 0; ///< Highest sequence whose answer reached the VM.
  bool Draining = false;
};

/// A change of a VM's state. When a newer incarnation appears, the older one is reported Dead at
/// once; what it holds under its serving lease must still be kept until that lease has ended.
struct StateChange {
  core::Time At;
  core::VmId Vm;
  core::Incarnation Inc;
  VmState From = VmState::Joining;
  VmState To = VmState::Joining;
};

/// Which VMs are live, leaving or dead. Not thread-safe; used on the control thread of the leader.
class MembershipView {
public:
  explicit MembershipView(const MembershipSettings &settings = {}) : Settings(settings) {}

  /// Takes in the whole platform list as read at `now`. The list marks VMs as leaving and confirms
  /// the death of VMs whose lease has ended; it never declares a VM dead alone.
  void updatePlatformList(absl::Span<const PlatformEntry> list, core::Time now);

  /// Takes in a granted renewal. A newer incarnation overrides all that is known about an older
  /// one; heartbeats of an older incarnation and reordered ones are ignored.
  void heartbeat(const Heartbeat &beat, core::Time now);
  void heartbeat(const core::VmId &vm, core::Incarnation inc, core::Time now);

  /// Call when this process becomes leader: every known VM counts as heard at `now`, because an
  /// earlier leader may have granted it a lease until then.
  void becomeLeader(core::Time now);

  /// State at `now`. An unknown VM is Dead.
  VmState stateOf(const core::VmId &vm, core::Time now) const;

  /// True if renewals of the VM arrive while the answers do not reach it.
  bool answersLost(const core::VmId &vm) const;

  /// Newest incarnation heard; 0 if none.
  core::Incarnation incarnationOf(const core::VmId &vm) const;

  /// All known VMs in order of id.
  std::vector<core::VmId> vms() const;

  /// Records the state changes up to `now`. Call at least twice a second.
  void tick(core::Time now);

  /// Returns and clears the recorded changes, oldest first.
  std::vector<StateChange> takeEvents();

  /// Changes dropped because nobody took them in time. After a rise, read the states anew.
  uint64_t droppedEvents() const { return Dropped; }

private:
  struct Record {
    core::Incarnation Inc;
    core::Time Heard;          ///< Last heartbeat, or the time at which the VM became known.
    uint64_t Sequence = 0;     ///< Of the last heartbeat.
    uint64_t LastAnswered = 0; ///< As last reported.
    uint32_t Unconfirmed = 0;  ///< Heartbeats since LastAnswered rose.
    bool HasHeartbeat = false;
    bool Draining = false;
    bool Listed = false;
    bool ListedLeaving = false;
    bool ListSeen = false; ///< A list arrived after the VM became known.
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
