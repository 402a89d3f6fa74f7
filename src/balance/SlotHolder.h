#pragma once

#include "absl/types/span.h"
#include "balance/SlotMessages.h"
#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace briarspar::balance {

/// Tells whether this VM may serve. The daemon implements it with its LeaseHolder. Must be safe to
/// call from any thread.
class ServingPermission {
public:
  virtual ~ServingPermission() = default;
  virtual bool valid(core::Time now) const = 0;
};

/// Interface of the slots for traffic threads. Implementations are safe to call from any thread.
class SlotSource {
public:
  virtual ~SlotSource() = default;

  /// Acquires one slot. Returns false if none is free or the VM may not serve.
  virtual bool acquire(const core::TargetId &target) = 0;

  /// Releases a slot acquired with acquire(). Call it after the last byte of the request.
  virtual void release(const core::TargetId &target) = 0;

  /// Returns the number of currently free slots.
  virtual uint32_t available(const core::TargetId &target) const = 0;

  /// Returns the number of slots currently in use by this VM.
  virtual uint32_t inUse(const core::TargetId &target) const = 0;
};

/// Timing and limits of a SlotHolder.
struct SlotHolderSettings {
  core::Duration LimitValidity{3000};   ///< As in SlotLedgerSettings.
  core::Duration ReportInterval{500};   ///< Interval between reports in steady state.
  core::Duration UrgentInterval{20};    ///< Interval while requests wait or slots are returned.
  core::Duration ResponseTimeout{1000}; ///< A report unanswered for this long is replaced.
  core::Duration DemandWindow{2000};    ///< Time constant of the mean number of slots in use.
  double DemandSpread = 1; ///< Slots wanted beyond the mean use, in units of its square root.
  uint32_t MaxConnectionsPerTarget = 400; ///< Over all VMs.
};

/// The slots that this VM may use. All members are safe to call from any thread.
///
/// Limits expire LimitValidity after the report on which the leader granted them, so a VM that was
/// paused or partitioned stops using its slots before the leader grants them to another VM.
class SlotHolder final : public SlotSource {
public:
  SlotHolder(core::VmId vm, core::Incarnation run, const core::Clock &clock,
             const ServingPermission &permission, const SlotHolderSettings &settings = {});

  /// Sets the targets, and the number of VMs that share the connections of each. VMs that left
  /// count until they can hold no connections any more.
  void setTargets(absl::Span<const TargetInfo> targets, uint32_t vmCount);

  bool acquire(const core::TargetId &target) override;
  void release(const core::TargetId &target) override;
  uint32_t available(const core::TargetId &target) const override;
  uint32_t inUse(const core::TargetId &target) const override;

  /// Sets the number of requests that wait for a slot of the pool.
  void setWaiting(const PoolId &pool, uint32_t waiting);

  /// Slots of a pool at this VM.
  struct PoolSlots {
    uint32_t Free = 0;
    uint32_t Total = 0; ///< Free and in use.
  };
  PoolSlots poolSlots(const PoolId &pool) const;

  /// Returns the number of connections that this VM may have open to a target, including idle ones.
  /// The sum over all VMs never exceeds MaxConnectionsPerTarget. Close idle connections when the
  /// limit falls.
  uint32_t connectionLimit(const core::TargetId &target) const;

  /// Returns a report if one is due. Revoked and expired limits are given up before the report
  /// returns them to the leader. A caller that is about to send to the leader anyway also gets a
  /// report that is due within `lookahead`.
  std::optional<SlotReport> tick(core::Term leader, core::Time now, core::Duration lookahead = {});

  /// Applies a response. Responses to any but the latest report are ignored.
  void receive(const SlotResponse &answer, core::Time now);

private:
  struct Slot {
    PoolId Pool;
    uint32_t TargetSlots = 0;
    uint32_t Limit = 0;
    uint32_t InUse = 0;
    uint32_t Reported = 0; ///< Slots held according to the latest report.
    uint32_t held() const { return Limit > InUse ? Limit : InUse; }
    bool returns() const { return held() < Reported; }
    /// A drained target gets no new requests, even before the leader has revoked its slots.
    bool hasFree() const { return TargetSlots != 0 && InUse < Limit; }
  };

  struct Demand {
    uint32_t InUse = 0;
    uint32_t Waiting = 0;
    double MeanInUse = 0; ///< Exponential moving average as of At.
    core::Time At;
  };

  void changeInUse(Slot &slot, int change);
  void countReturning();
  void ageMean(Demand &demand, core::Time now) const;
  uint32_t wanted(const Demand &demand) const;
  bool isUrgent() const;
  bool limitsValid(core::Time now) const;

  const core::VmId Vm;
  const core::Incarnation Run;
  const core::Clock &Clock;
  const ServingPermission &Permission;
  const SlotHolderSettings Settings;
  const core::Time Started;

  mutable std::mutex Mutex;
  std::unordered_map<core::TargetId, Slot> Slots;
  std::map<PoolId, Demand> Demands;
  size_t Returning = 0; ///< Targets of which fewer slots are held than reported.
  uint32_t VmCount = 1;
  core::Term Leader;
  uint64_t Sequence = 0;
  bool AwaitsResponse = false;
  core::Time LastReportAt;
  core::Time ValidUntil;
};

} // namespace briarspar::balance
