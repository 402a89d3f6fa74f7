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

/// Same limit as in the daemon's request pipeline.
constexpr uint32_t MaxAttempts = 3;

/// The queue weights of the customers are proportional to their traffic and add up to this.
constexpr double TotalWeight = 100;

} // namespace

struct ManagedVm::Exchange {
  Request CallerRequest;
  Time Deadline;
  balance::PoolId Pool;
  balance::HedgedRequest Hedged;
  std::vector<core::TargetId> TriedTargets;
  uint32_t Attempts = 0;
  uint64_t AttemptIds[2] = {};
  bool Ended = false;
};

ManagedVm::ManagedVm(Simulation &simulation, uint32_t number)
    : Id(vmId(number)), Quota({}, Id, Incarnation), Slots(Id, Incarnation, simulation.Clock, *this),
      Chooser(localityOfVm(number), Slots), Sim(simulation), Hedges(Retries), Crashes(number + 1) {
  for (const Service &service : Sim.CurrentDeployment.Services) {
    balance::FairQueue &queue = Pools[balance::PoolId(service.Name)].Queue;
    for (uint32_t c = 0; c < customerShares().size(); ++c)
      queue.setWeight(customerId(c), static_cast<uint32_t>(customerShares()[c] * TotalWeight));
  }
}

void ManagedVm::setTargets(absl::Span<const balance::TargetInfo> targets) {
  Targets.assign(targets.begin(), targets.end());
  Chooser.setTargets(targets, Sim.Clock.now());
  Slots.setTargets(targets, VmCount);
}

std::vector<core::TargetId> ManagedVm::drainedTargets() const {
  std::vector<core::TargetId> ids;
  for (const balance::TargetInfo &target : Targets)
    if (target.Slots == 0)
      ids.push_back(target.Id);
  return ids;
}

std::optional<balance::SlotReport> ManagedVm::slotReport(core::Term leader) {
  std::optional<balance::SlotReport> report = Slots.tick(leader, Sim.Clock.now());
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
    stats.SourceIncarnation = Incarnation;
    stats.Interval = Interval;
    stats.Route = core::RouteId(Sim.CurrentDeployment.Services.front().Name);
    stats.Version = core::VersionId(version);
    stats.Counts = std::exchange(VersionCounts[stats.Version], {});
    all.push_back(stats);
  }
  return all;
}

const Service &ManagedVm::serviceOf(const Exchange &exchange) const {
  return Sim.CurrentDeployment.Services[exchange.CallerRequest.Service];
}

void ManagedVm::onRequest(const Request &request) {
  auto exchange = std::make_shared<Exchange>();
  exchange->CallerRequest = request;
  exchange->Deadline = request.Arrived + serviceOf(*exchange).Deadline;
  exchange->Pool = balance::PoolId(serviceOf(*exchange).Name);
  OpenRequests[request.Id] = exchange;
  admit(exchange, Quota.tryAdmit(customerId(request.Customer), Sim.Clock.now()));
}

void ManagedVm::admit(const ExchangePtr &exchange, const quota::Admission &admission) {
  if (admission.Result == quota::Admission::Refused)
    return finish(exchange, RequestOutcome::RateRefused);
  if (admission.Result == quota::Admission::Admitted)
    return enqueue(exchange);
  Sim.schedule({std::max<int64_t>(1, admission.Hint.Ms)}, [this, exchange] {
    const core::CustomerId customer = customerId(exchange->CallerRequest.Customer);
    if (Alive)
      admit(exchange, Quota.retryAdmit(customer, Sim.Clock.now(), exchange->CallerRequest.Arrived));
  });
}

void ManagedVm::enqueue(const ExchangePtr &exchange) {
  const core::CustomerId customer = customerId(exchange->CallerRequest.Customer);
  Pool &pool = Pools.at(exchange->Pool);
  Retries.onRequest();
  if (pool.Queue.size() == 0)
    if (std::optional<Choice> choice = Chooser.choose({exchange->Pool, {}}, Sim.Clock.now())) {
      pool.Queue.recordImmediate(customer);
      return dispatch(exchange, HedgeAttempt::Primary, *choice);
    }
  balance::PushResult pushed =
      pool.Queue.push({exchange->CallerRequest.Id, customer, exchange->Deadline}, Sim.Clock.now());
  if (pushed.Evicted) {
    ExchangePtr evicted = pool.QueuedExchanges.at(*pushed.Evicted);
    pool.QueuedExchanges.erase(*pushed.Evicted);
    finish(evicted, RequestOutcome::NoCapacity);
  }
  if (!pushed.Queued)
    return finish(exchange, RequestOutcome::NoCapacity);
  pool.QueuedExchanges[exchange->CallerRequest.Id] = exchange;
  updateQueueLength(exchange->Pool, pool);
}

void ManagedVm::updateQueueLength(const balance::PoolId &id, const Pool &pool) {
  Slots.setWaiting(id, static_cast<uint32_t>(pool.Queue.size()));
}

void ManagedVm::expire() {
  for (auto &[id, pool] : Pools) {
    if (pool.QueuedExchanges.empty())
      continue;
    for (const balance::QueuedRequest &waiting : pool.Queue.expire(Sim.Clock.now())) {
      finish(pool.QueuedExchanges.at(waiting.Handle), RequestOutcome::NoCapacity);
      pool.QueuedExchanges.erase(waiting.Handle);
    }
    updateQueueLength(id, pool);
  }
}

void ManagedVm::serveQueues() {
  for (auto &[id, pool] : Pools)
    serve(id, pool);
}

void ManagedVm::serve(const balance::PoolId &id, Pool &pool) {
  while (Alive && pool.Queue.size() > 0) {
    std::optional<Choice> choice = Chooser.choose({id, {}}, Sim.Clock.now());
    if (!choice)
      return;
    std::optional<balance::QueuedRequest> next = pool.Queue.pop(Sim.Clock.now());
    if (!next) {
      Slots.release(choice->Target);
      Chooser.record({choice->Target, Outcome::Cancelled, {}}, Sim.Clock.now());
      return;
    }
    ExchangePtr exchange = pool.QueuedExchanges.at(next->Handle);
    pool.QueuedExchanges.erase(next->Handle);
    updateQueueLength(id, pool);
    dispatch(exchange, HedgeAttempt::Primary, *choice);
  }
}

void ManagedVm::dispatch(const ExchangePtr &exchange, HedgeAttempt attempt, const Choice &choice) {
  const Time sentAt = Sim.Clock.now();
  exchange->TriedTargets.push_back(choice.Target);
  exchange->AttemptIds[static_cast<size_t>(attempt)] =
      Sim.send(exchange->CallerRequest, choice.Target, exchange->Attempts++,
               [this, exchange, attempt, choice, sentAt](Outcome::Kind kind) {
                 onEnd(exchange, attempt, choice, kind, sentAt);
               });
  if (attempt == HedgeAttempt::Hedge || exchange->Attempts > 1)
    return;
  const core::RouteId route(serviceOf(*exchange).Name);
  if (std::optional<Duration> delay = Hedges.delay(route, serviceOf(*exchange).Idempotent))
    Sim.schedule(*delay, [this, exchange] { hedge(exchange); });
}

void ManagedVm::hedge(const ExchangePtr &exchange) {
  if (!Alive || exchange->Ended || Pools.at(exchange->Pool).Queue.size() != 0)
    return;
  std::optional<Choice> choice =
      Chooser.choose({exchange->Pool, exchange->TriedTargets}, Sim.Clock.now());
  if (!choice)
    return;
  if (Hedges.tryHedge(exchange->Hedged, true)) {
    ++Sim.Result.Hedges;
    return dispatch(exchange, HedgeAttempt::Hedge, *choice);
  }
  Slots.release(choice->Target);
  Chooser.record({choice->Target, Outcome::Cancelled, {}}, Sim.Clock.now());
}

void ManagedVm::onEnd(const ExchangePtr &exchange, HedgeAttempt attempt, const Choice &choice,
                      Outcome::Kind kind, Time sentAt) {
  if (!Alive) {
    Sim.Result.UnusedAnswers += kind == Outcome::Good ? 1 : 0;
    return;
  }
  const Time now = Sim.Clock.now();
  Slots.release(choice.Target);
  const bool isLate = kind == Outcome::Good && now > exchange->Deadline;
  if (isLate)
    Chooser.record({choice.Target, Outcome::TimedOut, exchange->Deadline - sentAt}, now);
  else
    Chooser.record({choice.Target, kind, now - sentAt}, now);
  recordCounts(exchange, choice, kind, now - sentAt);
  if (kind == Outcome::Good)
    onSuccess(exchange, attempt, now - sentAt);
  else if (kind == Outcome::Cancelled)
    exchange->Hedged.failed(attempt);
  else
    onFailure(exchange, attempt, choice, kind);
  serve(exchange->Pool, Pools.at(exchange->Pool));
}

void ManagedVm::onSuccess(const ExchangePtr &exchange, HedgeAttempt attempt, Duration latency) {
  Crashes.recordSuccess(exchange->CallerRequest.Id);
  if (attempt == HedgeAttempt::Primary)
    Hedges.record(core::RouteId(serviceOf(*exchange).Name), latency);
  const balance::HedgedRequest::AnswerAction action = exchange->Hedged.answered(attempt);
  const bool isLate = Sim.Clock.now() > exchange->Deadline;
  Sim.Result.UnusedAnswers += !action.Deliver || isLate ? 1 : 0;
  if (action.CancelOther)
    Sim.cancel(exchange->AttemptIds[attempt == HedgeAttempt::Primary ? 1 : 0]);
  if (action.Deliver)
    finish(exchange, isLate ? RequestOutcome::Lost : RequestOutcome::Answered);
}

void ManagedVm::onFailure(const ExchangePtr &exchange, HedgeAttempt attempt, const Choice &choice,
                          Outcome::Kind kind) {
  if (kind == Outcome::ConnectionLost)
    Crashes.recordCrash(exchange->CallerRequest.Id, choice.Target, choice.Version, Sim.Clock.now());
  if (retry(exchange, attempt, kind) || !exchange->Hedged.failed(attempt))
    return;
  // A request whose connection failed was never sent, so it has not run.
  finish(exchange,
         kind == Outcome::ConnectFailed ? RequestOutcome::NoCapacity : RequestOutcome::Failed);
}

bool ManagedVm::retry(const ExchangePtr &exchange, HedgeAttempt attempt, Outcome::Kind kind) {
  const bool mayRetry = kind == Outcome::ConnectFailed || kind == Outcome::ConnectionLost;
  if (!mayRetry || exchange->Ended || exchange->Attempts >= MaxAttempts ||
      !Crashes.admits(exchange->CallerRequest.Id, Sim.Clock.now()))
    return false;
  if (!Retries.tryAcquire(serviceOf(*exchange).Idempotent))
    return false;
  std::optional<Choice> choice =
      Chooser.choose({exchange->Pool, exchange->TriedTargets}, Sim.Clock.now());
  if (!choice) {
    Retries.refund();
    return false;
  }
  ++Sim.Result.Retries;
  dispatch(exchange, attempt, *choice);
  return true;
}

void ManagedVm::finish(const ExchangePtr &exchange, RequestOutcome outcome) {
  if (std::exchange(exchange->Ended, true))
    return;
  OpenRequests.erase(exchange->CallerRequest.Id);
  Sim.Result.recordOutcome(exchange->CallerRequest, outcome, Sim.Clock.now());
}

void ManagedVm::recordCounts(const ExchangePtr &exchange, const Choice &choice, Outcome::Kind kind,
                             Duration latency) {
  if (exchange->CallerRequest.Service != 0 || kind == Outcome::Cancelled)
    return;
  moves::RequestCounts &counts = VersionCounts[choice.Version];
  ++counts.Requests;
  if (kind == Outcome::Good)
    ++counts.Latency[moves::latencyBucket(latency.Ms)];
  else
    ++counts.Errors;
}

void ManagedVm::fail() {
  Alive = false;
  std::map<uint64_t, ExchangePtr> open = std::exchange(OpenRequests, {});
  for (const auto &[id, exchange] : open)
    finish(exchange, RequestOutcome::Lost);
}

} // namespace briarspar::tools
