#include "operator_language/Help.h"

#include "operator_language/HelpTable.h"

#include <array>

namespace briarspar::operator_language {

namespace {

#define BRIARSPAR_COUNT(Syntax, Meaning, Example) +1
#define BRIARSPAR_ROW(Syntax, Meaning, Example) StatementHelp{Syntax, Meaning, Example},
constexpr std::array<StatementHelp, BRIARSPAR_STATEMENTS(BRIARSPAR_COUNT)> Statements{
    {BRIARSPAR_STATEMENTS(BRIARSPAR_ROW)}};
#undef BRIARSPAR_ROW
#undef BRIARSPAR_COUNT

constexpr std::string_view Options =
    "Every change also takes:\n"
    "  expect N        accept it only if the record is at version N (column `changed`)\n"
    "  id COMMAND-ID   a resend with the same id gets the first outcome\n";

} // namespace

absl::Span<const StatementHelp> statements() { return Statements; }

std::string helpText(std::string_view topic) {
  std::string out;
  for (const StatementHelp &it : Statements) {
    if (!topic.empty() && it.Syntax.substr(0, it.Syntax.find(' ')) != topic)
      continue;
    out.append(it.Syntax).append("\n    ").append(it.Meaning);
    out.append("\n    example: ").append(it.Example).append("\n");
  }
  if (out.empty())
    return helpText();
  return out.append("\n").append(Options);
}

} // namespace briarspar::operator_language
