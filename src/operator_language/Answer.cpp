#include "operator_language/Answer.h"

#include "operator_language/Parser.h"

#include <algorithm>
#include <array>

namespace briarspar::config {
template <> struct EnumNames<operator_language::Answer::Kind> {
  static constexpr std::array<std::string_view, 5> Values{"accepted", "conflict", "invalid",
                                                          "result", "unavailable"};
};
} // namespace briarspar::config

namespace briarspar::operator_language {

using core::Json;

namespace {

std::string dump(const Json &j) { return j.dump(-1, ' ', false, Json::error_handler_t::replace); }

absl::StatusOr<Json> parseObject(std::string_view text) {
  Json j = Json::parse(text.begin(), text.end(), nullptr, /*allow_exceptions=*/false);
  if (!j.is_object())
    return absl::InvalidArgumentError("expected a JSON object");
  return j;
}

bool isCell(const Json &j) { return j.is_primitive() && !j.is_binary(); }

bool isRow(const Json &j, size_t columns) {
  return j.is_array() && j.size() == columns && std::all_of(j.begin(), j.end(), isCell);
}

absl::Status readTable(const Json &columns, const Json &rows, Table &table) {
  if (!columns.is_array() || !rows.is_array())
    return absl::InvalidArgumentError("columns and rows must be arrays");
  for (const Json &it : columns) {
    if (!it.is_string())
      return absl::InvalidArgumentError("a column must be a string");
    table.Columns.push_back(it.get<std::string>());
  }
  for (const Json &it : rows) {
    if (!isRow(it, table.Columns.size()))
      return absl::InvalidArgumentError("a row must have one cell per column");
    table.Rows.emplace_back(it.begin(), it.end());
  }
  return absl::OkStatus();
}

/// Reads an optional member. Returns false if it is present but has another type.
template <class T> bool readMember(const Json &j, const char *name, T &out) {
  auto it = j.find(name);
  if (it == j.end() || it->is_null())
    return true;
  if constexpr (std::is_same_v<T, std::string>) {
    if (!it->is_string())
      return false;
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!it->is_boolean())
      return false;
  } else if (!it->is_number_unsigned()) {
    return false;
  }
  out = it->template get<T>();
  return true;
}

} // namespace

Answer answerFor(const config::Outcome &outcome) {
  constexpr std::array<Answer::Kind, 3> kinds{Answer::Accepted, Answer::Conflict, Answer::Invalid};
  Answer answer;
  answer.Status = kinds[outcome.Status];
  answer.Version = outcome.Version;
  answer.Reason = outcome.Reason;
  answer.Subject = outcome.Subject;
  answer.WinningCommand = outcome.WinningCommand;
  answer.Replayed = outcome.Replayed;
  return answer;
}

Answer answerForParseError(const absl::Status &status) {
  Answer answer;
  answer.Status = Answer::Invalid;
  answer.Reason = std::string(status.message());
  answer.Column = errorColumn(status);
  return answer;
}

std::string encode(const OperatorRequest &request) {
  return dump({{"statement", request.Statement}, {"id", request.Id}});
}

std::string encode(const Answer &answer) {
  Json j{{"kind", config::nameOf(answer.Status)}, {"version", answer.Version.Value}};
  auto add = [&](const char *name, const std::string &value) {
    if (!value.empty())
      j[name] = value;
  };
  add("reason", answer.Reason);
  add("subject", answer.Subject);
  add("winner", answer.WinningCommand);
  add("key", answer.Key);
  if (answer.Column != 0)
    j["column"] = answer.Column;
  if (answer.Replayed)
    j["replayed"] = true;
  if (answer.NotRun)
    j["not_run"] = true;
  if (answer.Status == Answer::Result) {
    j["columns"] = answer.ResultTable.Columns;
    j["rows"] = answer.ResultTable.Rows;
  }
  return dump(j);
}

absl::StatusOr<OperatorRequest> decodeOperatorRequest(std::string_view text) {
  absl::StatusOr<Json> j = parseObject(text);
  if (!j.ok())
    return j.status();
  OperatorRequest request;
  if (!readMember(*j, "statement", request.Statement) || !readMember(*j, "id", request.Id))
    return absl::InvalidArgumentError("statement and id must be strings");
  if (request.Statement.empty())
    return absl::InvalidArgumentError("the statement is missing");
  return request;
}

absl::StatusOr<Answer> decodeAnswer(std::string_view text) {
  absl::StatusOr<Json> j = parseObject(text);
  if (!j.ok())
    return j.status();
  Answer answer;
  std::string kind;
  if (!readMember(*j, "kind", kind) || !readMember(*j, "version", answer.Version.Value) ||
      !readMember(*j, "reason", answer.Reason) || !readMember(*j, "column", answer.Column) ||
      !readMember(*j, "subject", answer.Subject) ||
      !readMember(*j, "winner", answer.WinningCommand) || !readMember(*j, "key", answer.Key) ||
      !readMember(*j, "replayed", answer.Replayed) || !readMember(*j, "not_run", answer.NotRun))
    return absl::InvalidArgumentError("a member of the answer has the wrong type");
  std::optional<Answer::Kind> known = config::enumFromName<Answer::Kind>(kind);
  if (!known)
    return absl::InvalidArgumentError("the answer has an unknown kind");
  answer.Status = *known;
  if (answer.Status == Answer::Result) {
    absl::Status status = readTable(j->value("columns", Json::array()),
                                    j->value("rows", Json::array()), answer.ResultTable);
    if (!status.ok())
      return status;
  }
  return answer;
}

} // namespace briarspar::operator_language
