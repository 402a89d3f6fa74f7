#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "idempotency/ClaimMessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace briarspar::idempotency {

/// Timing and limits of a ClaimCoordinator.
struct ClaimCoordinatorSettings {
  core::Duration RetryInterval{150};     ///< Initial delay before a message is resent.
  core::Duration MaxRetryInterval{2000}; ///< Maximum delay before a message is resent.
  core::Duration PollInterval{200};      ///< Interval of polls while another attempt holds the id.
  core::Duration MaxResendWait{5000};    ///< Longest wait of a resent request for the first answer.
  size_t MaxAttempts = 4096;             ///< Maximum number of open attempts.
  size_t MaxCallersPerAttempt = 16;      ///< Maximum number of callers that wait for one attempt.
  size_t MaxAnswerBytes = size_t{64} * 1024; ///< Larger answers are recorded as not kept.
};

/// Tells whether this VM may dispatch requests. The daemon implements it with its LeaseHolder.
class DispatchPermission {
public:
  virtual ~DispatchPermission() = default;
  virtual bool valid(core::Time now) const = 0;
};

/// Identifies a caller that waits for a reply. Assigned by the daemon and never reused.
using CallerId = uint64_t;

/// A request on a route that must run at most once.
struct RequestStart {
  CallerId Caller = 0;
  RequestKey Key;
  uint64_t BodyFingerprint = 0;
  core::Duration Deadline;  ///< Time from now to the latest useful answer.
  bool IdFromCaller = true; ///< False if this VM generated the id, so that no other VM has it.
};

/// How a dispatched request ended.
struct DispatchResult {
  enum Kind : uint8_t {
    NotSent,  ///< Certainly no byte was sent to a target.
    Answered, ///< The complete answer was received.
    Unknown,  ///< Bytes were sent and no complete answer was received.
  };
  Kind Status = Unknown;
  std::string Answer; ///< Opaque bytes, set when Answered.
};

/// The reply to a caller.
struct CallerReply {
  enum Kind : uint8_t {
    Answered,      ///< `Answer` holds the answer of the only run.
    AnswerNotKept, ///< The request ran; its answer was not kept.
    NotRun,        ///< The request did not run.
    Unknown,       ///< The request may have run or may still run. A resend is safe.
    BodyMismatch,  ///< The id was used with a different body.
  };
  /// Why the reply has no answer.
  enum Reason : uint8_t {
    None,
    NoLease,         ///< This VM holds no serving lease.
    ClaimUnanswered, ///< The claim was not answered in time.
    TableFull,       ///< The claim table is full.
    StillRunning,    ///< The attempt that holds the id did not end in time.
    TooManyPending,  ///< This VM has too many open attempts or waiting callers.
    DispatchNotSent, ///< The request was not sent to any target.
    OutcomeLost,     ///< The target or the claimant ended without an answer.
  };
  Kind Status = Unknown;
  Reason Cause = None;
  std::string Answer;
};

/// Sends a command to the leader, which proposes it and sends the result back. May be lost.
struct SendCommand {
  ClaimCommand Command;
};

/// Sends the request to a target. Emitted at most once per attempt. The sender checks the lease
/// again immediately before the first byte and reports NotSent if it has expired.
struct Dispatch {
  uint64_t Attempt = 0; ///< To be passed to dispatchFinished().
  CallerId Caller = 0;  ///< The caller whose request body is to be sent.
  RequestKey Key;
  core::Time Deadline; ///< The latest time at which the answer is useful.
};

/// Replies to a waiting caller. Emitted exactly once per caller that has not disconnected.
struct Reply {
  CallerId Caller = 0;
  CallerReply Content;
};

using ClaimAction = std::variant<SendCommand, Dispatch, Reply>;

/// Tracks the requests of one VM through claim, dispatch, completion and release. All inputs are
/// calls, all outputs are actions. Not thread-safe; used on the control thread.
class ClaimCoordinator {
public:
  ClaimCoordinator(core::VmId vm, core::Incarnation run, const DispatchPermission &permission,
                   const ClaimCoordinatorSettings &settings = {});

  /// Starts an attempt for a request, or joins the open attempt with the same key.
  void start(const RequestStart &request, core::Time now);

  /// Processes a result from the leader. Results may be duplicated, delayed and reordered; results
  /// for other VMs or earlier runs are ignored.
  void receive(const ClaimResult &result, core::Time now);

  /// Processes the end of a dispatch. Every Dispatch action is followed by exactly one call.
  void dispatchFinished(uint64_t attempt, const DispatchResult &result, core::Time now);

  /// Removes a caller that closed its connection. A dispatched request continues and its result is
  /// recorded.
  void callerDisconnected(CallerId caller, core::Time now);

  /// Sends due retries and replies to callers whose wait has expired. To be called at least every
  /// 50 ms.
  void tick(core::Time now);

  /// Returns and clears the actions since the last call, in order.
  std::vector<ClaimAction> takeActions() { return std::exchange(Actions, {}); }

  /// Returns the number of open attempts. A graceful shutdown waits until it is zero.
  size_t openAttempts() const { return Attempts.size(); }

private:
  enum class Phase : uint8_t {
    Claiming,   ///< No response to the claim yet.
    Waiting,    ///< Another attempt holds the id; polls until it ends.
    Dispatched, ///< The request was dispatched to a target.
    Completing, ///< The completion record is not acknowledged yet.
    Releasing,  ///< The release is not acknowledged yet; the attempt cannot dispatch any more.
  };

  struct WaitingCaller {
    CallerId Id = 0;
    core::Time Until;
  };

  struct Attempt {
    Phase CurrentPhase = Phase::Claiming;
    RequestKey Key;
    uint64_t BodyFingerprint = 0;
    bool IdFromCaller = true;
    core::Time Deadline;
    core::Time NextSend;
    core::Duration Backoff;
    uint32_t ClaimsSent = 0;
    std::vector<WaitingCaller> Callers;
    Completion Record;          ///< Set in phase Completing.
    CallerReply ReplyToResends; ///< Set in phase Completing.
  };

  using AttemptMap = std::map<uint64_t, Attempt>;

  void join(AttemptMap::iterator it, const RequestStart &request, core::Time now);
  void onResult(std::monostate, core::Time now) {}
  void onResult(const ClaimResponse &response, core::Time now);
  void onResult(const CompletionAck &ack, core::Time now);
  void onResult(const ReleaseAck &ack, core::Time now);
  void onGranted(AttemptMap::iterator it, core::Time now);
  void onRefused(AttemptMap::iterator it, const ClaimOutcome &outcome, core::Time now);
  void onInProgress(AttemptMap::iterator it, core::Time now);
  void beginCompletion(AttemptMap::iterator it, const DispatchResult &result, core::Time now);
  void beginRelease(AttemptMap::iterator it, const CallerReply &reply, core::Time now);
  void finish(AttemptMap::iterator it);
  void tickAttempt(AttemptMap::iterator it, core::Time now);
  void expireCallers(Attempt &attempt, core::Time now);
  void replyAll(Attempt &attempt, const CallerReply &reply);
  void sendCurrentCommand(AttemptMap::iterator it, core::Time now);
  ClaimCommand currentCommand(uint64_t number, const Attempt &attempt, core::Time now) const;
  CallerReply timeoutReply(const Attempt &attempt) const;
  /// Returns whether the attempt has not been granted, refused or abandoned yet.
  static bool isUndecided(const Attempt &attempt) {
    return attempt.CurrentPhase == Phase::Claiming || attempt.CurrentPhase == Phase::Waiting;
  }
  static CallerReply refusal(bool idFromCaller, CallerReply::Reason why);
  AttemptId idOf(uint64_t number) const { return {Vm, Run, number}; }

  core::VmId Vm;
  core::Incarnation Run;
  const DispatchPermission &Permission;
  ClaimCoordinatorSettings Settings;
  uint64_t LastAttemptNumber = 0;
  AttemptMap Attempts;
  std::map<RequestKey, uint64_t> ByKey;  ///< The attempt that new callers of a key join.
  std::map<CallerId, uint64_t> ByCaller; ///< Callers that wait for a reply.
  std::vector<ClaimAction> Actions;
};

} // namespace briarspar::idempotency
