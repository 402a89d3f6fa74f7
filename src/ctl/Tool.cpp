#include "ctl/Tool.h"

#include "absl/strings/escaping.h"
#include "auth/KeyDigest.h"
#include "config/Text.h"
#include "ctl/BlockFile.h"
#include "operator_language/Help.h"
#include "operator_language/Parser.h"

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>

namespace briarspar::ctl {

using config::concat;
using operator_language::Answer;
using operator_language::CommandStatement;
using operator_language::Query;

namespace {

/// Random bytes of a command id; enough to make collisions between tools negligible.
constexpr size_t CommandIdBytes = 16;
constexpr std::string_view Blanks = " \t\r";

std::string_view trimmed(std::string_view text) {
  size_t first = text.find_first_not_of(Blanks);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

/// Returns a `create key` statement with the digest of a locally generated key.
std::string keyStatement(const CommandStatement &command, const config::KeyDigest &digest) {
  const auto &key = std::get<config::CreateKey>(command.RequestedChange);
  std::string text = concat("create key for ", key.Customer.Value, " digest ", auth::toHex(digest));
  if (command.ExpectedVersion.Value != 0)
    text += concat(" expect ", command.ExpectedVersion.Value);
  return text;
}

/// Returns the cell of this column in the first row, or null.
core::Json cellOf(const operator_language::Table &table, std::string_view column) {
  auto it = std::find(table.Columns.begin(), table.Columns.end(), column);
  if (it == table.Columns.end() || table.Rows.empty())
    return {};
  return table.Rows[0][static_cast<size_t>(it - table.Columns.begin())];
}

} // namespace

Tool::Tool(Client &client, auth::RandomSource &random, Waiter &waiter, std::ostream &out,
           std::ostream &err, const ToolSettings &settings)
    : OperatorClient(client), Random(random), PollWaiter(waiter), Out(out), Err(err),
      Settings(settings) {}

ExitCode Tool::run(std::string_view text) {
  text = trimmed(text);
  if (text.substr(0, text.find(' ')) == "help") {
    Out << operator_language::helpText(trimmed(text.substr(4)));
    return ExitCode::Ok;
  }
  absl::StatusOr<operator_language::Statement> statement = operator_language::parse(text);
  if (!statement.ok())
    return reportParseError(text, statement.status());
  if (auto *command = std::get_if<CommandStatement>(&*statement))
    return runCommand(text, std::move(*command));
  return runQuery(text, std::get<Query>(*statement));
}

ExitCode Tool::reportParseError(std::string_view text, const absl::Status &status) {
  size_t column = operator_language::errorColumn(status);
  Err << text << "\n" << std::string(column - 1, ' ') << "^\n" << status.message() << "\n";
  return ExitCode::Usage;
}

absl::StatusOr<std::string> Tool::newCommandId() {
  std::array<uint8_t, CommandIdBytes> bits{};
  if (absl::Status status = Random.fill(absl::MakeSpan(bits)); !status.ok())
    return status;
  return absl::BytesToHexString(std::string(bits.begin(), bits.end()));
}

ExitCode Tool::runCommand(std::string_view text, CommandStatement command) {
  operator_language::OperatorRequest request{std::string(text), command.Id};
  if (command.Id.empty()) {
    absl::StatusOr<std::string> id = newCommandId();
    if (!id.ok()) {
      Err << id.status().message() << "\n";
      return ExitCode::Unreachable;
    }
    request.Id = *id;
  }
  std::string key;
  auto *create = std::get_if<config::CreateKey>(&command.RequestedChange);
  if (create != nullptr && create->Digest == config::KeyDigest{}) {
    absl::StatusOr<auth::GeneratedKey> generated = auth::generateKey(Random);
    if (!generated.ok()) {
      Err << generated.status().message() << "\n";
      return ExitCode::Unreachable;
    }
    key = generated->Key;
    request.Statement = keyStatement(command, generated->Digest);
  }
  Reply reply = OperatorClient.send(request);
  if (reply.Status == Reply::Decided) {
    // With a replayed id, the stored key is one that an earlier run generated.
    bool isOldKey = reply.Answer.Replayed && !command.Id.empty();
    if (reply.Answer.Status == Answer::Accepted && !key.empty() && !isOldKey)
      reply.Answer.Key = key;
    if (reply.Answer.Status == Answer::Accepted && !key.empty() && isOldKey)
      Err << "the key was created by an earlier send, which printed it; withdraw it if it is "
             "lost\n";
    return report(reply.Answer, Settings.Json);
  }
  if (reply.Status == Reply::NoServer)
    return reportFailure(reply, ExitCode::Unreachable);
  reportFailure(reply, ExitCode::Unknown);
  Err << "the outcome is unknown; send the statement again with: id " << request.Id << "\n";
  if (!key.empty())
    Err << "if the key was created, it is " << key << "\n";
  return ExitCode::Unknown;
}

ExitCode Tool::runQuery(std::string_view text, const Query &query) {
  bool asJson = Settings.Json || query.AsJson;
  if (std::holds_alternative<operator_language::WatchQuery>(query.Body))
    return watch(text, asJson);
  Reply reply = OperatorClient.send({std::string(text), ""});
  if (reply.Status != Reply::Decided)
    return reportFailure(reply, ExitCode::Unreachable);
  return report(reply.Answer, asJson);
}

ExitCode Tool::watch(std::string_view text, bool asJson) {
  operator_language::OperatorRequest request{std::string(text), ""};
  std::vector<core::Json> last;
  int failures = 0;
  while (true) {
    Reply reply = OperatorClient.send(request);
    if (reply.Status != Reply::Decided) {
      if (++failures > Settings.MaxWatchFailures)
        return reportFailure(reply, ExitCode::Unreachable);
      PollWaiter.wait(Settings.WatchInterval);
      continue;
    }
    failures = 0;
    const operator_language::Table &table = reply.Answer.ResultTable;
    if (reply.Answer.Status != Answer::Result)
      return report(reply.Answer, asJson);
    if (table.Rows.empty()) {
      Err << "the move does not exist\n";
      return ExitCode::Rejected;
    }
    if (table.Rows[0] != last)
      report(reply.Answer, asJson);
    last = table.Rows[0];
    core::Json state = cellOf(table, "state");
    if (state == config::nameOf(config::MoveState::Done))
      return ExitCode::Ok;
    if (state == config::nameOf(config::MoveState::RolledBack))
      return ExitCode::RolledBack;
    PollWaiter.wait(Settings.WatchInterval);
  }
}

ExitCode Tool::report(const Answer &answer, bool asJson) {
  bool succeeded = answer.Status == Answer::Accepted || answer.Status == Answer::Result;
  if (answer.Status == Answer::Result)
    Out << (asJson ? formatJson(answer.ResultTable) : formatTable(answer.ResultTable));
  else if (asJson)
    Out << encode(answer) << "\n";
  else if (succeeded)
    Out << "accepted at version " << answer.Version << ": " << answer.Subject << "\n";
  else
    Err << (answer.Status == Answer::Conflict ? "conflict: " : "invalid: ") << answer.Reason
        << "\n";
  if (!asJson && !answer.Key.empty())
    Out << "key: " << answer.Key << "\n";
  if (!asJson && !answer.WinningCommand.empty())
    Err << "command " << answer.WinningCommand << " came first\n";
  Out.flush();
  return succeeded ? ExitCode::Ok : ExitCode::Rejected;
}

ExitCode Tool::reportFailure(const Reply &reply, ExitCode code) {
  Err << "no server decided the statement; " << reply.Reason << "\n";
  return code;
}

ExitCode Tool::runScript(std::istream &script, std::string_view name) {
  std::string line;
  for (int n = 1; std::getline(script, line); ++n) {
    std::string_view text = trimmed(line);
    if (text.empty() || text[0] == '#')
      continue;
    ExitCode code = run(text);
    if (code != ExitCode::Ok) {
      Err << name << ":" << n << ": statement failed; the rest of the script was not run\n";
      return code;
    }
  }
  return ExitCode::Ok;
}

ExitCode Tool::runBlocks(std::istream &blocks, std::string_view name) {
  BlockFile file(blocks);
  while (true) {
    absl::StatusOr<std::string> statement = file.next();
    if (!statement.ok()) {
      Err << name << ": " << statement.status().message() << "\n";
      return ExitCode::Usage;
    }
    if (statement->empty())
      return ExitCode::Ok;
    ExitCode code = run(*statement);
    if (code != ExitCode::Ok) {
      Err << name << ":" << file.firstLine()
          << ": statement failed; the blocks before this line were accepted\n";
      return code;
    }
  }
}

ExitCode Tool::runPrompt(std::istream &input) {
  std::string line;
  while (Out << "briarspar> " << std::flush && std::getline(input, line)) {
    std::string_view text = trimmed(line);
    if (text == "exit" || text == "quit")
      break;
    if (!text.empty())
      run(text);
  }
  return ExitCode::Ok;
}

} // namespace briarspar::ctl
