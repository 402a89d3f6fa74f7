#include "daemon/Settings.h"
#include "core/testing/Property.h"

#include <string>

using namespace briarspar::daemon;

namespace {

constexpr const char *Valid = R"({
  "vm": "a", "region": "r1", "domain": "r1-d1", "secret": "0123456789abcdef",
  "data_folder": "data",
  "peers": [{"vm": "a", "host": "127.0.0.1", "port": 7000, "voter": true}]
})";

std::string with(const std::string &member) {
  std::string text = Valid;
  return text.insert(1, member + ",");
}

} // namespace

Test(Settings, validSettingsAreParsed) {
  auto settings = parseSettings(Valid);
  cr_assert(settings.ok());
  cr_assert(settings->isVoter());
  cr_assert_eq(settings->LookupTtl.Ms, 5000);
}

/// Guards against validation that stops at the first problem.
Test(Settings, allProblemsAreReportedWithTheirPaths) {
  auto settings = parseSettings(with(R"("caller_port": 70000, "drain_grace_ms": "soon")"));
  cr_assert_not(settings.ok());
  std::string message(settings.status().message());
  cr_assert(message.find("caller_port") != std::string::npos);
  cr_assert(message.find("drain_grace_ms") != std::string::npos);
}

/// Guards against a misspelled member that is silently ignored.
Test(Settings, unknownMemberIsRejected) {
  cr_assert_not(parseSettings(with(R"("caller_prot": 1)")).ok());
}

/// Guards against a voter that stores its vote in memory only.
Test(Settings, voterWithoutDataFolderIsRejected) {
  std::string text = Valid;
  text.replace(text.find("\"data_folder\": \"data\","), 22, "");
  cr_assert_not(parseSettings(text).ok());
}

/// Guards against settings that crash the process instead of returning an error.
Test(Settings, arbitraryTextIsAnError) {
  briarspar::core::testing::checkProperty(
      "text without settings is rejected",
      [](const std::string &text) { RC_ASSERT(!parseSettings(text).ok()); });
}
