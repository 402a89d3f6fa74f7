#pragma once

#include "balance/CrashGuard.h"
#include "balance/FairQueue.h"
#include "balance/SlotHolder.h"
#include "balance/TargetChooser.h"
#include "config/ConfigReplica.h"
#include "core/Event.h"
#include "daemon/BlockIndex.h"
#include "daemon/CommandRelay.h"
#include "daemon/Messages.h"
#include "daemon/ServingState.h"
#include "daemon/TrafficStats.h"
#include "idempotency/ClaimCoordinator.h"
#include "lease/LeaseHolder.h"
#include "quota/QuotaHolder.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarspar::daemon {

/// Identity and location of this VM.
struct VmIdentity {
  core::VmId Vm;
  core::Incarnation Incarnation;
  balance::Locality Locality;
  /// VMs that may be the leader. They are asked for the lease in turn.
  std::vector<core::VmId> Voters;
  core::Duration LookupTtl{5000};
};

/// Called on the control thread when a condition that traffic threads wait for may have changed.
class VmAgentListener {
public:
  virtual ~VmAgentListener() = default;
  virtual void onGrants() {}                                      ///< Rate tokens arrived.
  virtual void onSlots() {}                                       ///< Slots or targets changed.
  virtual void onClaimAction(const idempotency::ClaimAction &) {} ///< Dispatch or Reply.
  /// All serving VMs know the crashes that this VM has recorded, up to and including this number.
  virtual void onCrashAck(uint64_t crash) {}
};

/// Represents a VM towards the leader: lease, configuration, rates, slots, claims and reports.
/// Used on the control thread only, except for the accessors marked otherwise.
class VmAgent final : private lease::ConfigApplier, private lease::LeaseHolderListener {
public:
  VmAgent(const VmIdentity &identity, const core::Clock &clock, core::EventSink &events,
          Sender sender, lease::LeaseHolder::Random random, VmAgentListener &listener);

  /// Handles a message from the leader. Returns false if VMs do not handle this kind.
  bool receive(const core::VmId &from, std::string_view kind, std::string_view bytes,
               core::Time now);

  /// Must be called every 5 to 10 ms.
  void tick(core::Time now);

  /// Claims a request id. The listener receives the Dispatch and Reply actions.
  void startClaim(const idempotency::RequestStart &request, core::Time now);
  void dispatchFinished(uint64_t attempt, const idempotency::DispatchResult &result,
                        core::Time now);

  /// Reports the recorded crashes to all voters. The leader acknowledges with onCrashAck() once all
  /// serving VMs know them.
  void sendCrashReport(core::Time now);

  /// Sends an operator's command to the leader, with retries until its outcome is known.
  void submit(const config::Command &command, core::Time deadline, core::Time now,
              CommandRelay::Done done);

  /// Announces a planned stop: from the next renewal on, lookups return other VMs.
  void setDraining(bool draining) { Lease.setDraining(draining); }

  size_t openAttempts() const { return Claims.openAttempts(); }
  std::optional<core::VmId> leader() const { return Leader; }

  // The following are safe to call from any thread.

  bool mayServe(core::Time now) const { return Lease.valid(now); }
  std::shared_ptr<const ServingState> state() const { return std::atomic_load(&State); }
  quota::QuotaHolder &quota() { return Quota; }
  balance::SlotHolder &slots() { return Slots; }
  /// Returns up to `limit` client blocks in the order of their ids. Control thread only.
  std::vector<config::BlockRecord> blocks(size_t limit) const;

  balance::TargetChooser &chooser() { return Chooser; }
  balance::CrashGuard &crashes() { return Crashes; }
  TrafficStats &stats() { return Stats; }
  std::atomic<uint64_t> &requestsInFlight() { return InFlight; }
  const VmIdentity &identity() const { return Identity; }

private:
  using Handler = void (VmAgent::*)(const core::VmId &, std::string_view, core::Time);

  /// Permits the use of slots and claims while the lease is valid.
  struct LeasePermission final : balance::ServingPermission, idempotency::DispatchPermission {
    explicit LeasePermission(const VmAgent &agent) : Agent(agent) {}
    bool valid(core::Time now) const override { return Agent.Lease.valid(now); }
    const VmAgent &Agent;
  };

  core::ConfigVersion version() const override { return Config.version(); }
  uint64_t digest() const override { return Config.digest(); }
  absl::Status apply(core::ConfigVersion to, uint64_t digest, std::string_view update) override;
  std::string renewalAttachment(core::Time now) override;
  void onResponse(std::string_view attachment, core::Time now) override;
  void onLeaseGained(core::Time now) override;
  void onLeaseLost(core::Time now) override;

  void onRenewalResponse(const core::VmId &from, std::string_view bytes, core::Time now);
  void onGrantResponse(const core::VmId &from, std::string_view bytes, core::Time now);
  void onSlotsResponse(const core::VmId &from, std::string_view bytes, core::Time now);
  void onClaimResult(const core::VmId &from, std::string_view bytes, core::Time now);
  void onCrashNotice(const core::VmId &from, std::string_view bytes, core::Time now);
  void mergeCrashes(std::string_view bytes, core::Time now);
  void onCrashAck(const core::VmId &from, std::string_view bytes, core::Time now);
  void onCommandResult(const core::VmId &from, std::string_view bytes, core::Time now);

  void sendToLeader(std::string_view kind, std::string bytes);
  void selectVoterToAsk();
  void publish(core::Time now);
  void flushClaims();
  std::vector<moves::InFlightReport> collectInFlightReports();
  uint64_t inFlightOnDrained(const config::DrainRecord &drain, const ServingState &state) const;

  VmIdentity Identity;
  const core::Clock &Clock;
  core::EventSink &Events;
  Sender Send;
  VmAgentListener &Listener;

  config::ConfigReplica Config;
  /// Accessed with std::atomic_load and std::atomic_store only.
  std::shared_ptr<const ServingState> State;
  ServingContext Context;
  BlockIndex Blocks;
  lease::LeaseHolder Lease;
  LeasePermission Permission;
  quota::QuotaHolder Quota;
  balance::SlotHolder Slots;
  balance::TargetChooser Chooser;
  balance::CrashGuard Crashes;
  idempotency::ClaimCoordinator Claims;
  TrafficStats Stats;
  std::atomic<uint64_t> InFlight{0};
  CommandRelay Commands;

  std::optional<core::VmId> Leader; ///< VM that last granted the lease or was reported as leader.
  core::Term LeaderTerm;
  size_t NextVoter = 0; ///< Next voter to ask while the leader is unknown.
  uint64_t ReportSequence = 0;
};

} // namespace briarspar::daemon
