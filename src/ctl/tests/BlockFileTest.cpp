#include "ctl/BlockFile.h"
#include "config/Command.h"
#include "core/testing/Property.h"
#include "operator_language/Parser.h"

#include <sstream>

using namespace briarspar;
using namespace briarspar::ctl;

/// Guards against blocks lost or duplicated between two statements, and against statements above
/// the size limit of the server.
Test(BlockFile, statementsContainEveryBlockOnce) {
  std::string text = "# blocks\n\n";
  constexpr size_t Blocks = 3'000;
  for (size_t n = 0; n < Blocks; ++n)
    text += "10." + std::to_string(n / 256) + "." + std::to_string(n % 256) + ".0/24 " +
            (n % 1'000 == 999 ? "-" : "eu") + "\n";
  std::istringstream in(text);
  BlockFile file(in);
  size_t set = 0;
  size_t removed = 0;
  while (true) {
    auto statement = file.next();
    cr_assert(statement.ok());
    if (statement->empty())
      break;
    cr_assert_eq(file.firstLine(), set + removed + 3);
    auto parsed = operator_language::parse(*statement);
    cr_assert(parsed.ok(), "%s", std::string(parsed.status().message()).c_str());
    const auto &change = std::get<operator_language::CommandStatement>(*parsed).RequestedChange;
    if (const auto *blocks = std::get_if<config::SetBlocks>(&change))
      set += blocks->Blocks.size();
    else
      removed += std::get<config::DeleteBlocks>(change).Blocks.size();
  }
  cr_assert_eq(set, Blocks - 3);
  cr_assert_eq(removed, 3);
}

/// Guards against a malformed line that is silently skipped.
Test(BlockFile, malformedLinesAreRejected) {
  for (const char *line : {"10.0.0.0/8", "10.0.0.0/8 eu more", "10.0.0.1/8 eu", "10.0.0.0/8 ?"}) {
    std::istringstream in(std::string("# first\n") + line + "\n");
    BlockFile file(in);
    cr_assert_not(file.next().ok(), "%s", line);
  }
}
