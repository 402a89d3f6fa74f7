#include "config/ConfigStore.h"
#include "core/testing/Property.h"
#include "operator_language/Answer.h"
#include "operator_language/Parser.h"
#include "operator_language/RecordQueries.h"

#include <string>

using namespace briarspar;
using namespace briarspar::operator_language;
using core::Json;
using core::testing::checkProperty;

namespace {

/// Returns a store with a record of every kind that queries list.
config::ConfigStore populatedStore() {
  config::ConfigStore store;
  const char *texts[] = {
      "create customer c rate 10 burst 20 weight 3",
      "create key for c",
      "create route r path /p keyed once deadline 1500ms",
      "add target t1 address 127.0.0.1:1 route r version v1 slots 4 region eu domain eu-1",
      "add target t2 address 127.0.0.1:2 route r version v2 slots 4 region us domain us-1",
      "set cap all 2.5% per 10m",
      "shift eu to us 2.5% by 1h",
      "move route r to version v2 by 2h",
      "drain domain eu-1 by 90s",
  };
  for (const char *text : texts) {
    auto statement = std::get<CommandStatement>(*parse(text));
    if (auto *key = std::get_if<config::CreateKey>(&statement.RequestedChange))
      key->Digest[0] = 1;
    std::string id = std::to_string(store.version().Value);
    config::Outcome outcome =
        store.apply({id, "ops", statement.ExpectedVersion, statement.RequestedChange, {}});
    cr_assert_eq(outcome.Status, config::Outcome::Accepted, "%s", outcome.Reason.c_str());
  }
  store.apply({"vm",
               "ops",
               {},
               config::PutVm{core::VmId("vm1"), "127.0.0.1:3", "127.0.0.1:4", core::RegionId("eu"),
                             core::DomainId("eu-1")},
               {}});
  store.apply({"block",
               "ops",
               {},
               config::SetBlocks{{config::BlockId("10.1.0.0/16")}, core::RegionId("eu")},
               {}});
  return store;
}

Table runQuery(const config::ConfigStore &store, std::string_view text) {
  return queryRecords(std::get<Query>(*parse(text)), store.records());
}

std::string rowText(const Table &table, size_t row) {
  Json cells = table.Rows.at(row);
  return cells.dump();
}

} // namespace

/// Guards against a column that shows the wrong member, and a state that ignores drains of a
/// failure domain.
Test(RecordQueries, rowsShowTheRecords) {
  config::ConfigStore store = populatedStore();
  cr_assert_eq(rowText(runQuery(store, "show customers"), 0), R"(["c",10,20,3,2])");
  cr_assert_eq(rowText(runQuery(store, "show keys"), 0), R"(["k2","c",2])");
  cr_assert_eq(rowText(runQuery(store, "show routes"), 0),
               R"(["r","/p","keyed","once","1500ms","v1",8])");
  cr_assert_eq(rowText(runQuery(store, "show targets"), 0),
               R"(["t1","r","127.0.0.1:1","v1",4,"eu","eu-1","draining",4])");
  cr_assert_eq(rowText(runQuery(store, "show targets"), 1),
               R"(["t2","r","127.0.0.1:2","v2",4,"us","us-1","active",5])");
  cr_assert_eq(rowText(runQuery(store, "show vms"), 0),
               R"(["vm1","127.0.0.1:3","127.0.0.1:4","eu","eu-1","draining",10])");
  cr_assert_eq(rowText(runQuery(store, "show moves"), 0),
               R"(["m8","version","r","v1","v2",0.0,100.0,"2h","running","",8])");
  cr_assert_eq(rowText(runQuery(store, "watch move s7"), 0),
               R"(["s7","shift",null,"eu","us",0.0,2.5,"1h","running","",7])");
  cr_assert_eq(rowText(runQuery(store, "show drains"), 0),
               R"(["domain","eu-1","90s","running","",9])");
  cr_assert_eq(rowText(runQuery(store, "show caps"), 0), R"(["all",2.5,"10m",6])");
  cr_assert_eq(rowText(runQuery(store, "show blocks"), 0), R"(["10.1.0.0/16","eu",11])");
  cr_assert_eq(rowText(versionTable(store.version(), 0xab), 0), R"([11,"00000000000000ab"])");
  cr_assert(runQuery(store, "watch move m99").Rows.empty());
}

/// Guards against rows whose number of cells differs from the number of columns.
Test(RecordQueries, rowsFitTheColumns) {
  config::ConfigStore store = populatedStore();
  for (std::string_view name : config::EnumNames<Collection>::Values) {
    Table table = runQuery(store, "show " + std::string(name));
    cr_assert(name == "version" || !table.Rows.empty());
    for (const auto &row : table.Rows)
      cr_assert_eq(row.size(), table.Columns.size());
  }
}

/// Guards against misaligned columns, lost cells and cells that inject terminal sequences.
Test(Table, formats) {
  Table table{{"name", "n"}, {{"long name", 7}, {"\x1b[2J\n", nullptr}, {""}}};
  cr_assert_eq(formatTable(table), "name       n\n"
                                   "long name  7\n"
                                   "?[2J?      -\n"
                                   "-          -\n");
  Json parsed = Json::parse(formatJson(table));
  cr_assert(parsed[0] == Json({{"name", "long name"}, {"n", 7}}));
  cr_assert(parsed[1]["n"].is_null());
  cr_assert_eq(formatJson({{"a"}, {}}), "[]\n");
}

/// Guards against a formatted duration that parses to a different value.
Test(Table, durationsRoundTrip) {
  checkProperty("parse(format(d)) == d", [] {
    int64_t unit = *rc::gen::element<int64_t>(1, 1000, 60'000, 3'600'000, 86'400'000);
    core::Duration d{unit * *rc::gen::inRange<int64_t>(1, 300)};
    absl::StatusOr<Statement> statement = parse("drain vm v by " + formatDuration(d));
    RC_ASSERT(statement.ok());
    auto &change = std::get<CommandStatement>(*statement).RequestedChange;
    RC_ASSERT(std::get<config::StartDrain>(change).TimeLimit == d);
  });
}

/// Guards against members lost in the encoding and against a crash of the decoder.
Test(Answer, survivesRoundTripAndCorruption) {
  config::Outcome outcome;
  outcome.Status = config::Outcome::Conflict;
  outcome.Version = core::ConfigVersion(9);
  outcome.WinningCommand = "w";
  outcome.Reason = "late";
  outcome.Replayed = true;
  Answer conflict = answerFor(outcome);
  cr_assert_eq(encode(conflict), R"({"kind":"conflict","reason":"late","replayed":true,)"
                                 R"("version":9,"winner":"w"})");
  Answer result;
  result.Status = Answer::Result;
  result.ResultTable = {{"a", "b"}, {{1, "x"}, {nullptr, 2.5}}};
  Answer invalid = answerForParseError(parse("show").status());
  cr_assert_eq(invalid.Column, 5);
  for (const Answer &it : {conflict, result, invalid}) {
    absl::StatusOr<Answer> decoded = decodeAnswer(encode(it));
    cr_assert(decoded.ok());
    cr_assert_eq(encode(*decoded), encode(it));
  }
  for (const char *bad : {"", "[]", "{}", R"({"kind":"no"})", R"({"kind":"accepted","version":-1})",
                          R"({"kind":"result","columns":["a"],"rows":[[1,2]]})",
                          R"({"kind":"result","columns":[1],"rows":[]})"})
    cr_assert_not(decodeAnswer(bad).ok(), "%s", bad);
  cr_assert_eq(decodeOperatorRequest(encode(OperatorRequest{"show keys", "i"}))->Statement,
               "show keys");
  checkProperty("changed bytes", [&] {
    std::string text = encode(result);
    text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    (void)decodeAnswer(text);
    RC_ASSERT_FALSE(decodeOperatorRequest(text).ok());
  });
}
