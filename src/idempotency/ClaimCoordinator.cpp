#include "idempotency/ClaimCoordinator.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace briarspar::idempotency {

using core::Duration;
using core::Time;

namespace {

Time earlier(Time a, Time b) { return a < b ? a : b; }

} // namespace

ClaimCoordinator::ClaimCoordinator(core::VmId vm, core::Incarnation run,
                                   const DispatchPermission &permission,
                                   const ClaimCoordinatorSettings &settings)
    : Vm(std::move(vm)), Run(run), Permission(permission), Settings(settings) {}

void ClaimCoordinator::start(const RequestStart &request, Time now) {
  auto known = ByKey.find(request.Key);
  if (known != ByKey.end()) {
    join(Attempts.find(known->second), request, now);
    return;
  }
  const auto refuse = [&](CallerReply::Reason why) {
    Actions.push_back(Reply{request.Caller, refusal(request.IdFromCaller, why)});
  };
  if (!Permission.valid(now))
    return refuse(CallerReply::NoLease);
  if (Attempts.size() >= Settings.MaxAttempts)
    return refuse(CallerReply::TooManyPending);

  Attempt attempt;
  attempt.Key = request.Key;
  attempt.BodyFingerprint = request.BodyFingerprint;
  attempt.IdFromCaller = request.IdFromCaller;
  attempt.Deadline = now + request.Deadline;
  attempt.Backoff = Settings.RetryInterval;
  attempt.Callers.push_back({request.Caller, attempt.Deadline});
  auto it = Attempts.emplace(++LastAttemptNumber, std::move(attempt)).first;
  ByKey[request.Key] = it->first;
  ByCaller[request.Caller] = it->first;
  sendCurrentCommand(it, now);
}

void ClaimCoordinator::join(AttemptMap::iterator it, const RequestStart &request, Time now) {
  assert(it != Attempts.end());
  Attempt &attempt = it->second;
  if (attempt.BodyFingerprint != request.BodyFingerprint) {
    Actions.push_back(Reply{request.Caller, {CallerReply::BodyMismatch, CallerReply::None, ""}});
    return;
  }
  if (attempt.CurrentPhase == Phase::Completing) {
    Actions.push_back(Reply{request.Caller, attempt.ReplyToResends});
    return;
  }
  if (attempt.Callers.size() >= Settings.MaxCallersPerAttempt) {
    Actions.push_back(
        Reply{request.Caller, {CallerReply::Unknown, CallerReply::TooManyPending, ""}});
    return;
  }
  const Time until = earlier(now + request.Deadline, now + Settings.MaxResendWait);
  attempt.Callers.push_back({request.Caller, until});
  ByCaller[request.Caller] = it->first;
}

void ClaimCoordinator::receive(const ClaimResult &result, Time now) {
  std::visit([&](const auto &answer) { onAnswer(answer, now); }, result);
}

void ClaimCoordinator::onAnswer(const ClaimResponse &answer, Time now) {
  if (answer.Attempt.Vm != Vm || answer.Attempt.Run != Run)
    return;
  auto it = Attempts.find(answer.Attempt.Number);
  if (it == Attempts.end()) {
    // A delayed copy of the claim was granted after the attempt had ended. Nothing is dispatched
    // for it; if the attempt had been dispatched, its record is final and the release has no
    // effect.
    if (answer.Outcome.Status == ClaimOutcome::Granted)
      Actions.push_back(SendCommand{Release{answer.Key, answer.Attempt}});
    return;
  }
  if (!isUndecided(it->second))
    return;
  if (answer.Outcome.Status == ClaimOutcome::Granted)
    onGranted(it, now);
  else if (answer.Outcome.Status == ClaimOutcome::InProgress)
    onInProgress(it, now);
  else
    onRefused(it, answer.Outcome, now);
}

void ClaimCoordinator::onGranted(AttemptMap::iterator it, Time now) {
  Attempt &attempt = it->second;
  expireCallers(attempt, now);
  if (attempt.Callers.empty() || now >= attempt.Deadline)
    return beginRelease(it, {CallerReply::NotRun, CallerReply::ClaimUnanswered, ""}, now);
  if (!Permission.valid(now))
    return beginRelease(it, {CallerReply::NotRun, CallerReply::NoLease, ""}, now);
  attempt.CurrentPhase = Phase::Dispatched;
  Actions.push_back(Dispatch{it->first, attempt.Callers.front().Id, attempt.Key, attempt.Deadline});
}

void ClaimCoordinator::onInProgress(AttemptMap::iterator it, Time now) {
  Attempt &attempt = it->second;
  if (attempt.CurrentPhase == Phase::Claiming) {
    attempt.CurrentPhase = Phase::Waiting;
    for (WaitingCaller &caller : attempt.Callers)
      caller.Until = earlier(caller.Until, now + Settings.MaxResendWait);
  }
  attempt.Backoff = Settings.RetryInterval;
  attempt.NextSend = now + Settings.PollInterval;
}

void ClaimCoordinator::onRefused(AttemptMap::iterator it, const ClaimOutcome &outcome, Time now) {
  CallerReply reply;
  bool mayBeGrantedLater = it->second.ClaimsSent > 1;
  switch (outcome.Status) {
  case ClaimOutcome::Completed:
    reply = {CallerReply::Answered, CallerReply::None, outcome.Answer};
    mayBeGrantedLater = false;
    break;
  case ClaimOutcome::AnswerNotKept:
    reply = {CallerReply::AnswerNotKept, CallerReply::None, ""};
    mayBeGrantedLater = false;
    break;
  case ClaimOutcome::BodyMismatch:
    reply = {CallerReply::BodyMismatch, CallerReply::None, ""};
    break;
  case ClaimOutcome::Full:
    reply = {CallerReply::NotRun, CallerReply::TableFull, ""};
    break;
  default:
    // The record may be this attempt's own claim that expired before its answer came. The release
    // then turns it into "not run"; it has no effect on another attempt's record.
    reply = {CallerReply::Unknown, CallerReply::OutcomeLost, ""};
    mayBeGrantedLater = true;
    break;
  }
  if (mayBeGrantedLater)
    return beginRelease(it, reply, now);
  replyAll(it->second, reply);
  finish(it);
}

void ClaimCoordinator::onAnswer(const CompletionAck &ack, Time now) {
  auto it = Attempts.find(ack.Attempt.Number);
  if (it != Attempts.end() && ack.Attempt == idOf(it->first) &&
      it->second.CurrentPhase == Phase::Completing)
    finish(it);
}

void ClaimCoordinator::onAnswer(const ReleaseAck &ack, Time now) {
  auto it = Attempts.find(ack.Attempt.Number);
  if (it != Attempts.end() && ack.Attempt == idOf(it->first) &&
      it->second.CurrentPhase == Phase::Releasing)
    finish(it);
}

void ClaimCoordinator::dispatchFinished(uint64_t attempt, const DispatchResult &result, Time now) {
  auto it = Attempts.find(attempt);
  assert(it != Attempts.end() && it->second.CurrentPhase == Phase::Dispatched &&
         "every dispatch is reported as finished once");
  if (result.Status == DispatchResult::NotSent)
    beginRelease(it, {CallerReply::NotRun, CallerReply::DispatchNotSent, ""}, now);
  else
    beginCompletion(it, result, now);
}

void ClaimCoordinator::beginCompletion(AttemptMap::iterator it, const DispatchResult &result,
                                       Time now) {
  Attempt &attempt = it->second;
  Completion &record = attempt.Record;
  record.Key = attempt.Key;
  record.Attempt = idOf(it->first);
  if (result.Status == DispatchResult::Answered) {
    record.Result = RunResult::Answered;
    record.AnswerKept = result.Answer.size() <= Settings.MaxAnswerBytes;
    if (record.AnswerKept)
      record.Answer = result.Answer;
    replyAll(attempt, {CallerReply::Answered, CallerReply::None, result.Answer});
    attempt.ReplyToResends = {record.AnswerKept ? CallerReply::Answered
                                                : CallerReply::AnswerNotKept,
                              CallerReply::None, record.Answer};
  } else {
    attempt.ReplyToResends = {CallerReply::Unknown, CallerReply::OutcomeLost, ""};
    replyAll(attempt, attempt.ReplyToResends);
  }
  attempt.CurrentPhase = Phase::Completing;
  attempt.Backoff = Settings.RetryInterval;
  sendCurrentCommand(it, now);
}

void ClaimCoordinator::beginRelease(AttemptMap::iterator it, const CallerReply &reply, Time now) {
  Attempt &attempt = it->second;
  replyAll(attempt, reply);
  // Later callers of the key start an attempt of their own.
  ByKey.erase(attempt.Key);
  attempt.CurrentPhase = Phase::Releasing;
  attempt.Backoff = Settings.RetryInterval;
  sendCurrentCommand(it, now);
}

void ClaimCoordinator::finish(AttemptMap::iterator it) {
  assert(it->second.Callers.empty());
  auto known = ByKey.find(it->second.Key);
  if (known != ByKey.end() && known->second == it->first)
    ByKey.erase(known);
  Attempts.erase(it);
}

void ClaimCoordinator::callerDisconnected(CallerId caller, Time now) {
  auto owner = ByCaller.find(caller);
  if (owner == ByCaller.end())
    return;
  auto it = Attempts.find(owner->second);
  assert(it != Attempts.end());
  ByCaller.erase(owner);
  Attempt &attempt = it->second;
  attempt.Callers.erase(std::remove_if(attempt.Callers.begin(), attempt.Callers.end(),
                                       [&](const WaitingCaller &w) { return w.Id == caller; }),
                        attempt.Callers.end());
  if (attempt.Callers.empty() && isUndecided(attempt))
    beginRelease(it, {}, now);
}

void ClaimCoordinator::tick(Time now) {
  for (auto it = Attempts.begin(); it != Attempts.end();) {
    auto current = it++;
    tickAttempt(current, now);
  }
}

void ClaimCoordinator::tickAttempt(AttemptMap::iterator it, Time now) {
  Attempt &attempt = it->second;
  expireCallers(attempt, now);
  if (isUndecided(attempt) && (attempt.Callers.empty() || now >= attempt.Deadline))
    return beginRelease(it, timeoutReply(attempt), now);
  if (attempt.CurrentPhase != Phase::Dispatched && now >= attempt.NextSend)
    sendCurrentCommand(it, now);
}

void ClaimCoordinator::expireCallers(Attempt &attempt, Time now) {
  const auto isOver = [&](const WaitingCaller &w) { return now >= w.Until; };
  for (const WaitingCaller &w : attempt.Callers) {
    if (!isOver(w))
      continue;
    ByCaller.erase(w.Id);
    Actions.push_back(Reply{w.Id, timeoutReply(attempt)});
  }
  attempt.Callers.erase(std::remove_if(attempt.Callers.begin(), attempt.Callers.end(), isOver),
                        attempt.Callers.end());
}

CallerReply ClaimCoordinator::timeoutReply(const Attempt &attempt) const {
  if (attempt.CurrentPhase == Phase::Claiming)
    return refusal(attempt.IdFromCaller, CallerReply::ClaimUnanswered);
  return {CallerReply::Unknown, CallerReply::StillRunning, ""};
}

CallerReply ClaimCoordinator::refusal(bool idFromCaller, CallerReply::Reason why) {
  // Without an answer from the table, an id that came from the caller may have run through another
  // VM. An id made here cannot.
  return {idFromCaller ? CallerReply::Unknown : CallerReply::NotRun, why, ""};
}

void ClaimCoordinator::replyAll(Attempt &attempt, const CallerReply &reply) {
  for (const WaitingCaller &w : attempt.Callers) {
    ByCaller.erase(w.Id);
    Actions.push_back(Reply{w.Id, reply});
  }
  attempt.Callers.clear();
}

void ClaimCoordinator::sendCurrentCommand(AttemptMap::iterator it, Time now) {
  Attempt &attempt = it->second;
  Actions.push_back(SendCommand{currentCommand(it->first, attempt, now)});
  attempt.NextSend = now + attempt.Backoff;
  attempt.Backoff = Duration{std::min(attempt.Backoff.Ms * 2, Settings.MaxRetryInterval.Ms)};
  if (isUndecided(attempt))
    ++attempt.ClaimsSent;
}

ClaimCommand ClaimCoordinator::currentCommand(uint64_t number, const Attempt &attempt,
                                              Time now) const {
  switch (attempt.CurrentPhase) {
  case Phase::Completing:
    return attempt.Record;
  case Phase::Releasing:
    return Release{attempt.Key, idOf(number)};
  default:
    return Claim{attempt.Key, idOf(number), attempt.BodyFingerprint, attempt.Deadline - now};
  }
}

} // namespace briarspar::idempotency
