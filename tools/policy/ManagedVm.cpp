#include "ManagedVm.h"

#include <algorithm>
#include <utility>

namespace briarspar::tools {

using balance::Choice;
using balance::HedgeAttempt;
using balance::Outcome;
using core::Duration;
using core::Time;

namespace {

/// As in the daemon's request pipeline.
constexpr uint32_t MaxAttempts = 3;

/// Weights follow the customers' shares.
constexpr double WeightOfAll = 100;

} // namespace

struct ManagedVm::Exchange {
  Request For;
  Time Deadline;
  balance::PoolId Pool;
  balance::HedgedRequest Hedged;
  std::vector<core::TargetId> Used;
  uint32_t Attempts = 0;
  uint64_t Legs[2] = {};
  bool Ended = false;
};

ManagedVm::ManagedVm(World &world, uint32_t number)
    : Id(vmId(number)), Quota({}, Id, Run), Slots(Id, Run, world.Clock, *this),
      Chooser(placeOfVm(number), Slots), W(world), Hedges(Retries), Crashes(number + 1) {
  for (const Service &service : W.Where.Services) {
    balance::FairQueue &queue = Pools[balance::PoolId(service.Name)].Queue;
    for (uint32_t c = 0; c < customerShares().size(); ++c)
      queue.setWeight(customerId(c), static_cast<uint32_t>(customerShares()[c] * WeightOfAll));
  }
}

void ManagedVm::setTargets(absl::Span<const balance::TargetInfo> targets) {
  Targets.assign(targets.begin(), targets.end());
  Chooser.setTargets(targets, W.Clock.now());
  Slots.setTargets(targets, VmCount);
}

std::vector<core::TargetId> ManagedVm::drained() const {
  std::vector<core::TargetId> ids;
  for (const balance::TargetInfo &target : Targets)
    if (target.Slots == 0)
      ids.push_back(target.Id);
  return ids;
}

std::optional<balance::SlotReport> ManagedVm::slotReport(core::Term leader) {
  std::optional<balance::SlotReport> report = Slots.tick(leader, W.Clock.now());
  if (report)
    for (const auto &[target, n] : report->Held)
      if (Chooser.isEjected(target))
        report->Avoided.insert(target);
  return report;
}

std::vector<moves::VersionStats> ManagedVm::takeStats() {
  std::vector<moves::VersionStats> all;
  ++Interval;
  for (const char *version : {"v1", "v2"}) {
    moves::VersionStats stats;
    stats.Source = Id;
    stats.SourceIncarnation = Run;
    stats.Interval = Interval;
    stats.Route = core::RouteId(W.Where.Services.front().Name);
    stats.Version = core::VersionId(version);
    stats.Counts = std::exchange(Counts[stats.Version], {});
    all.push_back(stats);
  }
  return all;
}

const Service &ManagedVm::serviceOf(const Exchange &exchange) const {
  return W.Where.Services[exchange.For.Service];
}

void ManagedVm::arrive(const Request &request) {
  auto exchange = std::make_shared<Exchange>();
  exchange->For = request;
  exchange->Deadline = request.Arrived + serviceOf(*exchange).Deadline;
  exchange->Pool = balance::PoolId(serviceOf(*exchange).Name);
  Open[request.Id] = exchange;
  admit(exchange, Quota.tryAdmit(customerId(request.Customer), W.Clock.now()));
}

void ManagedVm::admit(const ExchangePtr &exchange, const quota::Admission &admission) {
  if (admission.Result == quota::Admission::Refused)
    return end(exchange, Ending::RateRefused);
  if (admission.Result == quota::Admission::Admitted)
    return enqueue(exchange);
  W.after({std::max<int64_t>(1, admission.Hint.Ms)}, [this, exchange] {
    const core::CustomerId customer = customerId(exchange->For.Customer);
    if (Alive)
      admit(exchange, Quota.retryAdmit(customer, W.Clock.now(), exchange->For.Arrived));
  });
}

void ManagedVm::enqueue(const ExchangePtr &exchange) {
  const core::CustomerId customer = customerId(exchange->For.Customer);
  Pool &pool = Pools.at(exchange->Pool);
  Retries.onRequest();
  if (pool.Queue.size() == 0)
    if (std::optional<Choice> choice = Chooser.choose({exchange->Pool, {}}, W.Clock.now())) {
      pool.Queue.recordImmediate(customer);
      return dispatch(exchange, HedgeAttempt::Primary, *choice);
    }
  balance::PushResult pushed =
      pool.Queue.push({exchange->For.Id, customer, exchange->Deadline}, W.Clock.now());
  if (pushed.Evicted) {
    ExchangePtr evicted = pool.Waiting.at(*pushed.Evicted);
    pool.Waiting.erase(*pushed.Evicted);
    end(evicted, Ending::NoCapacity);
  }
  if (!pushed.Queued)
    return end(exchange, Ending::NoCapacity);
  pool.Waiting[exchange->For.Id] = exchange;
  waitingChanged(exchange->Pool, pool);
}

void ManagedVm::waitingChanged(const balance::PoolId &id, const Pool &pool) {
  Slots.setWaiting(id, static_cast<uint32_t>(pool.Queue.size()));
}

void ManagedVm::expire() {
  for (auto &[id, pool] : Pools) {
    if (pool.Waiting.empty())
      continue;
    for (const balance::QueuedRequest &waiting : pool.Queue.expire(W.Clock.now())) {
      end(pool.Waiting.at(waiting.Handle), Ending::NoCapacity);
      pool.Waiting.erase(waiting.Handle);
    }
    waitingChanged(id, pool);
  }
}

void ManagedVm::serveAll() {
  for (auto &[id, pool] : Pools)
    serve(id, pool);
}

void ManagedVm::serve(const balance::PoolId &id, Pool &pool) {
  while (Alive && pool.Queue.size() > 0) {
    std::optional<Choice> choice = Chooser.choose({id, {}}, W.Clock.now());
    if (!choice)
      return;
    std::optional<balance::QueuedRequest> next = pool.Queue.pop(W.Clock.now());
    if (!next) {
      Slots.release(choice->Target);
      Chooser.record({choice->Target, Outcome::Cancelled, {}}, W.Clock.now());
      return;
    }
    ExchangePtr exchange = pool.Waiting.at(next->Handle);
    pool.Waiting.erase(next->Handle);
    waitingChanged(id, pool);
    dispatch(exchange, HedgeAttempt::Primary, *choice);
  }
}

void ManagedVm::dispatch(const ExchangePtr &exchange, HedgeAttempt leg, const Choice &choice) {
  const Time sentAt = W.Clock.now();
  exchange->Used.push_back(choice.Target);
  exchange->Legs[static_cast<size_t>(leg)] =
      W.send(exchange->For, choice.Target, exchange->Attempts++,
             [this, exchange, leg, choice, sentAt](Outcome::Kind kind) {
               onEnd(exchange, leg, choice, kind, sentAt);
             });
  if (leg == HedgeAttempt::Hedge || exchange->Attempts > 1)
    return;
  const core::RouteId route(serviceOf(*exchange).Name);
  if (std::optional<Duration> delay = Hedges.delay(route, serviceOf(*exchange).Idempotent))
    W.after(*delay, [this, exchange] { hedge(exchange); });
}

void ManagedVm::hedge(const ExchangePtr &exchange) {
  if (!Alive || exchange->Ended || Pools.at(exchange->Pool).Queue.size() != 0)
    return;
  std::optional<Choice> choice = Chooser.choose({exchange->Pool, exchange->Used}, W.Clock.now());
  if (!choice)
    return;
  if (Hedges.tryHedge(exchange->Hedged, true)) {
    ++W.Result.Hedges;
    return dispatch(exchange, HedgeAttempt::Hedge, *choice);
  }
  Slots.release(choice->Target);
  Chooser.record({choice->Target, Outcome::Cancelled, {}}, W.Clock.now());
}

void ManagedVm::onEnd(const ExchangePtr &exchange, HedgeAttempt leg, const Choice &choice,
                      Outcome::Kind kind, Time sentAt) {
  if (!Alive) {
    W.Result.LateAnswers += kind == Outcome::Good ? 1 : 0;
    return;
  }
  const Time now = W.Clock.now();
  Slots.release(choice.Target);
  const bool isLate = kind == Outcome::Good && now > exchange->Deadline;
  if (isLate)
    Chooser.record({choice.Target, Outcome::TimedOut, exchange->Deadline - sentAt}, now);
  else
    Chooser.record({choice.Target, kind, now - sentAt}, now);
  count(exchange, choice, kind, now - sentAt);
  if (kind == Outcome::Good)
    onGood(exchange, leg, now - sentAt);
  else if (kind == Outcome::Cancelled)
    exchange->Hedged.failed(leg);
  else
    onFailure(exchange, leg, choice, kind);
  serve(exchange->Pool, Pools.at(exchange->Pool));
}

void ManagedVm::onGood(const ExchangePtr &exchange, HedgeAttempt leg, Duration latency) {
  Crashes.recordSuccess(exchange->For.Id);
  if (leg == HedgeAttempt::Primary)
    Hedges.record(core::RouteId(serviceOf(*exchange).Name), latency);
  const balance::HedgedRequest::AnswerAction verdict = exchange->Hedged.answered(leg);
  const bool isLate = W.Clock.now() > exchange->Deadline;
  W.Result.LateAnswers += !verdict.Deliver || isLate ? 1 : 0;
  if (verdict.CancelOther)
    W.cancel(exchange->Legs[leg == HedgeAttempt::Primary ? 1 : 0]);
  if (verdict.Deliver)
    end(exchange, isLate ? Ending::Lost : Ending::Answered);
}

void ManagedVm::onFailure(const ExchangePtr &exchange, HedgeAttempt leg, const Choice &choice,
                          Outcome::Kind kind) {
  if (kind == Outcome::ConnectionLost)
    Crashes.recordCrash(exchange->For.Id, choice.Target, choice.Version, W.Clock.now());
  if (retry(exchange, leg, kind) || !exchange->Hedged.failed(leg))
    return;
  // A request that may run once and was not sent has not run.
  end(exchange, kind == Outcome::ConnectFailed ? Ending::NoCapacity : Ending::Failed);
}

bool ManagedVm::retry(const ExchangePtr &exchange, HedgeAttempt leg, Outcome::Kind kind) {
  const bool mayRetry = kind == Outcome::ConnectFailed || kind == Outcome::ConnectionLost;
  if (!mayRetry || exchange->Ended || exchange->Attempts >= MaxAttempts ||
      !Crashes.admits(exchange->For.Id, W.Clock.now()))
    return false;
  if (!Retries.tryAcquire(serviceOf(*exchange).Idempotent))
    return false;
  std::optional<Choice> choice = Chooser.choose({exchange->Pool, exchange->Used}, W.Clock.now());
  if (!choice) {
    Retries.refund();
    return false;
  }
  ++W.Result.Retries;
  dispatch(exchange, leg, *choice);
  return true;
}

void ManagedVm::end(const ExchangePtr &exchange, Ending ending) {
  if (std::exchange(exchange->Ended, true))
    return;
  Open.erase(exchange->For.Id);
  W.Result.ended(exchange->For, ending, W.Clock.now());
}

void ManagedVm::count(const ExchangePtr &exchange, const Choice &choice, Outcome::Kind kind,
                      Duration latency) {
  if (exchange->For.Service != 0 || kind == Outcome::Cancelled)
    return;
  moves::RequestCounts &counts = Counts[choice.Version];
  ++counts.Requests;
  if (kind == Outcome::Good)
    ++counts.Latency[moves::latencyBucket(latency.Ms)];
  else
    ++counts.Errors;
}

void ManagedVm::lose() {
  Alive = false;
  std::map<uint64_t, ExchangePtr> open = std::exchange(Open, {});
  for (const auto &[id, exchange] : open)
    end(exchange, Ending::Lost);
}

} // namespace briarspar::tools
