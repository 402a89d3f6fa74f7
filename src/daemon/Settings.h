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

/// Another VM of the system that this one may dial. Voters must be listed everywhere.
struct PeerSettings {
  core::VmId Id;
  std::string Host;
  uint16_t Port = 0;
  bool Voter = false; ///< Takes part in the agreement group from its first start.
};

/// Settings of one process, as its JSON file gives them. docs/SETTINGS.md lists every member.
struct Settings {
  core::VmId Vm;
  core::RegionId Region;
  core::DomainId Domain;
  std::string Host = "127.0.0.1";  ///< IP address of all listeners of this VM.
  uint16_t CallerPort = 0;         ///< 0 chooses a free port.
  uint16_t OperatorPort = 0;       ///< 0 chooses a free port.
  uint16_t PeerPort = 0;           ///< 0 chooses a free port.
  std::string DataFolder;          ///< Empty: this VM has no disk and is no voter.
  std::string Secret;              ///< Shared by all processes; authenticates their messages.
  std::string Group = "main";      ///< Name of the agreement group.
  std::vector<PeerSettings> Peers; ///< All voters, this VM included when it is one.
  std::vector<OperatorSettings> Operators;
  std::string LogFile;               ///< Empty: standard error.
  size_t MaxCallerConnections = 512; ///< Connections of callers served at once.
  size_t MaxBodyBytes = 1024 * 1024; ///< Longest request body.
  uint32_t MaxLinkRequests = 0;      ///< In flight from one region to another; 0: no limit.
  core::Duration DrainGrace{3000};   ///< Time for callers to follow a planned stop.
  core::Duration LookupTtl{5000};    ///< Longest time for which callers cache a look-up.

  bool isVoter() const;
};

/// Returns the JSON schema of the settings file.
std::string_view settingsSchema();

/// Checks and reads a settings file's text. The error lists every problem with its JSON path, one a
/// line.
absl::StatusOr<Settings> parseSettings(std::string_view text);

/// Reads a settings file. Returns NotFound when it cannot be opened.
absl::StatusOr<Settings> loadSettings(const std::string &file);

} // namespace briarspar::daemon
