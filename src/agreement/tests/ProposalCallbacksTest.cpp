#include "agreement/ProposalCallbacks.h"

#include <criterion/criterion.h>

#include <vector>

using namespace briarspar;
using namespace briarspar::agreement;

/// Guards against a proposer that receives the result of another proposal, two results or none,
/// also when a callback registers another one.
Test(ProposalCallbacks, eachIsCalledOnceWithItsResult) {
  ProposalCallbacks callbacks;
  std::vector<std::string> got;
  auto record = [&](const absl::StatusOr<std::string> &result) {
    got.push_back(result.ok() ? *result : std::string(result.status().message()));
  };
  callbacks.add(core::LogIndex(3), [&](const absl::StatusOr<std::string> &result) {
    record(result);
    callbacks.add(core::LogIndex(5), record);
  });
  callbacks.add(core::LogIndex(4), record);
  std::vector<ProposalResult> results;
  results.push_back({core::LogIndex(2), std::string("nobody's")});
  results.push_back({core::LogIndex(3), std::string("three")});
  results.push_back({core::LogIndex(4), absl::UnavailableError("lost")});
  callbacks.complete(results);
  callbacks.complete(results);
  cr_assert_eq(got.size(), 2);
  cr_assert_eq(got[0], "three");
  cr_assert_eq(got[1], "lost");
  results = {{core::LogIndex(5), std::string("five")}};
  callbacks.complete(results);
  cr_assert_eq(got.back(), "five");
}
