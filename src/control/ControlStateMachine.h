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

/// Commands of the replicated log.
struct ChangeItems {
  catalog::Change Change;
};
struct StartRollout {
  std::string Service;
  std::string From; ///< Version of the targets of the service when the rollout was started.
  std::string Target;
  core::Duration Period;
};
struct StepRollout {
  std::string Service;
  core::LogIndex OrderedAt; ///< Identifies the rollout.
  catalog::RolloutState State = catalog::RolloutState::Running;
  uint32_t SharePermille = 0;
  core::Duration Elapsed; ///< Time since the start of the rollout.
};
struct SetEvacuation {
  core::DomainId Domain;
  bool Active = false;
};

/// Adds an entry VM to, or removes it from, the VMs that may hold rate shares of customers.
struct SetEntry {
  core::VmId Vm;
  bool Present = false;
};

using Command = std::variant<ChangeItems, StartRollout, StepRollout, SetEvacuation, SetEntry>;

std::string encode(const Command &order);
absl::StatusOr<Command> decodeCommand(std::string_view bytes);

/// Encodes the outcome of a command as the result of the state machine, and decodes it.
std::string encodeOutcome(const absl::Status &status);
absl::Status decodeOutcome(std::string_view bytes);

/// The replicated state of the control group.
class ControlStateMachine final : public agreement::StateMachine {
public:
  std::string apply(core::LogIndex index, std::string_view command) override;
  std::string snapshot() const override;
  absl::Status restore(std::string_view snapshot) override;

  const catalog::Catalog &catalog() const { return Catalog; }

  /// Entry VMs to which leaders may have granted rate shares.
  const std::set<core::VmId> &entries() const { return Entries; }

private:
  absl::Status applyCommand(core::LogIndex index, const Command &order);

  catalog::Catalog Catalog;
  std::set<core::VmId> Entries;
};

} // namespace briarspar::control
