#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

namespace briarspar::idempotency {

/// A caller's request id. Ids of different customers or routes never meet.
struct RequestKey {
  core::CustomerId Customer;
  core::RouteId Route;
  std::string RequestId;

  friend bool operator==(const RequestKey &a, const RequestKey &b) { return a.tie() == b.tie(); }
  friend bool operator<(const RequestKey &a, const RequestKey &b) { return a.tie() < b.tie(); }
  std::tuple<const core::CustomerId &, const core::RouteId &, const std::string &> tie() const {
    return {Customer, Route, RequestId};
  }
};

/// Identifies one attempt to own a request id. Numbers increase within a run of the process and
/// are never used again, so a delayed message of a finished attempt cannot act on a later one.
struct AttemptId {
  core::VmId Vm;
  core::Incarnation Run;
  uint64_t Number = 0;

  friend bool operator==(const AttemptId &a, const AttemptId &b) {
    return a.Number == b.Number && a.Run == b.Run && a.Vm == b.Vm;
  }
};

/// Asks to own a request id. Sending the same claim again is harmless.
struct Claim {
  RequestKey Key;
  AttemptId Attempt;
  uint64_t BodyFingerprint = 0; ///< Hash of method, path and body.
  core::Duration Deadline;      ///< Longest run time of the request from the claim on.
};

/// How a dispatched request ended, as its claimant saw it.
enum class RunResult : uint8_t {
  Answered, ///< The target answered; the answer is attached unless it was too large.
  Unknown,  ///< Bytes were sent and no answer came.
};

/// Records the end of a dispatched request. The record is final.
struct Completion {
  RequestKey Key;
  AttemptId Attempt;
  RunResult Result = RunResult::Unknown;
  bool AnswerKept = false; ///< False when the answer exceeds the limit or is absent.
  std::string Answer;      ///< Opaque bytes of the answer, set when AnswerKept.
};

/// Gives a claim up. The claimant has sent nothing to a target and never will under this attempt.
struct Release {
  RequestKey Key;
  AttemptId Attempt;
};

/// Marks the unfinished claims of a run of a VM, and of its earlier runs, as unknown.
struct VmDead {
  core::VmId Vm;
  core::Incarnation Run;
};

/// Advances log time so that retained claims expire without other traffic.
struct AdvanceTime {};

/// A command of the replicated claim table.
using ClaimCommand = std::variant<Claim, Completion, Release, VmDead, AdvanceTime>;

/// What the table says about a claim.
struct ClaimOutcome {
  enum Kind : uint8_t {
    Granted,       ///< The claim is committed for this attempt, which may dispatch.
    InProgress,    ///< Another attempt holds the claim.
    Completed,     ///< The request ran; `Answer` holds the stored answer.
    AnswerNotKept, ///< The request ran; its answer was too large to keep.
    Unknown,       ///< The request may have run.
    BodyMismatch,  ///< The id was used with another body.
    Full,          ///< The table is full and has no record of the id: not run.
    Released,      ///< This attempt was released before; it must not dispatch.
  };
  Kind Status = Unknown;
  std::string Answer;
};

struct ClaimResponse {
  RequestKey Key;
  AttemptId Attempt;
  ClaimOutcome Outcome;
};

/// Acknowledges that a completion is committed, or has no effect and needs no retry.
struct CompletionAck {
  AttemptId Attempt;
};

/// Acknowledges that a release is committed, or has no effect and needs no retry.
struct ReleaseAck {
  AttemptId Attempt;
};

/// The result of a command, sent to the VM of its attempt. monostate: nobody waits for a result.
using ClaimResult = std::variant<std::monostate, ClaimResponse, CompletionAck, ReleaseAck>;

/// Encodes as CBOR.
std::string encode(const ClaimCommand &command);
std::string encode(const ClaimResult &result);

/// Decode from CBOR. Malformed or oversized bytes give an error status.
absl::StatusOr<ClaimCommand> decodeClaimCommand(std::string_view bytes);
absl::StatusOr<ClaimResult> decodeClaimResult(std::string_view bytes);

void to_json(core::Json &j, const RequestKey &key);
void from_json(const core::Json &j, RequestKey &key);
void to_json(core::Json &j, const AttemptId &attempt);
void from_json(const core::Json &j, AttemptId &attempt);

} // namespace briarspar::idempotency
