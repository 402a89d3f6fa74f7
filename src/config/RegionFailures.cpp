#include "config/ChangeEvaluator.h"
#include "config/Text.h"
#include "config/Validation.h"

#include <set>

namespace briarspar::config {

namespace {

/// Shares of forced moves are in parts per 10,000.
constexpr uint64_t FullBasis = 10'000;
constexpr size_t MaxForcedShares = 1'024;

/// Returns what is wrong with the shares, or an empty string.
std::string checkForced(const SetRegionFailure &change) {
  if (change.ForcedShares.size() > MaxForcedShares)
    return concat("more than ", MaxForcedShares, " forced shares");
  uint64_t sum = 0;
  std::set<core::RegionId> seen;
  for (const ForcedShare &it : change.ForcedShares) {
    if (std::string wrong = checkName("region", it.To.Value); !wrong.empty())
      return wrong;
    if (it.To == change.Id || !seen.insert(it.To).second)
      return concat("the forced share to region ", it.To.Value, " is listed twice or leads home");
    sum += it.BasisPoints;
  }
  return sum > FullBasis ? concat("the forced shares sum to ", sum, " of ", FullBasis) : "";
}

} // namespace

Outcome ChangeEvaluator::operator()(const SetRegionFailure &change) {
  const RegionFailureRecord *old = find(Current.RegionFailures, change.Id);
  core::ConfigVersion version = old != nullptr ? old->Changed.Version : core::ConfigVersion();
  // Unlike operators, a leader always names the version that it knows; 0 means that there is no
  // record. A step of an earlier leader then never takes effect after one of its successor.
  if (Request.ExpectedVersion != version)
    return conflict(old != nullptr ? old->Changed.Command : "",
                    concat("the failure of region ", change.Id.Value, " has version ",
                           version.Value, ", not ", Request.ExpectedVersion.Value));
  std::string wrong = checkName("region", change.Id.Value);
  if (wrong.empty())
    wrong = checkForced(change);
  if (!wrong.empty())
    return invalid(wrong);
  if (change.Down || !change.ForcedShares.empty())
    put(RegionFailureRecord{
        change.Id, change.Down, change.Cause, change.Load, change.ForcedShares, {}});
  else if (old != nullptr)
    remove<RegionFailureRecord>(change.Id);
  return accepted(change.Id.Value);
}

} // namespace briarspar::config
