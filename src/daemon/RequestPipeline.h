#pragma once

#include "balance/HedgePolicy.h"
#include "balance/RetryBudget.h"
#include "daemon/ClaimBridge.h"
#include "daemon/EventCounter.h"
#include "daemon/HedgeScheduler.h"
#include "daemon/SlotQueue.h"
#include "daemon/VmAgent.h"
#include "forwarding/Problem.h"
#include "forwarding/TargetClient.h"
#include "observability/Metrics.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briarspar::daemon {

/// Takes one caller's request from its first byte to its answer: route, lease, key, rate, claim,
/// slot, target, retries and refusals. Every member is safe to call from any thread; handle()
/// blocks for the time of the request.
class RequestPipeline {
public:
  /// Asks the control thread to report crashes to the leader.
  using ReportCrashes = std::function<void()>;

  /// All references must outlive the pipeline.
  RequestPipeline(VmAgent &side, SlotQueue &slots, ClaimBridge &claims,
                  forwarding::TargetClientPool &targets, const core::Clock &clock,
                  core::EventSink &events, observability::Metrics &metrics,
                  ReportCrashes reportCrashes);

  void handle(const httplib::Request &req, httplib::Response &res);

  /// From now on new requests are refused as "not run"; those in progress end normally.
  void refuseNewRequests() { Refusing = true; }

  EventCounter &grants() { return Grants; }
  EventCounter &crashAcks() { return CrashAcks; }

private:
  /// One request on its way through the pipeline.
  struct Exchange {
    const httplib::Request *Req = nullptr;
    std::shared_ptr<const ServingState> State;
    const RouteView *Route = nullptr;
    core::CustomerId Customer;
    std::string Key;       ///< As presented; never stored, logged or forwarded.
    std::string RequestId; ///< Idempotency-Key of the caller.
    uint64_t Fingerprint = 0;
    core::Time Arrived;
    core::Time Deadline;
  };

  /// The answer of a target, or why there is none.
  struct AttemptResult {
    forwarding::ExchangeStatus Status = forwarding::ExchangeStatus::NotSent;
    forwarding::TargetResponse Answer;
    forwarding::TargetAddress Address;
    core::TargetId Target;      ///< Empty when no target was chosen.
    core::TargetId HedgeTarget; ///< Empty when no hedge was sent.
    std::optional<forwarding::Refusal>
        Refused; ///< Set when nothing was sent for a reason of our own.
  };

  struct HedgedExchange;

  using Step = std::optional<forwarding::Refusal> (RequestPipeline::*)(Exchange &);
  using Result = std::variant<forwarding::TargetResponse, forwarding::Refusal>;

  std::optional<forwarding::Refusal> checkRoute(Exchange &exchange);
  std::optional<forwarding::Refusal> checkLease(Exchange &exchange);
  std::optional<forwarding::Refusal> checkKey(Exchange &exchange);
  std::optional<forwarding::Refusal> checkRequestId(Exchange &exchange);
  std::optional<forwarding::Refusal> checkQuarantine(Exchange &exchange);
  std::optional<forwarding::Refusal> admitByRate(Exchange &exchange);

  Result run(Exchange &exchange);
  Result runIdempotent(Exchange &exchange);
  Result runNonIdempotent(Exchange &exchange);
  /// Tries one target other than `exclude`. A request that was sent nowhere yet may wait for a
  /// slot.
  AttemptResult attempt(Exchange &exchange, const std::vector<core::TargetId> &exclude,
                        bool nothingSent);
  std::optional<balance::Choice>
  chooseTarget(Exchange &exchange, const std::vector<core::TargetId> &exclude, bool nothingSent);
  /// Sends the request to the chosen target, gives the slot back when the exchange has ended and
  /// records the end. A null request is refused.
  AttemptResult exchangeWith(const Exchange &exchange, const balance::Choice &choice,
                             const forwarding::TargetRequest *request,
                             forwarding::Cancellation *cancellation);
  AttemptResult sendTo(const Exchange &exchange, const balance::Choice &choice,
                       const forwarding::TargetRequest *request,
                       forwarding::Cancellation *cancellation);
  /// As exchangeWith(); a second target gets the request when the first is slow. Returns the first
  /// whole answer, or the end of both that is closest to an answer.
  AttemptResult exchangeWithHedge(const Exchange &exchange, const balance::Choice &choice,
                                  const std::shared_ptr<const forwarding::TargetRequest> &request);
  AttemptResult settle(HedgedExchange &hedged, AttemptResult end);
  void runHedge(HedgedExchange &hedged);
  /// Returns the end that says more about whether the request ran. A connection that a later target
  /// refuses does not take back that an earlier one may have run the request.
  static AttemptResult combine(AttemptResult earlier, AttemptResult later);
  static bool isCompleteResponse(const AttemptResult &end);
  std::optional<forwarding::Refusal> checkBeforeSending(const Exchange &exchange) const;
  void recordResult(const Exchange &exchange, const balance::Choice &choice,
                    const AttemptResult &end, core::Duration latency);
  /// Returns how many errors count against the version now, or nothing when no target process
  /// ended.
  void resendOnFreshConnection(const Exchange &exchange, const forwarding::TargetRequest &request,
                               AttemptResult &end, forwarding::Cancellation *cancellation);
  bool reportCrash(uint64_t seen, core::Time deadline);
  std::optional<uint32_t> reportIfCrash(const Exchange &exchange, const balance::Choice &choice,
                                        const AttemptResult &end);
  /// Returns the request as a target gets it; null when its path holds a key.
  std::shared_ptr<const forwarding::TargetRequest> prepare(const Exchange &exchange) const;
  void setDeadline(const Exchange &exchange, forwarding::TargetRequest &request) const;
  forwarding::Refusal refusalOf(const Exchange &exchange, const AttemptResult &end) const;
  forwarding::Refusal refusalOf(const idempotency::CallerReply &reply) const;
  std::vector<std::string> otherVms(const ServingState &state) const;

  void answerLookup(const httplib::Request &req, httplib::Response &res);
  void write(const Exchange &exchange, const Result &result, httplib::Response &res);
  void writeRefusal(const Exchange &exchange, const forwarding::Refusal &refusal,
                    httplib::Response &res);

  VmAgent &Side;
  SlotQueue &Slots;
  ClaimBridge &Claims;
  forwarding::TargetClientPool &Targets;
  const core::Clock &Clock;
  core::EventSink &Events;
  observability::Metrics &Metrics;
  ReportCrashes RequestCrashReport;
  balance::RetryBudget Retries;
  balance::HedgePolicy Hedges{Retries};
  EventCounter Grants;
  EventCounter CrashAcks;
  std::atomic<bool> Refusing{false};
  HedgeScheduler HedgeThreads; ///< Last: its threads use the other members.
};

} // namespace briarspar::daemon
