#include "operator_language/Parser.h"
#include "config/Command.h"
#include "core/testing/Property.h"
#include "operator_language/Help.h"

#include <string>
#include <vector>

using namespace briarspar;
using namespace briarspar::operator_language;
using core::testing::checkProperty;

namespace {

CommandStatement commandOf(std::string_view text) {
  absl::StatusOr<Statement> statement = parse(text);
  cr_assert(statement.ok(), "%s", std::string(statement.status().message()).c_str());
  return std::get<CommandStatement>(*statement);
}

template <class T> T changeOf(std::string_view text) {
  return std::get<T>(commandOf(text).RequestedChange);
}

Query queryOf(std::string_view text) {
  absl::StatusOr<Statement> statement = parse(text);
  cr_assert(statement.ok());
  return std::get<Query>(*statement);
}

/// Returns a string by which parsed statements can be compared.
std::string comparableForm(const Statement &statement) {
  if (const auto *command = std::get_if<CommandStatement>(&statement))
    return config::encode(
        {command->Id, "", command->ExpectedVersion, command->RequestedChange, {}});
  const Query &query = std::get<Query>(statement);
  return std::to_string(query.Body.index()) + (query.AsJson ? "json" : "");
}

std::vector<std::string> examples() {
  std::vector<std::string> out;
  for (const StatementHelp &it : statements())
    out.emplace_back(it.Example);
  out.emplace_back("create key for c digest " + std::string(64, 'a') + " expect 7 id x-1");
  return out;
}

void assertErrorHasColumn(const absl::Status &status, std::string_view text) {
  RC_ASSERT(absl::IsInvalidArgument(status));
  RC_ASSERT(errorColumn(status) >= 1);
  RC_ASSERT(errorColumn(status) <= std::max(text.size(), MaxStatementBytes) + 1);
}

} // namespace

/// Guards against help examples that the parser rejects.
Test(Parser, everyExampleParses) {
  for (const std::string &it : examples())
    cr_assert(parse(it).ok(), "%s", it.c_str());
  cr_assert_eq(statements().size(), 19);
}

/// Guards against a value that is stored in the wrong member of a change.
Test(Parser, changesHoldTheValues) {
  auto customer = changeOf<config::CreateCustomer>("create customer c rate 10 burst 20 weight 3");
  cr_assert(customer.Id.Value == "c" && customer.Rate == 10 && customer.Burst == 20 &&
            customer.Weight == 3);
  auto update = changeOf<config::UpdateCustomer>("update customer c weight 4 rate 9");
  cr_assert(update.Rate == 9u && update.Weight == 4u && !update.Burst);
  auto key = changeOf<config::CreateKey>("create key for c digest 0a" + std::string(62, 'F'));
  cr_assert(key.Customer.Value == "c" && key.Digest[0] == 10 && key.Digest[31] == 255);
  cr_assert(changeOf<config::CreateKey>("create key for c").Digest == config::KeyDigest{});
  auto route = changeOf<config::CreateRoute>("create route r path /p open idempotent deadline 2s");
  cr_assert(route.PathPrefix == "/p" && route.Access == config::RouteAccess::Open &&
            route.Semantics == config::RouteSemantics::Idempotent && route.Deadline.Ms == 2000);
  auto target = changeOf<config::AddTarget>(
      "add target t address [::1]:80 route r version v1 slots 5 region eu domain eu-1");
  cr_assert(target.Id.Value == "t" && target.Address == "[::1]:80" && target.Route.Value == "r" &&
            target.Version.Value == "v1" && target.Slots == 5 && target.Region.Value == "eu" &&
            target.Domain.Value == "eu-1");
  auto blocks = changeOf<config::SetBlocks>("set block 10.1.0.0/16,10.2.0.0/16 region eu");
  cr_assert_eq(blocks.Blocks.size(), 2);
  cr_assert_eq(blocks.Blocks[1].Value, "10.2.0.0/16");
  cr_assert_eq(blocks.Region.Value, "eu");
  auto gone = changeOf<config::DeleteBlocks>("delete block 0.0.0.0/0");
  cr_assert_eq(gone.Blocks.at(0).Value, "0.0.0.0/0");
  auto cap = changeOf<config::SetCap>("set cap all 2.5% per 10m");
  cr_assert(cap.Id.Value == "all" && cap.Permille == 25 && cap.Period.Ms == 600'000);
  auto drain = changeOf<config::StartDrain>("drain vm vm1 by 1d");
  cr_assert(drain.Kind == config::DrainKind::Vm && drain.Name == "vm1" &&
            drain.TimeLimit.Ms == 86'400'000);
  auto undrain = changeOf<config::CancelDrain>("undrain region eu");
  cr_assert(undrain.Kind == config::DrainKind::Region && undrain.Name == "eu");
  auto shift = changeOf<config::StartShift>("shift eu to us 20 by 1h");
  cr_assert(shift.From == "eu" && shift.To == "us" && shift.Permille == 200 &&
            shift.TimeLimit.Ms == 3'600'000);
  auto move = changeOf<config::StartMove>("move route r to version v2 by 500ms");
  cr_assert(move.Route.Value == "r" && move.To.Value == "v2" && move.TimeLimit.Ms == 500);
  cr_assert_eq(changeOf<config::CancelMove>("cancel move m1").Id.Value, "m1");
  cr_assert_eq(changeOf<config::WithdrawKey>("withdraw key k1").Id.Value, "k1");
  cr_assert_eq(changeOf<config::DeleteRoute>("delete route r").Id.Value, "r");
  cr_assert_eq(changeOf<config::DeleteTarget>("delete target t").Id.Value, "t");
  CommandStatement options = commandOf("delete route r id x expect 7");
  cr_assert(options.Id == "x" && options.ExpectedVersion.Value == 7);
}

/// Guards against a query with wrong arguments.
Test(Parser, queriesHoldTheValues) {
  cr_assert_eq(std::get<ShowQuery>(queryOf("show vms").Body).ListedCollection, Collection::Vms);
  cr_assert_not(queryOf("show vms").AsJson);
  cr_assert(queryOf("timeline as json").AsJson);
  cr_assert_eq(std::get<TimelineQuery>(queryOf("timeline request a/b?").Body).Request, "a/b?");
  cr_assert_eq(std::get<WatchQuery>(queryOf("watch move m1").Body).Move.Value, "m1");
}

/// Guards against errors with the wrong column or without the expected syntax.
Test(Parser, errorsNameColumnAndExpectation) {
  struct Case {
    const char *Text;
    size_t Column;
    const char *Expected;
  };
  const Case cases[] = {
      {"", 1, "'show', 'create'"},
      {"shows customers", 1, "'show', 'create'"},
      {"show", 5, "'customers', 'keys'"},
      {"show   customer", 8, "'customers', 'keys'"},
      {"show keys as", 13, "'json'"},
      {"show keys now", 11, "'as json' or the end"},
      {"create", 7, "'customer', 'key' or 'route'"},
      {"create customer c rate", 23, "a number"},
      {"create customer c rate x", 24, "a number"},
      {"create customer c rate 5x", 24, "a number"},
      {"create customer c burst 5", 19, "'rate'"},
      {"create customer c rate 99999999999999999999 burst 1 weight 1", 24, "a number up to"},
      {"create customer c rate 1 burst 1 weight 4294967296", 41, "a number up to 4294967295"},
      {"update customer c", 18, "'rate', 'burst' or 'weight'"},
      {"update customer c rate 1 rate 2", 31, "each option once"},
      {"create key for c digest abc", 25, "64 hexadecimal digits"},
      {"create route r path p", 21, "a path prefix"},
      {"create route r path /a?b open once deadline 1s", 21, "a path prefix"},
      {"create route r path /p closed", 24, "'open' or 'keyed'"},
      {"create route r path /p open once deadline 5", 43, "a duration"},
      {"create route r path /p open once deadline 0s", 43, "a duration from 1ms"},
      {"add target t address 1.2.3:80 route r version v slots 1 region a domain b", 22,
       "an address IP:PORT"},
      {"set cap all 200% per 1s", 13, "a percentage from 0.1%"},
      {"set route r", 5, "'cap' or 'block'"},
      {"set block 10.0.0.0/8,10.0.0.1/8 region r", 22, "an IPv4 prefix"},
      {"set block 10.0.0.0/8, region r", 22, "an IPv4 prefix"},
      {"drain host h", 7, "'target', 'vm', 'domain' or 'region'"},
      {"drain vm v by 367d", 15, "a duration from 1ms to 366d"},
      {"drain vm v by 5 minutes", 15, "a duration"},
      {"drain vm v expect 5 expect 6", 28, "each option once"},
      {"drain vm v soon", 12, "'expect N', 'id COMMAND-ID' or the end"},
      {"delete customer c", 8, "'route', 'target' or 'block'"},
      {"move route r to v2", 17, "'version'"},
      {"withdraw key k1\nshow keys", 16, "or the end"},
  };
  for (const Case &it : cases) {
    absl::Status status = parse(it.Text).status();
    cr_assert_eq(errorColumn(status), it.Column, "%s: column %zu", it.Text, errorColumn(status));
    std::string message(status.message());
    cr_assert(message.find(it.Expected) != std::string::npos, "%s: %s", it.Text, message.c_str());
  }
}

/// Guards against a crash on arbitrary bytes and against errors without a column.
Test(Parser, arbitraryBytesGiveAStatus) {
  checkProperty("generated bytes", [](const std::vector<uint8_t> &bytes) {
    std::string text(bytes.begin(), bytes.end());
    absl::StatusOr<Statement> statement = parse(text);
    RC_ASSERT_FALSE(statement.ok());
    assertErrorHasColumn(statement.status(), text);
  });
  checkProperty("changed statements", [] {
    std::string text = *rc::gen::elementOf(examples());
    int edits = *rc::gen::inRange(1, 4);
    for (int n = 0; n < edits && !text.empty(); ++n) {
      size_t at = *rc::gen::inRange<size_t>(0, text.size());
      if (*rc::gen::arbitrary<bool>())
        text.erase(at, *rc::gen::inRange<size_t>(1, 10));
      else
        text.insert(at, 1, *rc::gen::arbitrary<char>());
    }
    absl::StatusOr<Statement> statement = parse(text);
    if (!statement.ok())
      assertErrorHasColumn(statement.status(), text);
  });
  std::string longest = "show " + std::string(MaxStatementBytes - 9, ' ') + "keys";
  cr_assert(parse(longest).ok());
  cr_assert_eq(errorColumn(parse(" " + longest).status()), MaxStatementBytes + 1);
}

/// Guards against whitespace that changes the meaning of a statement.
Test(Parser, blanksDoNotMatter) {
  checkProperty("more blanks give the same statement", [] {
    std::string text = *rc::gen::elementOf(examples());
    std::string spaced = "\t";
    for (char c : text)
      spaced +=
          c == ' ' ? std::string(*rc::gen::inRange<size_t>(1, 4), ' ') + "\t" : std::string(1, c);
    absl::StatusOr<Statement> statement = parse(spaced + "  ");
    RC_ASSERT(statement.ok());
    RC_ASSERT(comparableForm(*statement) == comparableForm(*parse(text)));
  });
}
