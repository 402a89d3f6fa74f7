#include "daemon/RequestPipeline.h"

#include <array>
#include <condition_variable>
#include <mutex>

namespace briarspar::daemon {

namespace {

using forwarding::ExchangeStatus;

/// Ranks results of attempts by how conclusive they are about whether a target ran the request: not
/// sent, unknown, ran without a usable answer, answered.
int executionCertainty(ExchangeStatus status) {
  switch (status) {
  case ExchangeStatus::NotSent:
    return 0;
  case ExchangeStatus::ConnectionLost:
  case ExchangeStatus::TimedOut:
  case ExchangeStatus::Canceled:
    return 1;
  case ExchangeStatus::TooLarge:
    return 2;
  case ExchangeStatus::Answered:
    return 3;
  }
  return 1;
}

} // namespace

/// A first exchange and its hedge, shared by the caller's thread and a thread of the hedge
/// scheduler.
struct RequestPipeline::HedgedExchange {
  Exchange Request; ///< Req is null: the HTTP request may not outlive handle().
  std::shared_ptr<const forwarding::TargetRequest> ToTarget;
  core::TargetId FirstTarget;
  balance::HedgedRequest State;
  forwarding::Cancellation CancelFirst;
  forwarding::Cancellation CancelHedge;
  std::mutex Mutex;
  std::condition_variable Ended;
  std::optional<AttemptResult> HedgeResult; ///< Set before State is updated.
};

RequestPipeline::AttemptResult RequestPipeline::combine(AttemptResult earlier,
                                                        AttemptResult later) {
  if (later.Refused)
    return earlier;
  if (earlier.Refused || executionCertainty(later.Status) >= executionCertainty(earlier.Status))
    return later;
  return earlier;
}

RequestPipeline::AttemptResult RequestPipeline::exchangeWithHedge(
    const Exchange &exchange, const balance::Choice &choice,
    const std::shared_ptr<const forwarding::TargetRequest> &request) {
  const core::RouteId &route = exchange.Route->Record.Id;
  const core::Time sentAt = Clock.now();
  auto hedged = std::make_shared<HedgedExchange>();
  std::optional<core::Duration> delay = Hedges.delay(route, /*idempotent=*/true);
  // A request that has crashed a target process may crash at most two, so it is not sent to a
  // second target while it runs on the first.
  const bool mayHedge = delay && request && !Agent.crashes().hasCrashed(exchange.Fingerprint);
  HedgeScheduler::Ticket ticket;
  if (mayHedge) {
    hedged->Request = exchange;
    hedged->Request.Req = nullptr;
    hedged->ToTarget = request;
    hedged->FirstTarget = choice.Target;
    ticket = HedgeThreads.schedule(sentAt + *delay, [this, hedged] { runHedge(*hedged); });
  }
  AttemptResult result = exchangeWith(exchange, choice, request.get(), &hedged->CancelFirst);
  if (mayHedge)
    HedgeThreads.remove(ticket);
  const core::Duration latency = Clock.now() - sentAt;
  const bool isCanceled = result.Status == ExchangeStatus::Canceled;
  if (isCanceled || result.Status == ExchangeStatus::Answered ||
      result.Status == ExchangeStatus::TimedOut)
    Hedges.record(route, latency);
  // The time until the cancellation is a lower bound of the latency. Without it a version whose
  // slow requests are all hedged would be evaluated by its fast ones only.
  if (isCanceled)
    Agent.stats().record(route, choice.Version, VersionOutcome::Good, latency);
  return awaitHedge(*hedged, std::move(result));
}

RequestPipeline::AttemptResult RequestPipeline::awaitHedge(HedgedExchange &hedged,
                                                           AttemptResult result) {
  bool isLast = false;
  if (isCompleteAnswer(result)) {
    const balance::HedgedRequest::AnswerAction action =
        hedged.State.answered(balance::HedgeAttempt::Primary);
    if (action.CancelOther)
      hedged.CancelHedge.cancel();
    if (action.Deliver)
      return result;
  } else {
    isLast = hedged.State.failed(balance::HedgeAttempt::Primary);
  }
  std::unique_lock<std::mutex> lock(hedged.Mutex);
  if (!isLast)
    hedged.Ended.wait(lock, [&] { return hedged.HedgeResult.has_value(); });
  if (!hedged.HedgeResult)
    return result;
  const core::TargetId first = result.Target;
  const core::TargetId second = hedged.HedgeResult->Target;
  AttemptResult both = combine(std::move(result), *std::move(hedged.HedgeResult));
  both.Target = first;
  both.HedgeTarget = second;
  return both;
}

void RequestPipeline::runHedge(HedgedExchange &hedged) {
  const std::array<core::TargetId, 1> exclude{hedged.FirstTarget};
  const balance::PoolId pool(hedged.Request.Route->Record.Id.Value);
  std::optional<balance::Choice> choice = Slots.tryAcquire(pool, exclude);
  if (!choice)
    return;
  if (!Hedges.tryHedge(hedged.State, /*idempotent=*/true)) {
    Slots.release(pool, choice->Target);
    Agent.chooser().record({choice->Target, balance::Outcome::Cancelled, {}}, Clock.now());
    return;
  }
  forwarding::TargetRequest request = *hedged.ToTarget;
  setDeadline(hedged.Request, request);
  AttemptResult result = exchangeWith(hedged.Request, *choice, &request, &hedged.CancelHedge);
  const bool isComplete = isCompleteAnswer(result);
  {
    std::lock_guard<std::mutex> lock(hedged.Mutex);
    hedged.HedgeResult = std::move(result);
  }
  hedged.Ended.notify_one();
  if (!isComplete)
    hedged.State.failed(balance::HedgeAttempt::Hedge);
  else if (hedged.State.answered(balance::HedgeAttempt::Hedge).CancelOther)
    hedged.CancelFirst.cancel();
}

} // namespace briarspar::daemon
