#pragma once

#include "Simulation.h"
#include "balance/CrashGuard.h"
#include "balance/FairQueue.h"
#include "balance/HedgePolicy.h"
#include "balance/RetryBudget.h"
#include "balance/SlotHolder.h"
#include "balance/TargetChooser.h"
#include "moves/VersionStats.h"
#include "quota/QuotaHolder.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarspar::tools {

/// One entry VM: the admission and load-balancing classes, combined as in the daemon's request
/// pipeline, with hedging added.
class ManagedVm final : public balance::ServingPermission {
public:
  ManagedVm(Simulation &simulation, uint32_t number);

  bool valid(core::Time) const override { return Alive; }
  void onRequest(const Request &request);
  /// Removes queued requests whose deadline has passed.
  void expire();
  /// Dispatches queued requests after the slot limits changed.
  void serveQueues();
  /// Fails the VM with all its open requests.
  void fail();

  void setTargets(absl::Span<const balance::TargetInfo> targets);
  /// Returns the targets that this VM knows to be drained.
  std::vector<core::TargetId> drainedTargets() const;
  std::optional<balance::SlotReport> slotReport(core::Term leader);
  /// Returns the request counts of the first service by version since the last call.
  std::vector<moves::VersionStats> takeStats();

  const core::VmId Id;
  const core::Incarnation Incarnation{1};
  bool Alive = true;
  quota::QuotaHolder Quota;
  balance::SlotHolder Slots;
  balance::TargetChooser Chooser;

private:
  struct Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;
  struct Pool {
    balance::FairQueue Queue;
    std::map<uint64_t, ExchangePtr> QueuedExchanges;
  };

  void admit(const ExchangePtr &exchange, const quota::Admission &admission);
  void enqueue(const ExchangePtr &exchange);
  void serve(const balance::PoolId &id, Pool &pool);
  void updateQueueLength(const balance::PoolId &id, const Pool &pool);
  void dispatch(const ExchangePtr &exchange, balance::HedgeAttempt attempt,
                const balance::Choice &choice);
  void onEnd(const ExchangePtr &exchange, balance::HedgeAttempt attempt,
             const balance::Choice &choice, balance::Outcome::Kind kind, core::Time sentAt);
  void onSuccess(const ExchangePtr &exchange, balance::HedgeAttempt attempt,
                 core::Duration latency);
  void onFailure(const ExchangePtr &exchange, balance::HedgeAttempt attempt,
                 const balance::Choice &choice, balance::Outcome::Kind kind);
  bool retry(const ExchangePtr &exchange, balance::HedgeAttempt attempt,
             balance::Outcome::Kind kind);
  void hedge(const ExchangePtr &exchange);
  void finish(const ExchangePtr &exchange, RequestOutcome outcome);
  void recordCounts(const ExchangePtr &exchange, const balance::Choice &choice,
                    balance::Outcome::Kind kind, core::Duration latency);
  const Service &serviceOf(const Exchange &exchange) const;

  Simulation &Sim;
  balance::RetryBudget Retries;
  balance::HedgePolicy Hedges;
  balance::CrashGuard Crashes;
  std::vector<balance::TargetInfo> Targets;
  std::map<balance::PoolId, Pool> Pools;
  std::map<uint64_t, ExchangePtr> OpenRequests;
  std::map<core::VersionId, moves::RequestCounts> VersionCounts;
  uint64_t Interval = 0;
};

} // namespace briarspar::tools
