#pragma once

#include "absl/status/status.h"
#include "core/Clock.h"
#include "core/Ids.h"
#include "lease/Messages.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace briarspar::lease {

struct LeaseHolderSettings {
  core::Duration Interval{500};    ///< Between renewals while answers arrive.
  core::Duration Retry{250};       ///< After a renewal without an answer.
  core::Duration MaxBackoff{2000}; ///< Longest interval without a lease; doubles from Retry.
  int64_t JitterPercent = 20;      ///< Intervals are shortened by a random share up to this.
};

/// The configuration in force at this VM. Called on the control thread, within tick() and
/// receive().
class ConfigApplier {
public:
  virtual ~ConfigApplier() = default;

  /// Version in force; 0 before the first update. Never decreases.
  virtual core::ConfigVersion version() const = 0;
  virtual uint64_t digest() const = 0;

  /// Puts the update in force, visible to traffic threads, before it returns. On an error nothing
  /// has changed. FailedPrecondition means that the update starts from another version than the
  /// one in force, as after two renewals in flight; after any other error the next renewal asks for
  /// the full state.
  virtual absl::Status apply(core::ConfigVersion to, uint64_t digest, std::string_view update) = 0;
};

/// Other slices at the VM. All functions are called on the control thread, within tick() or
/// receive().
class LeaseHolderListener {
public:
  virtual ~LeaseHolderListener() = default;

  /// Returns the attachment of the renewal that is about to be sent.
  virtual std::string renewalAttachment(core::Time now) { return {}; }
  /// An answer was accepted and its configuration is in force; the lease is extended next.
  virtual void onAnswer(std::string_view attachment, core::Time now) {}
  /// The VM may serve. After this call valid() is true.
  virtual void onLeaseGained(core::Time now) {}
  /// The lease expired or the process was fenced. valid() has been false since the expiry; this
  /// call follows at the next tick().
  virtual void onLeaseLost(core::Time now) {}
};

/// Holds the serving lease of a VM. All functions but valid() are for the control thread.
class LeaseHolder {
public:
  /// Returns a uniformly distributed number in [0, bound).
  using Random = std::function<uint64_t(uint64_t bound)>;

  /// `target` and `listener` must outlive the holder; `listener` may be null.
  LeaseHolder(const LeaseHolderSettings &settings, const core::VmId &vm, core::Incarnation inc,
              ConfigApplier &target, Random random, LeaseHolderListener *listener = nullptr);

  /// Returns a renewal to send if one is due. Call it at least every 50 ms. The first renewal is
  /// due at a random time within one interval, so that a failure domain does not return in step.
  /// A caller that sends to the leader anyway also gets a renewal that is due within `ahead`,
  /// unless an earlier one is unanswered.
  std::optional<Renewal> tick(core::Time now, core::Duration ahead = {});

  /// Handles an answer: applies its configuration, then extends the lease. Returns
  ///   Ok                  the lease was extended
  ///   InvalidArgument     the answer is for another VM or incarnation
  ///   FailedPrecondition  stale, duplicated or reordered answer, or an older configuration
  ///   Unavailable         the leader did not grant
  ///   Aborted             this incarnation is fenced
  /// or the error of ConfigApplier::apply(). Only Ok extends the lease.
  absl::Status receive(const RenewalAnswer &answer, core::Time now);

  /// True while the lease is held at `now`. Lock-free; any thread may call it, with the time read
  /// right before the decision it protects.
  bool valid(core::Time now) const { return now.Ms < ValidUntilMs.load(std::memory_order_acquire); }

  /// End of the lease on this VM's clock. Any thread may call it.
  core::Time validUntil() const { return {ValidUntilMs.load(std::memory_order_acquire)}; }

  /// Renewals report this from now on.
  void setDraining(bool draining) { Draining = draining; }

  /// True once a newer incarnation of the VM was seen; the process must stop.
  bool fenced() const { return Fenced; }

  /// Renewals sent since the last granting answer. A large number means that one direction of the
  /// link to the leader fails, or that there is no leader.
  uint32_t unanswered() const { return Unanswered; }

private:
  struct Sent {
    uint64_t Sequence;
    core::Time At;
  };

  absl::Status checkAnswer(const RenewalAnswer &answer) const;
  absl::Status refuse(const RenewalAnswer &answer, core::Time now);
  absl::Status applyUpdate(const RenewalAnswer &answer);
  void extend(core::Time sentAt, core::Duration length, core::Time now);
  void noticeExpiry(core::Time now);
  core::Duration nextInterval(core::Time now);
  core::Duration jittered(core::Duration interval);

  LeaseHolderSettings Settings;
  core::VmId Vm;
  core::Incarnation Inc;
  ConfigApplier &Target;
  Random Rng;
  LeaseHolderListener *Listener;

  std::atomic<int64_t> ValidUntilMs;
  std::deque<Sent> Outstanding; ///< Oldest first; bounded.
  std::optional<core::Time> NextRenewal;
  uint64_t Sequence = 0;
  uint64_t LastAnswered = 0;
  uint32_t Unanswered = 0;
  bool Held = false; ///< The listener was told that the lease is held.
  bool Draining = false;
  bool Fenced = false;
  bool NeedsFullState = false;
};

} // namespace briarspar::lease
