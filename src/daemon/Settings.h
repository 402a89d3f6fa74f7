#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::daemon {

/// An operator and the SHA-256 digest of its key, as 64 hexadecimal digits.
struct OperatorSettings {
  std::string Name;
  std::string KeySha256;
};

/// A VM of the system to which this one may connect. All voters must be listed at every VM.
struct PeerSettings {
  core::VmId Id;
  std::string Host;
  uint16_t Port = 0;
  bool Voter = false; ///< Member of the agreement group.
};

/// Settings of one process, read from a JSON file. docs/SETTINGS.md describes every member.
struct Settings {
  core::VmId Vm;
  core::RegionId Region;
  core::DomainId Domain;
  std::string Host = "127.0.0.1";  ///< IP address of all listeners of this VM.
  uint16_t CallerPort = 0;         ///< 0 chooses a free port.
  uint16_t OperatorPort = 0;       ///< 0 chooses a free port.
  uint16_t PeerPort = 0;           ///< 0 chooses a free port.
  std::string DataFolder;          ///< Empty if this VM has no disk and is not a voter.
  std::string Secret;              ///< Shared by all processes; authenticates their messages.
  std::string Group = "main";      ///< Name of the agreement group.
  std::vector<PeerSettings> Peers; ///< All voters, including this VM if it is one.
  std::vector<OperatorSettings> Operators;
  std::string LogFile;               ///< Empty: standard error.
  size_t MaxCallerConnections = 512; ///< Maximum number of concurrent caller connections.
  size_t MaxBodyBytes = 1024 * 1024; ///< Maximum size of a request body.
  uint32_t MaxLinkRequests = 0;      ///< Requests in flight between two regions; 0: no limit.
  core::Duration DrainGrace{3000};   ///< Time for callers to leave before a planned stop.
  core::Duration LookupTtl{5000};    ///< Maximum time for which callers cache a lookup.

  bool isVoter() const;
};

/// Returns the JSON schema of the settings file.
std::string_view settingsSchema();

/// Validates and parses the text of a settings file. The error lists all problems with their JSON
/// paths, one per line.
absl::StatusOr<Settings> parseSettings(std::string_view text);

/// Reads a settings file. Returns NotFound if it cannot be opened.
absl::StatusOr<Settings> loadSettings(const std::string &file);

} // namespace briarspar::daemon
