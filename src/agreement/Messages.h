#pragma once

#include "absl/status/statusor.h"
#include "agreement/Entry.h"
#include "agreement/VoterId.h"
#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarspar::agreement {

/// Asks whether a voter would vote for the sender in `InTerm`. Changes no state.
struct PreVote {
  core::Term InTerm; ///< The term that the sender would start.
  core::LogIndex LastIndex;
  core::Term LastTerm;
};

struct PreVoteResponse {
  core::Term InTerm;      ///< As asked.
  core::Term CurrentTerm; ///< Term of the answering voter.
  bool Granted = false;
};

/// Asks for a vote in `InTerm`.
struct Vote {
  core::Term InTerm;
  core::LogIndex LastIndex;
  core::Term LastTerm;
};

struct VoteResponse {
  core::Term InTerm; ///< Term of the answering voter.
  bool Granted = false;
};

/// Log entries, or a heartbeat without entries, from the leader of `InTerm`.
struct Append {
  core::Term InTerm;
  core::LogIndex PreviousIndex;
  core::Term PreviousTerm;
  core::LogIndex Commit;
  core::Time SentAt; ///< By the leader's clock; returned in the answer to renew the leader lease.
  std::vector<Entry> Entries;
};

struct AppendResponse {
  core::Term InTerm;
  bool Success = false;
  /// On success the last index known to equal the leader's log. On failure the last index at which
  /// the logs may still agree.
  core::LogIndex Match;
  core::LogIndex PreviousIndex; ///< As asked.
  core::Time SentAt;            ///< As asked.
};

/// One chunk of a snapshot. Chunks are sent in order, the next one after the answer.
struct InstallSnapshot {
  core::Term InTerm;
  core::LogIndex Index;
  core::Term IndexTerm;
  Configuration Members;
  uint64_t TotalBytes = 0;
  uint64_t Digest = 0; ///< hash64 of the whole snapshot.
  uint64_t Offset = 0;
  std::string Data;
  core::Time SentAt;
};

struct InstallSnapshotResponse {
  core::Term InTerm;
  core::LogIndex Index;    ///< As asked.
  uint64_t NextOffset = 0; ///< First byte that is still missing.
  bool Installed = false;
  core::Time SentAt; ///< As asked.
};

using Message = std::variant<PreVote, PreVoteResponse, Vote, VoteResponse, Append, AppendResponse,
                             InstallSnapshot, InstallSnapshotResponse>;

/// A message with its addresses. A replica ignores messages for another group or identity.
struct Envelope {
  GroupId Group;
  VoterId From;
  VoterId To;
  Message Body;
};

/// Encodes an envelope as CBOR.
std::string encodeEnvelope(const Envelope &envelope);

/// Decodes an envelope. Returns InvalidArgument for malformed or inconsistent content and
/// ResourceExhausted beyond the size limit; it never throws.
absl::StatusOr<Envelope> decodeEnvelope(std::string_view bytes);

} // namespace briarspar::agreement
