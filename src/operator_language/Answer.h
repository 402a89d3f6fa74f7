#pragma once

#include "absl/status/statusor.h"
#include "config/Command.h"
#include "operator_language/Table.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace briarspar::operator_language {

/// Path of the operator interface on every VM.
constexpr const char *OperatorPath = "/v1/operator";

/// Request body of the operator interface.
struct OperatorRequest {
  std::string Statement;
  std::string Id; ///< Command id of a change, set even if the statement names one.
};

/// Response body of the operator interface.
struct Answer {
  enum Kind : uint8_t { Accepted, Conflict, Invalid, Result, Unavailable };

  Kind Status = Unavailable;
  core::ConfigVersion Version; ///< Configuration version at which the statement was decided.
  std::string Reason;          ///< Conflict, Invalid and Unavailable: one sentence.
  size_t Column = 0;           ///< Invalid: column of a parse error, from 1; 0: none.
  Table ResultTable;           ///< Result.
  std::string Subject;         ///< Accepted: id of the record created or changed.
  std::string WinningCommand;  ///< Conflict: id of the command applied first, if known.
  std::string Key;             ///< Accepted `create key` without a digest: the key.
  bool Replayed = false;       ///< The outcome is that of an earlier send with the same command id.
  bool NotRun = false;         ///< Unavailable: the statement is known to have had no effect.
};

/// Returns the answer for the outcome of a command.
Answer answerFor(const config::Outcome &outcome);

/// Returns the Invalid answer for a status of parse().
Answer answerForParseError(const absl::Status &status);

/// JSON encoding. Decoding returns InvalidArgument for malformed text and never throws.
std::string encode(const OperatorRequest &request);
std::string encode(const Answer &answer);
absl::StatusOr<OperatorRequest> decodeOperatorRequest(std::string_view text);
absl::StatusOr<Answer> decodeAnswer(std::string_view text);

} // namespace briarspar::operator_language
