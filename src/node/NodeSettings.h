#pragma once

#include "absl/status/statusor.h"
#include "control/ControlNode.h"
#include "entry/EntryNode.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::node {

/// Role of a process.
enum class Role : uint8_t { Entry, Control };

/// Settings of a process that discovers the other VMs from the seeds. VM ids are IP addresses.
/// docs/SETTINGS.md describes every member.
struct NodeSettings {
  Role ProcessRole = Role::Entry;
  std::string Name; ///< Identifies the process in log lines.
  core::VmId Vm;
  core::RegionId Region;
  core::DomainId Domain;
  std::map<core::DomainId, core::RegionId> Domains; ///< Region of every failure domain.
  entry::Address CallerAddress;                     ///< Entry VMs only.
  entry::Address ReadyAddress;                      ///< Entry VMs only.
  entry::Address OperatorAddress;                   ///< Control VMs only.
  entry::Address LookupAddress;                     ///< Control VMs only.
  uint16_t PeerPort = 0;                            ///< Port of the message listeners of all VMs.
  uint16_t MetricsPort = 0;                         ///< 0: no metrics listener.
  std::vector<core::VmId> Seeds;
  std::string DataFolder; ///< Control VMs only.
  bool Bootstrap = false;
  size_t BorneLosses = 2;               ///< Control VMs that may be lost at once.
  entry::Address TargetListAddress;     ///< Address of the platform's target list.
  std::string Secret;                   ///< Shared by all processes; authenticates their messages.
  std::map<std::string, double> Bounds; ///< Agreed bounds, keyed by the platform's names.
};

/// Returns the JSON schema of the settings file.
std::string_view nodeSettingsSchema();

/// Returns true if the text contains settings of this kind, that is, settings with a role.
bool isNodeSettings(std::string_view text);

/// Validates and parses the text of a settings file. The error lists the problems found.
absl::StatusOr<NodeSettings> parseNodeSettings(std::string_view text);

/// Return the settings of the respective role.
entry::EntryNodeSettings entrySettings(const NodeSettings &settings);
control::ControlNodeSettings controlSettings(const NodeSettings &settings);

} // namespace briarspar::node
