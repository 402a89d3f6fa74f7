#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "agreement/StateMachine.h"
#include "catalog/Catalog.h"

#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace briarspar::control {

/// Orders of the replicated log.
struct ChangeItems {
  catalog::Change Change;
};
struct StartRollout {
  std::string Service;
  std::string From; ///< Version of the service's targets when the rollout was ordered.
  std::string Target;
  core::Duration Period;
};
struct StepRollout {
  std::string Service;
  core::LogIndex OrderedAt; ///< Names the rollout.
  catalog::RolloutState State = catalog::RolloutState::Running;
  uint32_t SharePermille = 0;
  core::Duration Elapsed; ///< Since the order.
};
struct SetEvacuation {
  core::DomainId Domain;
  bool Active = false;
};

/// Lists an entry VM as one that may hold a part of the customers' rates, or ends that.
struct SetEntry {
  core::VmId Vm;
  bool Present = false;
};

using Command = std::variant<ChangeItems, StartRollout, StepRollout, SetEvacuation, SetEntry>;

std::string encode(const Command &order);
absl::StatusOr<Command> decodeCommand(std::string_view bytes);

/// Encodes the outcome of an order as the answer of the state machine, and decodes it.
std::string encodeOutcome(const absl::Status &status);
absl::Status decodeOutcome(std::string_view bytes);

/// The replicated state of the control group.
class ControlStateMachine final : public agreement::StateMachine {
public:
  std::string apply(core::LogIndex index, std::string_view command) override;
  std::string snapshot() const override;
  absl::Status restore(std::string_view snapshot) override;

  const catalog::Catalog &catalog() const { return Catalog; }

  /// Entry VMs that leaders may have given a part of the customers' rates.
  const std::set<core::VmId> &entries() const { return Entries; }

private:
  absl::Status applyCommand(core::LogIndex index, const Command &order);

  catalog::Catalog Catalog;
  std::set<core::VmId> Entries;
};

} // namespace briarspar::control
