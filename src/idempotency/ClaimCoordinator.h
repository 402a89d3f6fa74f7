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

/// Timing and bounds of a ClaimCoordinator.
struct ClaimCoordinatorSettings {
  core::Duration RetryInterval{150};         ///< First wait before a message is sent again.
  core::Duration MaxRetryInterval{2000};     ///< Longest wait before a message is sent again.
  core::Duration PollInterval{200};          ///< Between questions about a claim of another VM.
  core::Duration MaxResendWait{5000};        ///< Longest wait of a resend for the first answer.
  size_t MaxAttempts = 4096;                 ///< Attempts open at one time.
  size_t MaxCallersPerAttempt = 16;          ///< Resends that wait for one attempt.
  size_t MaxAnswerBytes = size_t{64} * 1024; ///< Larger answers are recorded as not kept.
};

/// Says whether this VM may dispatch. The daemon backs it with its LeaseHolder.
class DispatchPermission {
public:
  virtual ~DispatchPermission() = default;
  virtual bool valid(core::Time now) const = 0;
};

/// Names a caller that waits for a reply. The daemon chooses the values; each is used once.
using CallerId = uint64_t;

/// A request on a route that must run at most once.
struct RequestStart {
  CallerId Caller = 0;
  RequestKey Key;
  uint64_t BodyFingerprint = 0;
  core::Duration Deadline;  ///< From now to the latest useful answer.
  bool IdFromCaller = true; ///< False when this VM made the id, so that no other VM can know it.
};

/// How a dispatched request ended.
struct DispatchResult {
  enum Kind : uint8_t {
    NotSent,  ///< No byte left for a target; certain.
    Answered, ///< The whole answer arrived.
    Unknown,  ///< Bytes left and no whole answer arrived.
  };
  Kind Status = Unknown;
  std::string Answer; ///< Opaque bytes, set when Answered.
};

/// What a caller is told.
struct CallerReply {
  enum Kind : uint8_t {
    Answered,      ///< `Answer` holds the answer of the only run.
    AnswerNotKept, ///< The request ran; its answer was not kept.
    NotRun,        ///< The id has not run.
    Unknown,       ///< The id may have run, or may still run. A resend is safe.
    BodyMismatch,  ///< The id belongs to another body.
  };
  /// Why there is no answer.
  enum Reason : uint8_t {
    None,
    NoLease,         ///< This VM holds no serving lease.
    ClaimUnanswered, ///< The claim was not answered in time.
    TableFull,       ///< The claim table is full.
    StillRunning,    ///< The first transmission has not ended in time.
    TooManyPending,  ///< This VM follows too many requests.
    DispatchNotSent, ///< No target took the request.
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
/// once more right before the first byte and reports NotSent when it has ended.
struct Dispatch {
  uint64_t Attempt = 0; ///< Handed back to dispatchFinished().
  CallerId Caller = 0;  ///< The caller whose request body is to be sent.
  RequestKey Key;
  core::Time Deadline; ///< The latest time at which the answer is useful.
};

/// Answers a waiting caller. Emitted exactly once per caller that has not left.
struct Reply {
  CallerId Caller = 0;
  CallerReply Content;
};

using ClaimAction = std::variant<SendCommand, Dispatch, Reply>;

/// Follows the requests of one VM through claim, dispatch, completion and release. All inputs are
/// calls, all outputs are actions. Not thread-safe; the control thread owns it.
class ClaimCoordinator {
public:
  ClaimCoordinator(core::VmId vm, core::Incarnation run, const DispatchPermission &permission,
                   const ClaimCoordinatorSettings &settings = {});

  /// Takes a request of a caller.
  void start(const RequestStart &request, core::Time now);

  /// Takes a result from the leader. Results may be duplicated, delayed and reordered; results for
  /// other VMs or earlier runs are ignored.
  void receive(const ClaimResult &result, core::Time now);

  /// Takes the end of a dispatch. Every Dispatch action is followed by exactly one call.
  void dispatchFinished(uint64_t attempt, const DispatchResult &result, core::Time now);

  /// Forgets a caller that closed its connection. A dispatched request runs on and is recorded.
  void callerDisconnected(CallerId caller, core::Time now);

  /// Sends due retries and ends waits. Call it at least every 50 ms.
  void tick(core::Time now);

  /// Returns and clears the actions since the last call, in order.
  std::vector<ClaimAction> takeActions() { return std::exchange(Actions, {}); }

  /// Number of attempts that are open. A planned stop waits until it is zero.
  size_t openAttempts() const { return Attempts.size(); }

private:
  enum class Phase : uint8_t {
    Claiming,   ///< The claim is not answered yet.
    Waiting,    ///< Another attempt holds the id; asks again until it ends.
    Dispatched, ///< The request is with a target.
    Completing, ///< The completion record is not acknowledged yet.
    Releasing,  ///< The release is not acknowledged yet; never dispatches.
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
  void onAnswer(std::monostate, core::Time now) {}
  void onAnswer(const ClaimResponse &answer, core::Time now);
  void onAnswer(const CompletionAck &ack, core::Time now);
  void onAnswer(const ReleaseAck &ack, core::Time now);
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
  /// True until the attempt has been granted, refused or given up.
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
