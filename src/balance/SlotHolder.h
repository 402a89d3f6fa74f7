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

/// Says whether this VM may serve. The daemon backs it with its LeaseHolder. Called from any
/// thread.
class ServingPermission {
public:
  virtual ~ServingPermission() = default;
  virtual bool valid(core::Time now) const = 0;
};

/// Slots as a traffic thread sees them. Implementations are safe to call from any thread.
class SlotSource {
public:
  virtual ~SlotSource() = default;

  /// Takes one slot. False when none is free or the VM may not serve.
  virtual bool acquire(const core::TargetId &target) = 0;

  /// Gives back a slot taken with acquire(). Call it after the last byte of the request.
  virtual void release(const core::TargetId &target) = 0;

  /// Free slots at this moment.
  virtual uint32_t available(const core::TargetId &target) const = 0;

  /// Slots in use by this VM at this moment.
  virtual uint32_t inUse(const core::TargetId &target) const = 0;
};

/// Timing and bounds of a SlotHolder.
struct SlotHolderSettings {
  core::Duration LimitValidity{3000}; ///< As in SlotLedgerSettings.
  core::Duration ReportInterval{500}; ///< Between reports when demand is steady.
  core::Duration UrgentInterval{20};  ///< Between reports when requests wait for slots.
  core::Duration AnswerTimeout{1000}; ///< After it a report without an answer is replaced.
  core::Duration DemandWindow{2000};  ///< Time constant of the mean use.
  double DemandSpread = 1;            ///< Slots wanted beyond the mean use, times its square root.
  uint32_t MaxConnectionsPerTarget = 400; ///< Over all VMs.
};

/// The slots that this VM may use. Every member is safe to call from any thread.
///
/// A limit ends a term after the report on which the leader granted it, so a VM that was paused or
/// cut off stops using its slots before the leader gives them to another VM.
class SlotHolder final : public SlotSource {
public:
  SlotHolder(core::VmId vm, core::Incarnation run, const core::Clock &clock,
             const ServingPermission &permission, const SlotHolderSettings &settings = {});

  /// Sets the targets, and the number of VMs that share the connections of each. The number counts
  /// VMs that left until they can hold no connection any more.
  void setTargets(absl::Span<const TargetInfo> targets, uint32_t vmCount);

  bool acquire(const core::TargetId &target) override;
  void release(const core::TargetId &target) override;
  uint32_t available(const core::TargetId &target) const override;
  uint32_t inUse(const core::TargetId &target) const override;

  /// Sets the number of requests that wait for a slot of a pool.
  void setWaiting(const PoolId &pool, uint32_t waiting);

  /// Slots of a pool at this VM.
  struct PoolSlots {
    uint32_t Free = 0;
    uint32_t Total = 0; ///< Free and in use.
  };
  PoolSlots poolSlots(const PoolId &pool) const;

  /// Connections that this VM may have open to a target, idle ones included. Summed over all VMs
  /// the limits never exceed the target's. Close idle connections when the limit falls.
  uint32_t connectionLimit(const core::TargetId &target) const;

  /// Returns a report when one is due. Slots that the leader called back are given up before. A
  /// caller that sends to the leader anyway also gets a report that is due within `ahead`.
  std::optional<SlotReport> tick(core::Term leader, core::Time now, core::Duration ahead = {});

  /// Takes an answer. Answers to other than the latest report are ignored.
  void receive(const SlotAnswer &answer, core::Time now);

private:
  struct Slot {
    PoolId Pool;
    uint32_t TargetSlots = 0;
    uint32_t Limit = 0;
    uint32_t InUse = 0;
    uint32_t Reported = 0; ///< Held according to the latest report.
    uint32_t held() const { return Limit > InUse ? Limit : InUse; }
    bool returns() const { return held() < Reported; }
    /// A drained target takes nothing new, although the leader has yet to call back its slots.
    bool hasFree() const { return TargetSlots != 0 && InUse < Limit; }
  };

  struct Demand {
    uint32_t InUse = 0;
    uint32_t Waiting = 0;
    double MeanInUse = 0; ///< Exponentially aged, as of At.
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
  size_t Returning = 0; ///< Slots that hold less than was reported.
  uint32_t VmCount = 1;
  core::Term Leader;
  uint64_t Sequence = 0;
  bool AwaitsAnswer = false;
  core::Time LastReportAt;
  core::Time ValidUntil;
};

} // namespace briarspar::balance
