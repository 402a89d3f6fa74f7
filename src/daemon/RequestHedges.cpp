#include "daemon/RequestPipeline.h"

#include <array>
#include <condition_variable>
#include <mutex>

namespace briarspar::daemon {

namespace {

using forwarding::ExchangeStatus;

/// Orders the ends of attempts by what they say about whether a target ran the request: nothing
/// sent, unknown, ran without a usable answer, answered.
int certaintyOfRun(ExchangeStatus status) {
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

/// A first exchange and its hedge, shared by the caller's thread and a thread of the hedge pool.
struct RequestPipeline::HedgedExchange {
  Exchange Request; ///< Without the HTTP request, which does not outlive the caller's thread.
  std::shared_ptr<const forwarding::TargetRequest> ToTarget;
  core::TargetId First;
  balance::HedgedRequest Race;
  forwarding::Cancellation CancelFirst;
  forwarding::Cancellation CancelHedge;
  std::mutex Mutex;
  std::condition_variable Ended;
  std::optional<AttemptResult> HedgeEnd; ///< Set before the race learns of the end.
};

RequestPipeline::AttemptResult RequestPipeline::combine(AttemptResult earlier,
                                                        AttemptResult later) {
  if (later.Refused)
    return earlier;
  if (earlier.Refused || certaintyOfRun(later.Status) >= certaintyOfRun(earlier.Status))
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
  // A request that has ended a target process may end two at most, so it gets no second target
  // while it runs on the first.
  const bool mayHedge = delay && request && !Side.crashes().hasCrashed(exchange.Fingerprint);
  HedgeScheduler::Ticket ticket;
  if (mayHedge) {
    hedged->Request = exchange;
    hedged->Request.Req = nullptr;
    hedged->ToTarget = request;
    hedged->First = choice.Target;
    ticket = HedgeThreads.schedule(sentAt + *delay, [this, hedged] { runHedge(*hedged); });
  }
  AttemptResult end = exchangeWith(exchange, choice, request.get(), &hedged->CancelFirst);
  if (mayHedge)
    HedgeThreads.remove(ticket);
  const core::Duration latency = Clock.now() - sentAt;
  const bool isCanceled = end.Status == ExchangeStatus::Canceled;
  if (isCanceled || end.Status == ExchangeStatus::Answered ||
      end.Status == ExchangeStatus::TimedOut)
    Hedges.record(route, latency);
  // The time until the cancellation is a lower bound of the latency. Without it a version whose
  // slow requests are all hedged would be judged by its fast ones.
  if (isCanceled)
    Side.stats().record(route, choice.Version, VersionOutcome::Good, latency);
  return settle(*hedged, std::move(end));
}

RequestPipeline::AttemptResult RequestPipeline::settle(HedgedExchange &hedged, AttemptResult end) {
  bool isLast = false;
  if (isCompleteResponse(end)) {
    const balance::HedgedRequest::AnswerAction verdict =
        hedged.Race.answered(balance::HedgeAttempt::Primary);
    if (verdict.CancelOther)
      hedged.CancelHedge.cancel();
    if (verdict.Deliver)
      return end;
  } else {
    isLast = hedged.Race.failed(balance::HedgeAttempt::Primary);
  }
  std::unique_lock<std::mutex> lock(hedged.Mutex);
  if (!isLast)
    hedged.Ended.wait(lock, [&] { return hedged.HedgeEnd.has_value(); });
  if (!hedged.HedgeEnd)
    return end;
  const core::TargetId first = end.Target;
  const core::TargetId second = hedged.HedgeEnd->Target;
  AttemptResult both = combine(std::move(end), *std::move(hedged.HedgeEnd));
  both.Target = first;
  both.HedgeTarget = second;
  return both;
}

void RequestPipeline::runHedge(HedgedExchange &hedged) {
  const std::array<core::TargetId, 1> exclude{hedged.First};
  const balance::PoolId pool(hedged.Request.Route->Record.Id.Value);
  std::optional<balance::Choice> choice = Slots.tryAcquire(pool, exclude);
  if (!choice)
    return;
  if (!Hedges.tryHedge(hedged.Race, /*idempotent=*/true)) {
    Slots.release(pool, choice->Target);
    Side.chooser().record({choice->Target, balance::Outcome::Cancelled, {}}, Clock.now());
    return;
  }
  forwarding::TargetRequest request = *hedged.ToTarget;
  setDeadline(hedged.Request, request);
  AttemptResult end = exchangeWith(hedged.Request, *choice, &request, &hedged.CancelHedge);
  const bool isWhole = isCompleteResponse(end);
  {
    std::lock_guard<std::mutex> lock(hedged.Mutex);
    hedged.HedgeEnd = std::move(end);
  }
  hedged.Ended.notify_one();
  if (!isWhole)
    hedged.Race.failed(balance::HedgeAttempt::Hedge);
  else if (hedged.Race.answered(balance::HedgeAttempt::Hedge).CancelOther)
    hedged.CancelFirst.cancel();
}

} // namespace briarspar::daemon
