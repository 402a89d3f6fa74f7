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
  core::Duration Interval{500};    ///< Interval between renewals while responses arrive.
  core::Duration Retry{250};       ///< Interval after an unanswered renewal.
  core::Duration MaxBackoff{2000}; ///< Maximum interval without a lease; doubles from Retry.
  int64_t JitterPercent = 20;      ///< Intervals are shortened at random by up to this.
};

/// Applies configuration updates at this VM. Called on the control thread, within tick() and
/// receive().
class ConfigApplier {
public:
  virtual ~ConfigApplier() = default;

  /// Version in force; 0 before the first update. Never decreases.
  virtual core::ConfigVersion version() const = 0;
  virtual uint64_t digest() const = 0;

  /// Applies the update; traffic threads see it when this returns. On an error nothing has changed.
  /// FailedPrecondition means that the delta is based on another version than the one in force,
  /// which happens with two renewals in flight. After any other error the next renewal requests the
  /// full state.
  virtual absl::Status apply(core::ConfigVersion to, uint64_t digest, std::string_view update) = 0;
};

/// Attachment and lease callbacks for other modules at the VM. Called on the control thread, within
/// tick() or receive().
class LeaseHolderListener {
public:
  virtual ~LeaseHolderListener() = default;

  /// Returns the attachment of the renewal to be sent.
  virtual std::string renewalAttachment(core::Time now) { return {}; }
  /// A response was accepted and its configuration is in force. The lease is extended afterwards.
  virtual void onResponse(std::string_view attachment, core::Time now) {}
  /// The VM may serve. After this call valid() is true.
  virtual void onLeaseGained(core::Time now) {}
  /// The lease expired or the process was fenced. valid() is false from the expiry on; this is
  /// called by the next tick() or receive().
  virtual void onLeaseLost(core::Time now) {}
};

/// Holds the serving lease of a VM. All functions but valid() and validUntil() must be called on
/// the control thread.
class LeaseHolder {
public:
  /// Returns a uniformly distributed number in [0, bound).
  using Random = std::function<uint64_t(uint64_t bound)>;

  /// `target` and `listener` must outlive the holder; `listener` may be null.
  LeaseHolder(const LeaseHolderSettings &settings, const core::VmId &vm, core::Incarnation inc,
              ConfigApplier &target, Random random, LeaseHolderListener *listener = nullptr);

  /// Returns a renewal to send if one is due. Call it at least every 50 ms. The first renewal is
  /// due at a random time within one interval, so that the VMs of a restarted failure domain are
  /// not synchronized. A caller that is about to send another message to the leader passes `ahead`,
  /// to send a renewal due within that time along with it. `ahead` is ignored while a renewal is
  /// unanswered.
  std::optional<Renewal> tick(core::Time now, core::Duration ahead = {});

  /// Handles a response: applies its configuration, then extends the lease. Returns
  ///   Ok                  the response was accepted and the lease extended
  ///   InvalidArgument     the response is for another VM or incarnation
  ///   FailedPrecondition  stale, duplicated or reordered response, or an older configuration
  ///   Unavailable         the renewal was not granted
  ///   Aborted             this incarnation is fenced
  /// or the error of ConfigApplier::apply(). Only Ok extends the lease.
  absl::Status receive(const RenewalResponse &answer, core::Time now);

  /// True if the lease is valid at `now`. Lock-free; may be called from any thread, with a time
  /// read immediately before the decision that it protects.
  bool valid(core::Time now) const { return now.Ms < ValidUntilMs.load(std::memory_order_acquire); }

  /// End of the lease on this VM's clock. May be called from any thread.
  core::Time validUntil() const { return {ValidUntilMs.load(std::memory_order_acquire)}; }

  /// Sets the drain flag reported by the following renewals.
  void setDraining(bool draining) { Draining = draining; }

  /// True after the leader reported a newer incarnation of the VM; the process must stop.
  bool fenced() const { return Fenced; }

  /// Number of renewals sent after the last one that was granted. A large number means that one
  /// direction of the link to the leader fails, or that there is no leader.
  uint32_t unanswered() const { return Unanswered; }

private:
  struct Sent {
    uint64_t Sequence;
    core::Time At;
  };

  absl::Status checkResponse(const RenewalResponse &answer) const;
  absl::Status handleRefusal(const RenewalResponse &answer, core::Time now);
  absl::Status applyUpdate(const RenewalResponse &answer);
  void extend(core::Time sentAt, core::Duration length, core::Time now);
  void checkExpiry(core::Time now);
  core::Duration nextInterval(core::Time now);
  core::Duration jittered(core::Duration interval);

  LeaseHolderSettings Settings;
  core::VmId Vm;
  core::Incarnation Inc;
  ConfigApplier &Target;
  Random Rng;
  LeaseHolderListener *Listener;

  std::atomic<int64_t> ValidUntilMs;
  std::deque<Sent> Outstanding; ///< Oldest first; at most MaxOutstanding.
  std::optional<core::Time> NextRenewal;
  uint64_t Sequence = 0;
  uint64_t LastAnswered = 0;
  uint32_t Unanswered = 0;
  bool ReportedHeld = false; ///< onLeaseGained() was called without a later onLeaseLost().
  bool Draining = false;
  bool Fenced = false;
  bool NeedsFullState = false;
};

} // namespace briarspar::lease
