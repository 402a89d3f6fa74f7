#pragma once

#include "auth/KeyGenerator.h"
#include "core/Clock.h"
#include "ctl/Client.h"
#include "operator_language/Statement.h"

#include <iosfwd>
#include <string>
#include <string_view>

namespace briarspar::ctl {

/// Exit codes of the program, documented in docs/LANGUAGE.md.
enum class ExitCode : int {
  Ok = 0,
  Rejected = 1,    ///< Invalid statement, conflict, or refused operator key.
  Usage = 2,       ///< Invalid options, or a statement that does not parse.
  Unreachable = 3, ///< No server could be reached; the statement had no effect.
  Unknown = 4,     ///< The statement may have taken effect.
  RolledBack = 5,  ///< The watched move was rolled back.
};

/// Waits between polls. Called from the thread that runs the tool.
class Waiter {
public:
  virtual ~Waiter() = default;
  virtual void wait(core::Duration d) = 0;
};

struct ToolSettings {
  bool Json = false;                   ///< Print the results of all statements as JSON.
  core::Duration WatchInterval{1'000}; ///< Time between two polls of a watched move.
  /// Consecutive polls that may fail before a watch ends. With the default interval this is one
  /// minute, which covers a change of leader and a short partition.
  int MaxWatchFailures = 60;
};

/// Runs statements. Prints results to `out` and everything else to `err`.
class Tool {
public:
  Tool(Client &client, auth::RandomSource &random, Waiter &waiter, std::ostream &out,
       std::ostream &err, const ToolSettings &settings = {});

  /// Runs one statement, or `help [WORD]`.
  ExitCode run(std::string_view text);

  /// Runs the statements of a script, one per line, up to the first one that fails.
  ExitCode runScript(std::istream &script, std::string_view name);

  /// Sends a file of client blocks in several statements; see BlockFile. Stops at the first one
  /// that fails.
  ExitCode runBlocks(std::istream &blocks, std::string_view name);

  /// Reads statements interactively until the end of the input, `exit` or `quit`. Returns Ok.
  ExitCode runPrompt(std::istream &input);

private:
  ExitCode runCommand(std::string_view text, operator_language::CommandStatement command);
  ExitCode runQuery(std::string_view text, const operator_language::Query &query);
  ExitCode watch(std::string_view text, bool asJson);
  ExitCode report(const operator_language::Answer &answer, bool asJson);
  ExitCode reportFailure(const Reply &reply, ExitCode code);
  ExitCode reportParseError(std::string_view text, const absl::Status &status);
  absl::StatusOr<std::string> newCommandId();

  Client &OperatorClient;
  auth::RandomSource &Random;
  Waiter &PollWaiter;
  std::ostream &Out;
  std::ostream &Err;
  ToolSettings Settings;
};

} // namespace briarspar::ctl
