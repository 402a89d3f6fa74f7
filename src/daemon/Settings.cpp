#include "daemon/Settings.h"

#include "absl/strings/str_cat.h"
#include "core/SchemaCheck.h"

#include <fstream>
#include <sstream>

namespace briarspar::daemon {

namespace {

using core::Json;

constexpr std::string_view Schema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "type": "object",
  "additionalProperties": false,
  "required": ["vm", "region", "domain", "secret", "peers"],
  "properties": {
    "vm": {"type": "string", "minLength": 1, "maxLength": 64},
    "region": {"type": "string", "minLength": 1, "maxLength": 64},
    "domain": {"type": "string", "minLength": 1, "maxLength": 64},
    "host": {"type": "string", "minLength": 1},
    "caller_port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "operator_port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "peer_port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "data_folder": {"type": "string"},
    "secret": {"type": "string", "minLength": 16},
    "group": {"type": "string", "minLength": 1, "maxLength": 64},
    "peers": {
      "type": "array",
      "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["vm", "host", "port"],
        "properties": {
          "vm": {"type": "string", "minLength": 1, "maxLength": 64},
          "host": {"type": "string", "minLength": 1},
          "port": {"type": "integer", "minimum": 1, "maximum": 65535},
          "voter": {"type": "boolean"}
        }
      }
    },
    "operators": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "key_sha256"],
        "properties": {
          "name": {"type": "string", "minLength": 1, "maxLength": 64},
          "key_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"}
        }
      }
    },
    "log_file": {"type": "string"},
    "max_caller_connections": {"type": "integer", "minimum": 1, "maximum": 4096},
    "max_body_bytes": {"type": "integer", "minimum": 1, "maximum": 16777216},
    "max_link_requests": {"type": "integer", "minimum": 0, "maximum": 1000000},
    "drain_grace_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "lookup_ttl_ms": {"type": "integer", "minimum": 1000, "maximum": 10000}
  }
})json";

template <class T> void read(const Json &j, const char *name, T &out) {
  auto it = j.find(name);
  if (it != j.end())
    it->get_to(out);
}

void readDuration(const Json &j, const char *name, core::Duration &out) { read(j, name, out.Ms); }

PeerSettings readPeer(const Json &j) {
  PeerSettings peer;
  read(j, "vm", peer.Id);
  read(j, "host", peer.Host);
  read(j, "port", peer.Port);
  read(j, "voter", peer.Voter);
  return peer;
}

Settings readSettings(const Json &j) {
  Settings settings;
  read(j, "vm", settings.Vm);
  read(j, "region", settings.Region);
  read(j, "domain", settings.Domain);
  read(j, "host", settings.Host);
  read(j, "caller_port", settings.CallerPort);
  read(j, "operator_port", settings.OperatorPort);
  read(j, "peer_port", settings.PeerPort);
  read(j, "data_folder", settings.DataFolder);
  read(j, "secret", settings.Secret);
  read(j, "group", settings.Group);
  read(j, "log_file", settings.LogFile);
  read(j, "max_caller_connections", settings.MaxCallerConnections);
  read(j, "max_body_bytes", settings.MaxBodyBytes);
  read(j, "max_link_requests", settings.MaxLinkRequests);
  readDuration(j, "drain_grace_ms", settings.DrainGrace);
  readDuration(j, "lookup_ttl_ms", settings.LookupTtl);
  for (const Json &peer : j.at("peers"))
    settings.Peers.push_back(readPeer(peer));
  for (const Json &it : j.value("operators", Json::array()))
    settings.Operators.push_back({it.at("name"), it.at("key_sha256")});
  return settings;
}

/// Checks constraints that the schema cannot express.
absl::Status checkConsistency(const Settings &settings) {
  bool anyVoter = false;
  for (const PeerSettings &peer : settings.Peers)
    anyVoter = anyVoter || peer.Voter;
  if (!anyVoter)
    return absl::InvalidArgumentError("/peers: no peer is a voter");
  if (settings.isVoter() && settings.DataFolder.empty())
    return absl::InvalidArgumentError("/data_folder: a voter needs a data folder");
  return absl::OkStatus();
}

} // namespace

bool Settings::isVoter() const {
  for (const PeerSettings &peer : Peers)
    if (peer.Id == Vm && peer.Voter)
      return true;
  return false;
}

std::string_view settingsSchema() { return Schema; }

absl::StatusOr<Settings> parseSettings(std::string_view text) {
  Json document = Json::parse(text, nullptr, /*allow_exceptions=*/false, /*ignore_comments=*/true);
  if (document.is_discarded())
    return absl::InvalidArgumentError("the settings are not valid JSON");
  absl::Status status = core::checkSchema(document, Schema);
  if (!status.ok())
    return status;
  Settings settings = readSettings(document);
  status = checkConsistency(settings);
  if (!status.ok())
    return status;
  return settings;
}

absl::StatusOr<Settings> loadSettings(const std::string &file) {
  std::ifstream in(file);
  if (!in)
    return absl::NotFoundError(absl::StrCat("cannot open ", file));
  std::ostringstream text;
  text << in.rdbuf();
  return parseSettings(text.str());
}

} // namespace briarspar::daemon
