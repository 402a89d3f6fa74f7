#pragma once

#include "auth/KeyGenerator.h"
#include "core/Clock.h"
#include "ctl/Client.h"
#include "operator_language/Statement.h"

#include <iosfwd>
#include <string>
#include <string_view>

namespace briarspar::ctl {

/// Exit codes of the program; docs/LANGUAGE.md lists them.
enum class ExitCode : int {
  Ok = 0,
  Rejected = 1,    ///< Invalid, a conflict, or the operator key was refused.
  Usage = 2,       ///< Wrong options, or the statement does not parse.
  Unreachable = 3, ///< No server could be reached; the statement had no effect.
  Unknown = 4,     ///< The statement may have taken effect.
  RolledBack = 5,  ///< The watched move was taken back.
};

/// Waits between two polls. Called from the thread that runs the tool.
class Waiter {
public:
  virtual ~Waiter() = default;
  virtual void wait(core::Duration d) = 0;
};

struct ToolSettings {
  bool Json = false;                   ///< Print JSON for every statement.
  core::Duration WatchInterval{1'000}; ///< Time between two polls of a watched move.
  /// Polls in a row that may fail before a watch ends. A minute covers a change of leader and a
  /// short partition.
  int MaxWatchFailures = 60;
};

/// Runs statements and prints their results: results to `out`, all else to `err`.
class Tool {
public:
  Tool(Client &client, auth::RandomSource &random, Waiter &waiter, std::ostream &out,
       std::ostream &err, const ToolSettings &settings = {});

  /// Runs one statement, or `help [WORD]`.
  ExitCode run(std::string_view text);

  /// Runs the statements of a script, one a line, until the first one that fails.
  ExitCode runScript(std::istream &script, std::string_view name);

  /// Sends a file of client blocks in pieces; see BlockFile. Ends at the first piece that fails.
  ExitCode runBlocks(std::istream &blocks, std::string_view name);

  /// Reads statements with a prompt until the end of input, `exit` or `quit`. Returns Ok.
  ExitCode runPrompt(std::istream &input);

private:
  ExitCode runCommand(std::string_view text, operator_language::CommandStatement command);
  ExitCode runQuery(std::string_view text, const operator_language::Query &query);
  ExitCode watch(std::string_view text, bool asJson);
  ExitCode report(const operator_language::Answer &answer, bool asJson);
  ExitCode reportFailure(const Reply &reply, ExitCode code);
  ExitCode reportParseError(std::string_view text, const absl::Status &status);
  absl::StatusOr<std::string> newCommandId();

  Client &Link;
  auth::RandomSource &Random;
  Waiter &Pause;
  std::ostream &Out;
  std::ostream &Err;
  ToolSettings Settings;
};

} // namespace briarspar::ctl
