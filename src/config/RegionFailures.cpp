#include "config/ChangeEvaluator.h"
#include "config/Text.h"
#include "config/Validation.h"

#include <set>

namespace briarspar::config {

namespace {

/// All callers of a region, in basis points (parts per 10,000).
constexpr uint64_t TotalBasisPoints = 10'000;
constexpr size_t MaxForcedShares = 1'024;

/// Returns an error message, or an empty string for valid shares.
std::string checkForcedShares(const SetRegionFailure &change) {
  if (change.ForcedShares.size() > MaxForcedShares)
    return concat("more than ", MaxForcedShares, " forced shares");
  uint64_t sum = 0;
  std::set<core::RegionId> seen;
  for (const ForcedShare &it : change.ForcedShares) {
    if (std::string error = checkName("region", it.To.Value); !error.empty())
      return error;
    if (it.To == change.Id || !seen.insert(it.To).second)
      return concat("the forced share to region ", it.To.Value, " is listed twice or leads home");
    sum += it.BasisPoints;
  }
  return sum > TotalBasisPoints ? concat("the forced shares sum to ", sum, " of ", TotalBasisPoints)
                                : "";
}

} // namespace

Outcome ChangeEvaluator::operator()(const SetRegionFailure &change) {
  const RegionFailureRecord *old = find(Current.RegionFailures, change.Id);
  core::ConfigVersion version = old != nullptr ? old->Changed.Version : core::ConfigVersion();
  // Unlike operators, a leader always states the version that it knows; 0 means that no record
  // exists. A step of an earlier leader therefore cannot take effect after a step of its successor.
  if (EvaluatedCommand.ExpectedVersion != version)
    return conflict(old != nullptr ? old->Changed.Command : "",
                    concat("the failure of region ", change.Id.Value, " has version ",
                           version.Value, ", not ", EvaluatedCommand.ExpectedVersion.Value));
  std::string error = checkName("region", change.Id.Value);
  if (error.empty())
    error = checkForcedShares(change);
  if (!error.empty())
    return invalid(error);
  if (change.Down || !change.ForcedShares.empty())
    put(RegionFailureRecord{
        change.Id, change.Down, change.Cause, change.Load, change.ForcedShares, {}});
  else if (old != nullptr)
    remove<RegionFailureRecord>(change.Id);
  return accepted(change.Id.Value);
}

} // namespace briarspar::config
