#pragma once

#include "absl/status/statusor.h"
#include "agreement/VoterId.h"
#include "core/Ids.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace briarspar::agreement {

/// The members of a group. Voters count towards quorums; learners receive the log only.
struct Configuration {
  std::set<VoterId> Voters;
  std::set<VoterId> Learners;
  /// Highest data incarnation that each VM ever had in the group. An identity is never
  /// admitted again after its removal.
  std::map<core::VmId, core::Incarnation> NewestIncarnations;

  bool empty() const { return Voters.empty(); }
  bool isVoter(const VoterId &id) const { return Voters.count(id) != 0; }
  bool isLearner(const VoterId &id) const { return Learners.count(id) != 0; }
  bool contains(const VoterId &id) const { return isVoter(id) || isLearner(id); }

  /// Returns whether an identity was removed, or is older than one of its VM that was ever a
  /// member. It is never admitted again.
  bool isRetired(const VoterId &id) const {
    auto newest = NewestIncarnations.find(id.Vm);
    return !contains(id) && newest != NewestIncarnations.end() &&
           id.DataIncarnation <= newest->second;
  }

  /// Returns the smallest number of voters that is a majority.
  size_t quorumSize() const { return Voters.size() / 2 + 1; }

  friend bool operator==(const Configuration &a, const Configuration &b) {
    return a.Voters == b.Voters && a.Learners == b.Learners &&
           a.NewestIncarnations == b.NewestIncarnations;
  }
};

/// Builds the first configuration of a group.
Configuration makeConfiguration(const std::set<VoterId> &voters);

/// Encodes a configuration as CBOR.
std::string encodeConfiguration(const Configuration &configuration);

/// Decodes a configuration. Returns InvalidArgument for malformed bytes.
absl::StatusOr<Configuration> decodeConfiguration(std::string_view bytes);

} // namespace briarspar::agreement
