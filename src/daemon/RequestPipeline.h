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

/// Processes callers' requests: routing, lease check, authentication, rate limiting, idempotency
/// claims, target selection, retries, hedging and refusals. All members are thread-safe. handle()
/// blocks until the request has been answered.
class RequestPipeline {
public:
  /// Requests the control thread to report crashes to the leader.
  using ReportCrashes = std::function<void()>;

  /// All references must outlive the pipeline.
  RequestPipeline(VmAgent &agent, SlotQueue &slots, ClaimBridge &claims,
                  forwarding::TargetClientPool &targets, const core::Clock &clock,
                  core::EventSink &events, observability::Metrics &metrics,
                  ReportCrashes reportCrashes);

  void handle(const httplib::Request &req, httplib::Response &res);

  /// Makes all new requests be refused with the outcome "not run". Requests in progress continue.
  void refuseNewRequests() { Refusing = true; }

  EventCounter &grants() { return Grants; }
  /// Counts the recorded crashes of this VM that all serving VMs know.
  EventCounter &crashAcks() { return CrashAcks; }

private:
  /// State of one request in the pipeline.
  struct Exchange {
    const httplib::Request *Req = nullptr;
    std::shared_ptr<const ServingState> State;
    const RouteView *Route = nullptr;
    core::CustomerId Customer;
    std::string Key;       ///< As sent by the caller. Must not be stored, logged or forwarded.
    std::string RequestId; ///< The caller's Idempotency-Key.
    uint64_t Fingerprint = 0;
    core::Time Arrived;
    core::Time Deadline;
  };

  /// Result of an attempt: the answer of a target, or the reason for its absence.
  struct AttemptResult {
    forwarding::ExchangeStatus Status = forwarding::ExchangeStatus::NotSent;
    forwarding::TargetResponse Answer;
    forwarding::TargetAddress Address;
    core::TargetId Target;      ///< Empty when no target was chosen.
    core::TargetId HedgeTarget; ///< Empty when no hedge was sent.
    /// Set when this VM itself refused to send the request.
    std::optional<forwarding::Refusal> Refused;
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
  /// Tries one target that is not in `exclude`. Waits for a slot only if `nothingSent`, that is, if
  /// no target received the request yet.
  AttemptResult attempt(Exchange &exchange, const std::vector<core::TargetId> &exclude,
                        bool nothingSent);
  std::optional<balance::Choice>
  chooseTarget(Exchange &exchange, const std::vector<core::TargetId> &exclude, bool nothingSent);
  /// Sends the request to the chosen target, releases the slot after the exchange and records the
  /// result. Refuses if `request` is null.
  AttemptResult exchangeWith(const Exchange &exchange, const balance::Choice &choice,
                             const forwarding::TargetRequest *request,
                             forwarding::Cancellation *cancellation);
  AttemptResult sendTo(const Exchange &exchange, const balance::Choice &choice,
                       const forwarding::TargetRequest *request,
                       forwarding::Cancellation *cancellation);
  /// Like exchangeWith(), but sends a hedge to a second target if the first is slow. Returns the
  /// first complete answer, or the combined result of both attempts.
  AttemptResult exchangeWithHedge(const Exchange &exchange, const balance::Choice &choice,
                                  const std::shared_ptr<const forwarding::TargetRequest> &request);
  AttemptResult awaitHedge(HedgedExchange &hedged, AttemptResult result);
  void runHedge(HedgedExchange &hedged);
  /// Returns the result that is more conclusive about whether the request ran. If an earlier target
  /// may have run the request, a connection refused by a later one does not change that.
  static AttemptResult combine(AttemptResult earlier, AttemptResult later);
  static bool isCompleteResponse(const AttemptResult &result);
  std::optional<forwarding::Refusal> checkBeforeSending(const Exchange &exchange) const;
  void recordResult(const Exchange &exchange, const balance::Choice &choice,
                    const AttemptResult &result, core::Duration latency);
  void resendOnFreshConnection(const Exchange &exchange, const forwarding::TargetRequest &request,
                               AttemptResult &result, forwarding::Cancellation *cancellation);
  bool reportCrash(uint64_t crash, core::Time deadline);
  /// Records and reports a crash if the attempt ended a target process. Returns the number of
  /// errors to count against the version, or nothing if no process ended.
  std::optional<uint32_t> reportIfCrash(const Exchange &exchange, const balance::Choice &choice,
                                        const AttemptResult &result);
  /// Returns the request in the form sent to targets, or null if its path contains a key.
  std::shared_ptr<const forwarding::TargetRequest> prepare(const Exchange &exchange) const;
  void setDeadline(const Exchange &exchange, forwarding::TargetRequest &request) const;
  forwarding::Refusal refusalOf(const Exchange &exchange, const AttemptResult &result) const;
  forwarding::Refusal refusalOf(const idempotency::CallerReply &reply) const;
  std::vector<std::string> otherVms(const ServingState &state) const;

  void answerLookup(const httplib::Request &req, httplib::Response &res);
  void write(const Exchange &exchange, const Result &result, httplib::Response &res);
  void writeRefusal(const Exchange &exchange, const forwarding::Refusal &refusal,
                    httplib::Response &res);

  VmAgent &Agent;
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
  HedgeScheduler HedgeThreads; ///< Must be last: its threads use the other members.
};

} // namespace briarspar::daemon
