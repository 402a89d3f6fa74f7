#include "ctl/Program.h"

#include "ctl/Completion.h"
#include "ctl/Explain.h"
#include "operator_language/Help.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <fstream>
#include <thread>

namespace briarspar::ctl {

namespace {

struct Options {
  std::vector<std::string> Servers;
  std::string KeyFile;
  std::string Script;
  std::string Blocks;
  std::vector<std::string> Words; ///< Words of one statement.
  bool Json = false;
};

class SleepingWaiter final : public Waiter {
public:
  void wait(core::Duration d) override {
    std::this_thread::sleep_for(std::chrono::milliseconds(d.Ms));
  }
};

int codeOf(ExitCode code) { return static_cast<int>(code); }

int usageError(const ProgramStreams &streams, std::string_view what) {
  streams.Err << "briarsparctl: " << what << "\n";
  return codeOf(ExitCode::Usage);
}

void define(CLI::App &app, Options &options) {
  app.add_option("--server", options.Servers, "HOST:PORT of a VM; repeat it to name others to try")
      ->envname("BRIARSPAR_SERVER")
      ->allow_extra_args(false);
  app.add_option("--key-file", options.KeyFile, "file whose first line is the operator key")
      ->envname("BRIARSPAR_KEY_FILE");
  app.add_option("--file", options.Script, "script with one statement a line");
  app.add_option("--blocks", options.Blocks,
                 "file of client blocks, PREFIX REGION or PREFIX - a line");
  app.add_flag("--json", options.Json, "print JSON");
  app.add_option("statement", options.Words, "one statement; without it and --file, a prompt");
  app.footer(
      "explain REQUEST-ID FILE... tells from log files what became of a request.\n\nStatements:\n" +
      operator_language::helpText());
}

absl::StatusOr<std::string> readKey(const std::string &path) {
  std::ifstream file(path);
  std::string key;
  if (!std::getline(file, key))
    return absl::InvalidArgumentError("cannot read a key from " + path);
  key.erase(key.find_last_not_of(" \t\r") + 1);
  if (key.empty() || key.find_first_of(" \t\r") != std::string::npos)
    return absl::InvalidArgumentError("the first line of " + path + " is not a key");
  return key;
}

std::string joined(const std::vector<std::string> &words) {
  std::string out;
  for (const std::string &it : words)
    out += (out.empty() ? "" : " ") + it;
  return out;
}

ExitCode runTool(Tool &tool, const Options &options, std::ifstream &script,
                 const ProgramStreams &streams) {
  if (!options.Words.empty())
    return tool.run(joined(options.Words));
  if (!options.Script.empty())
    return tool.runScript(script, options.Script);
  if (!options.Blocks.empty())
    return tool.runBlocks(script, options.Blocks);
  return tool.runPrompt(streams.In);
}

int explain(const Options &options, const ProgramStreams &streams) {
  if (options.Words.size() < 3)
    return usageError(streams, "expected a request id and log files: explain REQUEST-ID FILE...");
  Explanation explanation(options.Words[1]);
  for (size_t i = 2; i < options.Words.size(); ++i) {
    std::ifstream log(options.Words[i]);
    if (!log)
      return usageError(streams, "cannot read " + options.Words[i]);
    explanation.read(log);
  }
  streams.Out << explanation.text();
  return codeOf(explanation.hasRequest() ? ExitCode::Ok : ExitCode::Rejected);
}

int runParsed(const Options &options, const ProgramStreams &streams) {
  std::string statement = joined(options.Words);
  if (statement == "completion bash") {
    streams.Out << bashCompletion();
    return codeOf(ExitCode::Ok);
  }
  if (!options.Words.empty() && options.Words[0] == "explain")
    return explain(options, streams);
  bool isHelp = !options.Words.empty() && options.Words[0] == "help";
  if (options.Servers.empty() && !isHelp)
    return usageError(streams, "--server HOST:PORT is missing");
  std::vector<Server> servers;
  for (const std::string &it : options.Servers) {
    absl::StatusOr<Server> server = parseServer(it);
    if (!server.ok())
      return usageError(streams, std::string(server.status().message()));
    servers.push_back(*std::move(server));
  }
  std::string key;
  if (!isHelp) {
    absl::StatusOr<std::string> read = readKey(options.KeyFile);
    if (!read.ok())
      return usageError(streams, std::string(read.status().message()));
    key = *std::move(read);
  }
  std::ifstream script;
  std::string file = options.Script.empty() ? options.Blocks : options.Script;
  if (!file.empty()) {
    script.open(file);
    bool isOnly = options.Words.empty() && (options.Script.empty() || options.Blocks.empty());
    if (!script || !isOnly)
      return usageError(streams, script ? "a statement, --file and --blocks exclude each other"
                                        : "cannot read " + file);
  }
  if (options.Words.empty() && file.empty() && !streams.IsTerminal)
    return usageError(streams, "expected a statement, --file or --blocks");
  HttpTransport transport(key);
  Client client(transport, std::move(servers));
  auth::OpenSslRandomSource random;
  SleepingWaiter waiter;
  ToolSettings settings;
  settings.Json = options.Json;
  Tool tool(client, random, waiter, streams.Out, streams.Err, settings);
  return codeOf(runTool(tool, options, script, streams));
}

} // namespace

int runProgram(int argc, const char *const *argv, const ProgramStreams &streams) {
  CLI::App app("Queries and changes a running briarspar system.", "briarsparctl");
  Options options;
  define(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &e) {
    // CLI11 uses its own exit codes; 0 (help) is the only one that is not an error.
    return app.exit(e, streams.Out, streams.Err) == 0 ? codeOf(ExitCode::Ok)
                                                      : codeOf(ExitCode::Usage);
  }
  return runParsed(options, streams);
}

} // namespace briarspar::ctl
