#include "ctl/Tool.h"
#include "Fleet.h"

#include <sstream>

using namespace briarspar;
using namespace briarspar::ctl;
using namespace briarspar::ctl::testing;
using core::testing::checkProperty;

namespace {

class CountingSource final : public auth::RandomSource {
public:
  absl::Status fill(absl::Span<uint8_t> bytes) override {
    for (uint8_t &it : bytes)
      it = Next++;
    return absl::OkStatus();
  }

private:
  uint8_t Next = 0;
};

class CountingWaiter final : public Waiter {
public:
  void wait(core::Duration d) override { Total = Total + d; }
  core::Duration Total;
};

/// A tool connected to three servers.
struct Setup {
  explicit Setup(const ToolSettings &settings = {})
      : OperatorClient(Vms, {{"vm", 1}, {"vm", 2}, {"vm", 3}}),
        TestedTool(OperatorClient, Random, PollWaits, Out, Err, settings) {}

  ExitCode run(std::string_view text) { return TestedTool.run(text); }
  bool printed(std::string_view text) const { return Out.str().find(text) != std::string::npos; }
  bool warned(std::string_view text) const { return Err.str().find(text) != std::string::npos; }

  Fleet Vms;
  Client OperatorClient;
  CountingSource Random;
  CountingWaiter PollWaits;
  std::ostringstream Out;
  std::ostringstream Err;
  Tool TestedTool;
};

const char *const CreateCustomer = "create customer c rate 10 burst 5 weight 1";

void prepareMove(Setup &setup) {
  for (const char *text :
       {"create route r path /r open once deadline 1s",
        "add target a address 127.0.0.1:1 route r version v1 slots 1 region eu domain eu-1",
        "add target b address 127.0.0.1:2 route r version v2 slots 1 region eu domain eu-1",
        "move route r to version v2 by 1h"})
    cr_assert_eq(setup.run(text), ExitCode::Ok);
}

/// Sets the final state of the move at the given poll.
void endMoveAt(Setup &setup, int poll, config::MoveState state) {
  setup.Vms.OnPost = [&setup, state, left = poll]() mutable {
    if (--left == 0)
      setup.Vms.Store.apply({"end",
                             "controller",
                             {},
                             config::UpdateMove{core::MoveId("m4"), state, "judged", 0, ""}});
  };
}

} // namespace

/// Guards against a command that takes effect twice, and against an exit code that reports a known
/// outcome when it is unknown.
Test(Tool, faultsCauseAtMostOneEffectAndAValidCode) {
  checkProperty("at most one effect", [] {
    Setup setup;
    for (int n = 0; n < 3; ++n)
      setup.Vms.Faults.push_back(static_cast<Fleet::Fault>(*rc::gen::inRange(0, 7)));
    ExitCode code = setup.run(CreateCustomer);
    uint64_t effects = setup.Vms.Store.version().Value;
    RC_ASSERT(effects <= 1);
    if (code == ExitCode::Ok)
      RC_ASSERT(effects == 1);
    else if (code == ExitCode::Unreachable)
      RC_ASSERT(effects == 0);
    else
      RC_ASSERT(code == ExitCode::Unknown);
    for (const std::string &body : setup.Vms.Bodies)
      RC_ASSERT(body == setup.Vms.Bodies[0]);
  });
}

/// Guards against a failover that does not happen or uses a new command id.
Test(Tool, nextServerGetsTheSameCommandId) {
  Setup setup;
  setup.Vms.Faults = {Fleet::NotConnected, Fleet::AnswerLost};
  cr_assert_eq(setup.run(CreateCustomer), ExitCode::Ok);
  cr_assert(setup.Vms.Ports == std::vector<int>({1, 2, 3}));
  cr_assert_eq(setup.Vms.Bodies[0], setup.Vms.Bodies[1]);
  cr_assert(setup.printed("accepted at version 1: c"));
  cr_assert_eq(setup.run("show customers"), ExitCode::Ok);
  cr_assert_eq(setup.Vms.Ports.back(), 3, "the server that answered is tried first");
}

/// Guards against results that scripts cannot distinguish by exit code.
Test(Tool, exitCodes) {
  struct Case {
    const char *Text;
    std::deque<Fleet::Fault> Faults;
    ExitCode Code;
    const char *Warning;
  };
  const Case cases[] = {
      {"create customer", {}, ExitCode::Usage, "^\ncolumn 16: expected a name"},
      {CreateCustomer,
       {Fleet::NotRun, Fleet::NotConnected, Fleet::NotRun},
       ExitCode::Unreachable,
       "no leader"},
      {CreateCustomer,
       {Fleet::NotRun, Fleet::Unavailable, Fleet::NotRun},
       ExitCode::Unknown,
       "id "},
      {CreateCustomer,
       {Fleet::MalformedAnswer, Fleet::MalformedAnswer, Fleet::MalformedAnswer},
       ExitCode::Unknown,
       "502"},
      {CreateCustomer, {Fleet::KeyRefused}, ExitCode::Rejected, "refused the operator key"},
      {"show customers",
       {Fleet::RequestLost, Fleet::AnswerLost, Fleet::Unavailable},
       ExitCode::Unreachable,
       "no leader"},
      {"create customer c rate 0 burst 1 weight 1", {}, ExitCode::Rejected, "invalid: rate"},
      {"create customer c rate 1 burst 1 weight 1 id first", {}, ExitCode::Ok, ""},
      {"create customer c rate 2 burst 1 weight 1", {}, ExitCode::Rejected, "first came first"},
      {"watch move m9", {}, ExitCode::Rejected, "does not exist"},
      {"help shift", {}, ExitCode::Ok, ""},
  };
  Setup setup;
  for (const Case &it : cases) {
    setup.Vms.Faults = it.Faults;
    setup.Err.str("");
    cr_assert_eq(setup.run(it.Text), it.Code, "%s", it.Text);
    cr_assert(setup.warned(it.Warning), "%s: %s", it.Text, setup.Err.str().c_str());
  }
}

/// Guards against a key that is sent to a server, and against a printed key that is not valid.
Test(Tool, onlyTheDigestOfAKeyIsSent) {
  Setup setup;
  setup.run(CreateCustomer);
  setup.Vms.Faults = {Fleet::AnswerLost};
  cr_assert_eq(setup.run("create key for c expect 1 id x"), ExitCode::Ok);
  cr_assert_not(setup.printed("key: "), "a replayed id may belong to a key of an earlier run");
  cr_assert(setup.warned("earlier send"));
  setup.Vms.Faults = {Fleet::AnswerLost};
  cr_assert_eq(setup.run("create key for c"), ExitCode::Ok);
  std::string out = setup.Out.str();
  std::string key = out.substr(out.find("key: ") + 5);
  key.pop_back();
  auto keys = setup.Vms.Store.records().Keys;
  cr_assert_eq(keys.size(), 2);
  cr_assert(auth::matches(keys.at(core::KeyId("k3")).Digest, key));
  for (const std::string &body : setup.Vms.Bodies)
    cr_assert(body.find("bsk_") == std::string::npos);
}

/// Guards against a watch that ends early, misses the end of the move, or reports a rollback as
/// success.
Test(Tool, watchFollowsTheMoveToItsEnd) {
  ToolSettings settings;
  settings.MaxWatchFailures = 1;
  Setup done(settings);
  prepareMove(done);
  // Two failed polls, each at all three servers, with a successful one between them.
  constexpr Fleet::Fault Disconnect = Fleet::NotConnected;
  done.Vms.Faults = {Fleet::None, Disconnect, Disconnect, Disconnect,
                     Fleet::None, Disconnect, Disconnect, Disconnect};
  endMoveAt(done, 9, config::MoveState::Done);
  cr_assert_eq(done.run("watch move m4"), ExitCode::Ok);
  cr_assert_eq(done.PollWaits.Total.Ms, 4000);
  Setup rolledBack;
  prepareMove(rolledBack);
  endMoveAt(rolledBack, 2, config::MoveState::RolledBack);
  cr_assert_eq(rolledBack.run("watch move m4"), ExitCode::RolledBack);
  cr_assert(rolledBack.printed("judged"));
  settings.MaxWatchFailures = 4;
  Setup cut(settings);
  prepareMove(cut);
  cut.Vms.Faults.assign(100, Disconnect);
  cr_assert_eq(cut.run("watch move m4"), ExitCode::Unreachable);
  cr_assert_eq(cut.PollWaits.Total.Ms, 4000);
}

/// Guards against a script that continues after a failure, and against a prompt that ends on one.
Test(Tool, scriptsStopAndPromptsContinueOnFailure) {
  Setup setup;
  std::istringstream script("# limits\n\n" + std::string(CreateCustomer) +
                            "\r\nnonsense\nupdate customer c rate 99\n");
  cr_assert_eq(setup.TestedTool.runScript(script, "limits.txt"), ExitCode::Usage);
  cr_assert(setup.warned("limits.txt:4"));
  cr_assert_eq(setup.Vms.Store.version().Value, 1);
  std::istringstream input("nonsense\nupdate customer c rate 99\nquit\nupdate customer c rate 1\n");
  cr_assert_eq(setup.TestedTool.runPrompt(input), ExitCode::Ok);
  cr_assert_eq(setup.Vms.Store.records().Customers.begin()->second.Rate, 99);
}

/// Guards against output that is not valid JSON.
Test(Tool, jsonOutput) {
  ToolSettings settings;
  settings.Json = true;
  Setup setup(settings);
  setup.run(CreateCustomer);
  setup.run("create key for c");
  setup.run("create customer c rate 1 burst 1 weight 1");
  std::istringstream lines(setup.Out.str());
  std::string line;
  std::vector<core::Json> printed;
  while (std::getline(lines, line))
    printed.push_back(core::Json::parse(line));
  cr_assert_eq(printed.size(), 3);
  cr_assert_eq(printed[1]["subject"], "k2");
  cr_assert_eq(printed[1]["key"].get<std::string>().substr(0, 4), "bsk_");
  cr_assert_eq(printed[2]["kind"], "conflict");
  setup.Out.str("");
  setup.run("show customers");
  cr_assert_eq(core::Json::parse(setup.Out.str())[0]["rate"], 10);
}
