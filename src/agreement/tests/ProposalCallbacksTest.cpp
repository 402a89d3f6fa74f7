#include "agreement/ProposalCallbacks.h"

#include <criterion/criterion.h>

#include <vector>

using namespace briarspar;
using namespace briarspar::agreement;

/// Guards against a caller that gets the result of another proposal, two results or none, also when
/// it proposes again while it is called.
Test(ProposalCallbacks, eachIsCalledOnceWithItsResult) {
  ProposalCallbacks waits;
  std::vector<std::string> got;
  auto note = [&](const absl::StatusOr<std::string> &result) {
    got.push_back(result.ok() ? *result : std::string(result.status().message()));
  };
  waits.add(core::LogIndex(3), [&](const absl::StatusOr<std::string> &result) {
    note(result);
    waits.add(core::LogIndex(5), note);
  });
  waits.add(core::LogIndex(4), note);
  std::vector<ProposalResult> results;
  results.push_back({core::LogIndex(2), std::string("nobody's")});
  results.push_back({core::LogIndex(3), std::string("three")});
  results.push_back({core::LogIndex(4), absl::UnavailableError("lost")});
  waits.complete(results);
  waits.complete(results);
  cr_assert_eq(got.size(), 2);
  cr_assert_eq(got[0], "three");
  cr_assert_eq(got[1], "lost");
  results = {{core::LogIndex(5), std::string("five")}};
  waits.complete(results);
  cr_assert_eq(got.back(), "five");
}
