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

/// A tool with three servers.
struct Setup {
  explicit Setup(const ToolSettings &settings = {})
      : Link(Vms, {{"vm", 1}, {"vm", 2}, {"vm", 3}}),
        Subject(Link, Random, Pause, Out, Err, settings) {}

  ExitCode run(std::string_view text) { return Subject.run(text); }
  bool printed(std::string_view text) const { return Out.str().find(text) != std::string::npos; }
  bool warned(std::string_view text) const { return Err.str().find(text) != std::string::npos; }

  Fleet Vms;
  Client Link;
  CountingSource Random;
  CountingWaiter Pause;
  std::ostringstream Out;
  std::ostringstream Err;
  Tool Subject;
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

/// Ends the move at the given poll.
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

/// Guards against a command that takes effect twice, or an exit code that claims what is not known.
Test(Tool, anyFaultsGiveOneEffectAndATrueCode) {
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

/// Guards against a failed server that is not skipped, or skipped with another command id.
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

/// Guards against exit codes that scripts cannot tell apart.
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
      {CreateCustomer, {Fleet::Garbage, Fleet::Garbage, Fleet::Garbage}, ExitCode::Unknown, "502"},
      {CreateCustomer, {Fleet::Forbidden}, ExitCode::Rejected, "refused the operator key"},
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

/// Guards against a key that travels to a server, or a printed key that does not work.
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

/// Guards against a watch that ends early, misses the end, or reports a reversal as success.
Test(Tool, watchFollowsTheMoveToItsEnd) {
  ToolSettings settings;
  settings.MaxWatchFailures = 1;
  Setup done(settings);
  prepareMove(done);
  // Two failed polls, each at all three servers, with a good one between them.
  constexpr Fleet::Fault Cut = Fleet::NotConnected;
  done.Vms.Faults = {Fleet::None, Cut, Cut, Cut, Fleet::None, Cut, Cut, Cut};
  endMoveAt(done, 9, config::MoveState::Done);
  cr_assert_eq(done.run("watch move m4"), ExitCode::Ok);
  cr_assert_eq(done.Pause.Total.Ms, 4000);
  Setup reversed;
  prepareMove(reversed);
  endMoveAt(reversed, 2, config::MoveState::RolledBack);
  cr_assert_eq(reversed.run("watch move m4"), ExitCode::RolledBack);
  cr_assert(reversed.printed("judged"));
  settings.MaxWatchFailures = 4;
  Setup cut(settings);
  prepareMove(cut);
  cut.Vms.Faults.assign(100, Cut);
  cr_assert_eq(cut.run("watch move m4"), ExitCode::Unreachable);
  cr_assert_eq(cut.Pause.Total.Ms, 4000);
}

/// Guards against a script that goes on after a failure, or a prompt that ends with one.
Test(Tool, scriptsStopAndPromptsGoOn) {
  Setup setup;
  std::istringstream script("# limits\n\n" + std::string(CreateCustomer) +
                            "\r\nnonsense\nupdate customer c rate 99\n");
  cr_assert_eq(setup.Subject.runScript(script, "limits.txt"), ExitCode::Usage);
  cr_assert(setup.warned("limits.txt:4"));
  cr_assert_eq(setup.Vms.Store.version().Value, 1);
  std::istringstream input("nonsense\nupdate customer c rate 99\nquit\nupdate customer c rate 1\n");
  cr_assert_eq(setup.Subject.runPrompt(input), ExitCode::Ok);
  cr_assert_eq(setup.Vms.Store.records().Customers.begin()->second.Rate, 99);
}

/// Guards against output that a program cannot parse.
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
