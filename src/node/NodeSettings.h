#pragma once

#include "absl/status/statusor.h"
#include "control/ControlNode.h"
#include "entry/EntryNode.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::node {

/// What a process does on its VM.
enum class Role : uint8_t { Entry, Control };

/// Settings of a process that is told where to find the group, and finds the rest itself. VM ids
/// are IP addresses. docs/SETTINGS.md lists every member.
struct NodeSettings {
  Role ProcessRole = Role::Entry;
  std::string Name; ///< For log lines.
  core::VmId Vm;
  core::RegionId Region;
  core::DomainId Domain;
  std::map<core::DomainId, core::RegionId> Domains; ///< Region of every failure domain.
  entry::Address CallerAddress;                     ///< Entry VMs only.
  entry::Address ReadyAddress;                      ///< Entry VMs only.
  entry::Address OperatorAddress;                   ///< Control VMs only.
  entry::Address LookupAddress;                     ///< Control VMs only.
  uint16_t PeerPort = 0;                            ///< Of the message listeners of all VMs.
  uint16_t MetricsPort = 0;                         ///< 0: none.
  std::vector<core::VmId> Seeds;
  std::string DataFolder; ///< Control VMs only.
  bool Bootstrap = false;
  entry::Address TargetListAddress;     ///< Of the platform.
  std::string Secret;                   ///< Shared by all processes; authenticates their messages.
  std::map<std::string, double> Bounds; ///< Agreed bounds by the names of the platform.
};

/// Returns the JSON schema of the settings file.
std::string_view nodeSettingsSchema();

/// True when a settings text is meant for this kind of process: it names a role.
bool isNodeSettings(std::string_view text);

/// Checks and reads a settings file's text. The error lists every problem.
absl::StatusOr<NodeSettings> parseNodeSettings(std::string_view text);

/// Returns the parts that the roles need.
entry::EntryNodeSettings entrySettings(const NodeSettings &settings);
control::ControlNodeSettings controlSettings(const NodeSettings &settings);

} // namespace briarspar::node
